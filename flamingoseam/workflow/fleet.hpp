#pragma once

#include "flamingoseam/workflow/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// The owner's record of a run that occupies capacity of a worker.
struct assigned_run {
    enum class run_state {
        ordered, ///< The start order is in flight.
        present, ///< The worker has confirmed the run.
        /// The start order was not answered; the worker may execute it until that is ruled out.
        unconfirmed,
    };
    resources size;
    /// False for a run that takes the whole worker: its job is unknown, or it may crash the worker.
    bool shares_worker = true;
    run_state state = run_state::ordered;
    milliseconds estimate{0};
    time_point ordered_at{};
    time_point unconfirmed_since{};
    time_point confirmed_at{}; ///< Every report requested later must contain the run.
    bool stop_requested = false;
    time_point stop_sent_at{};     ///< When the newest stop order was sent; zero if none was sent.
    time_point stop_accepted_at{}; ///< When the worker accepted a stop order; zero if it has not.
    int percent = 0;               ///< Share of the work that is done, in percent.
    time_point percent_changed_at{};
    int missing_reports = 0;     ///< Number of consecutive reports without this run.
    time_point missing_since{};  ///< When the first of them was received.
    bool worker_crashed = false; ///< The worker has crashed under the run.

    /// Checks whether the worker has confirmed that the run has begun.
    [[nodiscard]] bool has_begun() const { return state == run_state::present; }

    /// Checks whether the worker has ever confirmed the run, so that its start order is not on the
    /// way any more.
    [[nodiscard]] bool was_confirmed() const { return confirmed_at != time_point{}; }
};

/// A worker, the runs assigned to it and the state known from its reports.
struct fleet_worker {
    worker_entry entry;
    std::size_t pool = 0;                ///< Number of the pool of the worker's service.
    bool listed = false;                 ///< The worker is in the platform's list.
    std::int64_t listed_incarnation = 0; ///< In the newest list that contained the worker.
    bool reported = false;    ///< The worker has accepted this owner's epoch and reported its runs.
    int complete_reports = 0; ///< Of the present incarnation to this owner.
    /// When the newest report was requested that confirms which runs the worker holds; zero if
    /// there is none.
    time_point confirmed_asked{};
    bool is_emptied = false;  ///< Its runs were taken for lost, and it has not reported since.
    bool unreachable = false; ///< The worker does not answer at present.
    /// Since when this owner has not extended its lease: for a loaded silence, since the loading.
    time_point silent_since{};
    bool lease_stored = false; ///< The store has recorded that the worker may hold runs.
    /// The store may say that the lease is not renewed; a later owner relies on it.
    bool silence_stored = false;
    /// The silence that has ended, until the store does not contain it any more.
    std::optional<time_point> ended_silence;
    /// An earlier owner has stored that no owner extends the lease.
    bool silence_loaded = false;
    time_point excluded_until{};
    time_point last_report{};
    time_point last_asked{};        ///< When the newest report was requested.
    time_point incarnation_since{}; ///< When a restart was noticed; zero if there was none.
    resources used;
    int exclusive_runs = 0;
    std::map<run_name, assigned_run> runs;
    /// Runs whose unanswered start orders were ruled out in this incarnation, and when. Such an
    /// order may still arrive in the next incarnation, which has not received the stop order.
    std::map<run_name, std::pair<assigned_run, time_point>> ruled_out;
    std::int64_t newest_end = 0; ///< Highest number of an end that was processed.
    std::int64_t listed_end = 0; ///< Highest number of an end in the newest report; 0 if none.
    /// Highest number of an end in a report that another one has followed. Lower numbers that
    /// neither contained do not exist.
    std::int64_t settled_end = 0;
    /// Whether the result of an end is stored, by the number of the end.
    std::map<std::int64_t, bool> unacknowledged_ends;
    /// Ends that can't be stored, because the records of their jobs can't be read, or a later owner
    /// may know their jobs.
    std::map<std::int64_t, run_name> kept_ends;
    bool lists_part_of_ends = false; ///< The newest report has as many ends as a worker lists.
    std::int64_t forget_up_to = 0;   ///< The worker may discard ends up to this number.
    time_point drain_until{};   ///< Until then the worker gets no new run; zero if not drained.
    std::size_t drains_for = 0; ///< The shard that gets the worker once it is idle.
    /// Token base with which this owner has released the worker to another shard; 0 if it never
    /// did.
    std::uint64_t released_base = 0;

    /// Checks whether the worker was released to another shard and has not been returned.
    /// Complexity: constant.
    [[nodiscard]] bool is_released() const { return entry.token_base < released_base; }

    [[nodiscard]] resources free() const
    {
        return exclusive_runs > 0 ? resources{} : entry.capacity - used;
    }

    /// Checks whether the worker holds runs, or ends whose results are not stored. Complexity:
    /// constant.
    [[nodiscard]] bool has_results() const
    {
        return !runs.empty() || !unacknowledged_ends.empty() || lists_part_of_ends;
    }

