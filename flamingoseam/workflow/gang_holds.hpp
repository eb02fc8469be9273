#pragma once

#include "flamingoseam/workflow/fleet.hpp"
#include "flamingoseam/workflow/work_order.hpp"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace flamingoseam::workflow {

/// Workers kept free for a gang until all its tasks find room at one time. Without it, small tasks
/// would take each piece of room as it comes free and a wide gang would wait for ever.
struct gang_hold {
    std::string job;
    int step = 0;
    int priority = 0;
    std::set<std::size_t> workers;
    time_point expected{}; ///< When the gang should find its room.
    time_point expires{};
    bool needs_yielding = false; ///< The room comes from runs that are stopped for the gang.
};

/// Tells whether a run may be stopped at its checkpoint to make room.
using yield_test = std::function<bool(const run_name& name, const assigned_run& run)>;

/// Returns the workers, of those offered, on which a gang should find its room soonest, and when.
/// Runs for which `may_yield` holds, if it is given, count as ended after `yield_time`. None when
/// the workers could not hold the gang even when empty of what runs now. Complexity: linear in the
/// runs on the workers, for each of a few moments.
std::optional<gang_hold> plan_gang_hold(const fleet& workers,
                                        const std::vector<std::size_t>& offered,
                                        const ready_step& step, time_point time,
                                        const yield_test& may_yield = nullptr);

/// The holds in force; no worker is in two of them.
class gang_holds {
public:
    static constexpr std::size_t most_holds = 4;

    /// Returns the hold on a worker, null when there is none. Complexity: linear in the holds.
    [[nodiscard]] const gang_hold* on_worker(std::size_t worker) const;

    /// Returns the hold of a step, null when there is none.
    [[nodiscard]] const gang_hold* of_step(const std::string& job, int step) const;

    /// How long a run that yields may take to end.
    static constexpr milliseconds yield_time{500};

    void add(gang_hold hold);
    void drop(const std::string& job, int step);
    void drop_expired(time_point time);
    [[nodiscard]] bool is_full() const { return holds_.size() >= most_holds; }

private:
    template <typename Condition> void drop_if(const Condition& condition);

    std::vector<gang_hold> holds_;
    std::vector<int> holds_on_; ///< Their number by worker.
};

} // namespace flamingoseam::workflow
