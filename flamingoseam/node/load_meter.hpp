#pragma once

#include "flamingoseam/core/control_loop.hpp"
#include "flamingoseam/core/thread_times.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace flamingoseam::node {

/// Processor time used so far by the calling thread, by the whole process and by its threads of
/// each duty.
struct processor_times {
    time_point::duration thread{0};
    time_point::duration process{0};
    duty_times duties{};
};

/// Returns the processor times of the calling thread and of its process. Complexity: constant.
processor_times read_processor_times();

/// Time that an owner's control thread spent on decisions after one batch of events, and their
/// number.
struct decision_times {
    time_point::duration decision_time{0}; ///< Maintenance and the pass over the waiting steps.
    time_point::duration dispatch_time{0}; ///< Passing the decisions to other threads.
    std::size_t starts = 0;                ///< Runs whose start was ordered.
};

/// Load of the call slots to the permission service.
struct permission_load {
    std::size_t requests = 0;           ///< Queued requests, taken by no call slot yet.
    time_point::duration oldest_age{0}; ///< Age of the oldest queued request.
    std::size_t call_slots = 0;
    std::size_t busy_slots = 0;        ///< Call slots with a call in flight.
    std::int64_t calls = 0;            ///< Calls ended since the owner started.
    time_point::duration call_time{0}; ///< Total duration of these calls.
};

/// State of an owner at the end of a measuring interval.
struct state_load {
    std::size_t open_jobs = 0;
    std::size_t overdue_jobs = 0;  ///< Open jobs that should have ended by now.
    std::size_t waiting_steps = 0; ///< Steps that the last pass examined.
    std::size_t changes = 0;       ///< Jobs with changes that are in no transaction yet.
    time_point::duration oldest_change_age{0};
    permission_load permissions;
    std::int64_t passes = 0; ///< Passes since the owner started.

    /// Permission requests repeated because their tickets had expired, since the owner started.
    std::int64_t repeated_requests = 0;

    /// Time since the platform confirmed that the list of workers was current.
    time_point::duration worker_list_age{0};
};

/// Work of an owner in one measuring interval of about a second.
struct owner_load {
    state_load state; ///< Its counters cover the interval only.
    time_point::duration interval{0};
    time_point::duration max_wait{0}; ///< Maximum wait of a step for the control thread.
    std::size_t max_queued = 0;       ///< Maximum number of steps taken off the queue at once.
    std::size_t steps = 0;
    std::size_t starts = 0;
    std::size_t transactions = 0; ///< Transactions stored.
    std::size_t records = 0;      ///< Records written by these transactions.
    time_point::duration step_time{0};
    time_point::duration decision_time{0};
    time_point::duration dispatch_time{0};
    processor_times processor;
};

/// Records when changes were made, by their increasing numbers.
class change_ages {
public:
    /// Records the number of the newest change so far. Complexity: constant.
    void record(std::uint64_t newest, time_point time);

    /// Returns the age of a change, or 0 when there is none, and discards the records of all
    /// changes before it. Complexity: linear in the number of discarded records.
    time_point::duration age_of(std::optional<std::uint64_t> change, time_point time);

private:
    std::deque<std::pair<std::uint64_t, time_point>> newest_;
};

/// Accumulates an owner's load for each measuring interval. Not thread-safe.
class load_meter {
public:
    load_meter(time_point time, processor_times processor);

    void record_step(const step_times& times);
    void record_decisions(const decision_times& times);
    void record_transaction(std::size_t records);

    /// Checks whether an interval of a second has passed. Complexity: constant.
    [[nodiscard]] bool is_due(time_point time) const;

    /// Returns the load since the last call and starts the next interval. Complexity: constant.
    owner_load take(const state_load& state, time_point time, processor_times processor);

private:
    owner_load load_;
    time_point interval_start_;
    processor_times processor_;
    state_load previous_; ///< State at the end of the previous interval.
};

} // namespace flamingoseam::node