    /// Checks whether it is certain which runs the worker holds and which have ended: a single
    /// report may miss a run that is about to end. Complexity: constant.
    [[nodiscard]] bool has_confirmed_runs() const
    {
        return complete_reports >= reports_until_certain;
    }

    /// Checks whether an end was processed. One of a run that is still assigned was not, whatever
    /// its number says. Complexity: logarithmic in the runs and in the ends that are not
    /// acknowledged.
    [[nodiscard]] bool knows_end(const ended_run& end) const
    {
        const bool is_known_number =
            end.number <= forget_up_to || unacknowledged_ends.contains(end.number);
        return is_known_number && !runs.contains(end.name);
    }

    /// Checks whether no unknown end has a lower number than this one, which is the first that may
    /// not be discarded yet. Complexity: constant.
    [[nodiscard]] bool is_next_end(std::int64_t number) const
    {
        return number <= forget_up_to + 1 || number <= settled_end;
    }

    /// Checks whether the owner holds the worker, which answers and does not leave. Complexity:
    /// constant.
    [[nodiscard]] bool is_held() const
    {
        return listed && reported && lease_stored && !unreachable && !silence_stored &&
               !entry.leaving;
    }

    /// Checks whether the list describes the incarnation that answers, as far as both are known.
    /// Another one may have other labels, another service or less capacity. Complexity: constant.
    [[nodiscard]] bool is_described() const
    {
        return listed_incarnation == 0 || entry.incarnation == 0 ||
               listed_incarnation == entry.incarnation;
    }

    /// Checks whether new runs may be started on the worker. Complexity: constant.
    [[nodiscard]] bool is_usable(time_point time) const
    {
        return is_held() && is_described() && excluded_until <= time && drain_until <= time;
    }
};

/// Returns the number of tasks of one size that fit into the free capacity. Complexity: constant.
int tasks_that_fit(const resources& size, const resources& free_capacity);

/// All workers that may hold runs. Indices stay valid for the lifetime of the fleet.
class fleet {
public:
    /// Adds a worker or updates its list entry, and returns its index. Complexity: logarithmic in
    /// the racks.
    std::size_t put(const worker_entry& entry);

    /// Returns the index of the worker with an id, none if there is no such worker.
    /// Complexity: constant.
    [[nodiscard]] std::optional<std::size_t> find(const std::string& id) const;

    /// Returns the number of the pool of workers that run a service, none if there is no such pool.
    /// Complexity: constant.
    [[nodiscard]] std::optional<std::size_t> find_pool(const std::string& service) const;

    [[nodiscard]] std::size_t pools() const { return pools_.size(); }

    /// Returns the workers of each rack, listed or not, by the rack's name. Complexity: constant.
    [[nodiscard]] const std::map<std::string, std::vector<std::size_t>>& racks() const
    {
        return racks_;
    }
    [[nodiscard]] std::size_t size() const { return workers_.size(); }
    [[nodiscard]] fleet_worker& at(std::size_t index) { return workers_.at(index); }
    [[nodiscard]] const fleet_worker& at(std::size_t index) const { return workers_.at(index); }

    /// Returns the capacity of the first worker in the platform's list, none of it if there is no
    /// such worker. Workers that only an earlier owner has recorded have no known capacity.
    /// Complexity: linear in the workers that are not listed.
    [[nodiscard]] resources worker_capacity() const;

    /// Assigns a run to a worker and reserves its capacity. An assigned run is left unchanged.
    /// Complexity: logarithmic in the worker's runs.
    assigned_run& assign(std::size_t worker, const run_name& name, assigned_run run);

    /// Returns a run of a worker, null if the run is not assigned to the worker.
    [[nodiscard]] assigned_run* find_run(std::size_t worker, const run_name& name);

    /// Releases a run and its capacity. Returns false if the run was not assigned to the worker.
    bool release(std::size_t worker, const run_name& name);

    /// Returns the number of a worker's runs that belong to one step. Complexity: linear in the
    /// worker's runs.
    [[nodiscard]] int count_of_step(std::size_t worker, const std::string& job, int step) const;

    /// Marks an end as stored and advances the number up to which the worker may discard ends.
    /// Returns whether that number has changed.
    bool mark_end_stored(std::size_t worker, std::int64_t incarnation, std::int64_t number);

    /// Records the highest number of an end in a complete report of a worker, 0 if it has none, and
    /// advances the number up to which the worker may discard ends. Returns whether that number has
    /// changed.
    bool settle_ends(std::size_t worker, std::int64_t newest_listed);

private:
    static bool advance_forgotten(fleet_worker& worker);
    void set_rack(std::size_t worker, const std::string& rack);

    std::vector<fleet_worker> workers_;
    std::unordered_map<std::string, std::size_t> by_id_;
    std::unordered_map<std::string, std::size_t> pools_; ///< Pool numbers by service.
    std::map<std::string, std::vector<std::size_t>> racks_;
};

/// Checks whether a worker has a label; every worker has the empty label.
bool has_label(const worker_entry& worker, const std::string& label);

} // namespace flamingoseam::workflow
