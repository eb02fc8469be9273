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

/// What the owner knows of a run that takes room on a worker.
struct held_run {
    enum class knowledge {
        ordered,  ///< The order is under way.
        present,  ///< The worker has confirmed it.
        doubtful, ///< The order was not answered; it may be carried out until it is ruled out.
    };
    resources size;
    bool is_sized = true; ///< False for a run of a job that is not known; it may take all room.
    knowledge state = knowledge::ordered;
    milliseconds estimate{0};
    time_point ordered_at{};
    time_point doubtful_since{};
    time_point confirmed_at{}; ///< A report that was asked for later must show the run.
    bool stop_wanted = false;
    time_point stop_sent{};     ///< Of the newest stop order; zero when none was sent.
    time_point stop_answered{}; ///< When a worker took a stop in; zero when none has.
    int percent = 0;
    time_point percent_changed{};
    int missing_reports = 0; ///< Reports in a row that did not show it.
};

/// A worker, the runs that it holds and what its reports have shown.
struct fleet_worker {
    worker_entry entry;
    std::size_t pool = 0;      ///< Number of its service.
    bool listed = false;       ///< The platform's list shows it.
    bool reported = false;     ///< It has accepted this owner and told what it holds.
    bool silent = false;       ///< It does not answer at present.
    wall_time silent_since{0}; ///< Since then its lease is not renewed; 0 while it answers.
    bool rostered = false;     ///< The store knows that it may hold runs.
    time_point set_aside_until{};
    time_point last_report{};
    resources used;
    int unsized_runs = 0;
    std::map<run_name, held_run> runs;
    /// Runs whose orders went unanswered and were ruled out in this life, and when. Such an order
    /// may still arrive in the worker's next life, which knows nothing of the stop.
    std::map<run_name, std::pair<held_run, time_point>> ruled_out;
    std::int64_t last_end = 0;              ///< Number of the newest end taken in.
    std::map<std::int64_t, bool> open_ends; ///< By number: whether its meaning is stored.
    std::int64_t forget_up_to = 0;

    [[nodiscard]] resources free() const
    {
        return unsized_runs > 0 ? resources{} : entry.capacity - used;
    }

    /// Tells whether new runs may be started here. Complexity: constant.
    [[nodiscard]] bool is_usable(time_point time) const
    {
        return listed && reported && rostered && !silent && !entry.leaving &&
               set_aside_until <= time;
    }
};

/// Returns how many tasks of one size fit into some room. Complexity: constant.
int tasks_that_fit(const resources& size, const resources& room);

/// All workers that may hold runs. Indices stay valid for the fleet's life.
class fleet {
public:
    /// Adds a worker or updates what the list says of it. Complexity: constant.
    std::size_t put(const worker_entry& entry);

    /// Returns the index of a worker's id, none when unknown. Complexity: constant.
    [[nodiscard]] std::optional<std::size_t> find(const std::string& id) const;

    /// Returns the number of the pool of workers that run a service, none when no worker does.
    /// Complexity: constant.
    [[nodiscard]] std::optional<std::size_t> find_pool(const std::string& service) const;

    [[nodiscard]] std::size_t pools() const { return pools_.size(); }
    [[nodiscard]] std::size_t size() const { return workers_.size(); }
    [[nodiscard]] fleet_worker& at(std::size_t index) { return workers_.at(index); }
    [[nodiscard]] const fleet_worker& at(std::size_t index) const { return workers_.at(index); }

    /// Takes room for a run. Complexity: logarithmic in the worker's runs.
    held_run& hold(std::size_t worker, const run_name& name, held_run run);

    /// Returns a run, null when the worker does not hold it.
    [[nodiscard]] held_run* find_run(std::size_t worker, const run_name& name);

    /// Gives the room of a run back. Returns false when the worker did not hold it.
    bool release(std::size_t worker, const run_name& name);

    /// Returns how many runs of one step a worker holds. Complexity: linear in its runs.
    [[nodiscard]] int count_of_step(std::size_t worker, const std::string& job, int step) const;

    /// Marks an end as stored and moves the number up to which the worker may forget.
    /// Returns whether that number has moved.
    bool settle_end(std::size_t worker, std::int64_t life, std::int64_t number);

private:
    std::vector<fleet_worker> workers_;
    std::unordered_map<std::string, std::size_t> by_id_;
    std::unordered_map<std::string, std::size_t> pools_; ///< By service.
};

/// Tells whether a worker carries a label; every worker carries the empty one.
bool has_label(const worker_entry& worker, const std::string& label);

} // namespace flamingoseam::workflow
