#pragma once

#include "flamingoseam/workflow/fleet.hpp"
#include "flamingoseam/workflow/work_order.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace flamingoseam::workflow {

/// Workers reserved for a gang until there is free capacity for all its tasks at the same time.
/// Without a reservation, small tasks would take any capacity as soon as it becomes free and a wide
/// gang would wait forever.
struct gang_reservation {
    std::string job;
    int step = 0;
    int priority = 0;
    std::set<std::size_t> workers;
    time_point expected{}; ///< When the gang is expected to start.
    time_point expires{};
    bool needs_preemption = false; ///< Runs are preempted to free the capacity.
    /// No other work of the same priority may use the workers meanwhile, however short it is
    /// expected to be.
    bool is_firm = false;
};

/// Returns true for a run that may be preempted and resumed from its checkpoint.
using preemption_predicate = std::function<bool(const run_name& name, const assigned_run& run)>;

/// Returns a reservation of those offered workers on which a gang is expected to fit soonest. If
/// `may_preempt` is given, runs for which it returns true count as ended after `preemption_time`.
/// Returns none if the gang does not fit at any of the future times that are examined. Complexity:
/// linear in the runs on the workers, for each of these times.
std::optional<gang_reservation>
plan_gang_reservation(const fleet& workers, const std::vector<std::size_t>& offered,
                      const ready_step& step, time_point time,
                      const preemption_predicate& may_preempt = nullptr);

/// The active reservations; no worker belongs to more than one.
class gang_reservations {
public:
    /// Returns the reservation of a worker, or null if there is none. Complexity: linear in the
    /// number of reservations.
    [[nodiscard]] const gang_reservation* on_worker(std::size_t worker) const;

    /// Returns the reservation for a step, or null if there is none.
    [[nodiscard]] const gang_reservation* of_step(const std::string& job, int step) const;

    /// Time allowed for a preempted run to end.
    static constexpr milliseconds preemption_time{500};

    void add(gang_reservation reservation);
    void drop(const std::string& job, int step);
    /// Drops the reservations that have expired and returns them.
    std::vector<gang_reservation> drop_expired(time_point time);

    /// Checks whether there are as many reservations as a fleet of this size may have. Complexity:
    /// constant.
    [[nodiscard]] bool is_full(std::size_t workers) const
    {
        return reservations_.size() >= std::max(min_limit, workers / workers_per_reservation);
    }

private:
    static constexpr std::size_t min_limit = 4;
    static constexpr std::size_t workers_per_reservation = 80;

    template <typename Condition> void drop_if(const Condition& condition);

    std::vector<gang_reservation> reservations_;
    std::vector<int> reservation_counts_; ///< Number of reservations by worker.
};

} // namespace flamingoseam::workflow
