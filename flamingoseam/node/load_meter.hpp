#pragma once

#include "flamingoseam/core/control_loop.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace flamingoseam::node {

/// Processor time used so far, by the calling thread and by all threads.
struct processor_times {
    time_point::duration thread{0};
    time_point::duration process{0};
};

/// Returns the processor times of the calling thread and of its process. Complexity: constant.
processor_times read_processor_times();

/// What an owner's control thread decided after one group of events.
struct decision_times {
    time_point::duration deciding{0};    ///< Upkeep and the pass over the waiting steps.
    time_point::duration dispatching{0}; ///< Handing the decisions to other threads.
    std::size_t starts = 0;              ///< Runs that were ordered.
};

/// What the lanes to the permission service have to do.
struct permission_load {
    std::size_t requests = 0;       ///< That no lane has taken yet.
    time_point::duration oldest{0}; ///< Age of the one that waits longest.
    std::size_t lanes = 0;
    std::size_t busy_lanes = 0;       ///< With a call under way.
    std::int64_t calls = 0;           ///< Ended ones since the owner began.
    time_point::duration in_calls{0}; ///< Their times together.
};

/// What an owner's state held at the end of a span.
struct state_load {
    std::size_t open_jobs = 0;
    std::size_t overdue_jobs = 0;  ///< Open jobs that should have ended.
    std::size_t waiting_steps = 0; ///< Steps that the last pass looked at.
    std::size_t changes = 0;       ///< Jobs with changes in no transaction yet.
    time_point::duration oldest_change{0};
    permission_load permissions;
    std::int64_t passes = 0;            ///< Since the owner began.
    std::int64_t repeated_requests = 0; ///< Permission requests after lapsed tickets, likewise.
};

/// What kept an owner busy in one span, about a second long.
struct owner_load {
    state_load state; ///< Its counts are those of the span.
    time_point::duration span{0};
    time_point::duration longest_wait{0}; ///< Of a step for the control thread.
    std::size_t most_queued = 0;          ///< Steps that were taken off the queue together.
    std::size_t steps = 0;
    std::size_t starts = 0;
    std::size_t transactions = 0; ///< Stored ones.
    std::size_t records = 0;      ///< Written by them.
    time_point::duration in_steps{0};
    time_point::duration deciding{0};
    time_point::duration dispatching{0};
    processor_times processor;
};

/// Remembers when changes were made, by their growing numbers.
class change_ages {
public:
    /// Notes the newest change so far. Complexity: constant.
    void note(std::uint64_t newest, time_point time);

    /// Returns the age of a change and forgets all before it; 0 when there is none. Complexity:
    /// linear in what is forgotten.
    time_point::duration age_of(std::optional<std::uint64_t> change, time_point time);

private:
    std::deque<std::pair<std::uint64_t, time_point>> newest_;
};

/// Sums up an owner's load, span by span. Not safe from two threads.
class load_meter {
public:
    load_meter(time_point time, processor_times processor);

    void note_step(const step_times& times);
    void note_decisions(const decision_times& times);
    void note_transaction(std::size_t records);

    /// Tells whether a span of a second has passed. Complexity: constant.
    [[nodiscard]] bool is_due(time_point time) const;

    /// Returns the load since the last call and begins the next span. Complexity: constant.
    owner_load take(const state_load& state, time_point time, processor_times processor);

private:
    owner_load load_;
    time_point began_;
    processor_times processor_;
    state_load last_; ///< Of the last span's end.
};

} // namespace flamingoseam::node
