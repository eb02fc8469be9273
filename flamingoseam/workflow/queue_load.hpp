#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <string>

namespace flamingoseam::workflow {

/// Load of one queue: its waiting steps at the end of a period, and counters over that period.
struct queue_load {
    std::string queue;
    int priority = 0;
    /// Steps that are ready to run and wait, at the end of the period.
    std::int64_t waiting_steps = 0;
    std::int64_t unanswered_steps = 0; ///< Waiting steps without any answer about permission.
    milliseconds oldest_unanswered{0}; ///< Age of the oldest job with an unanswered step.
    std::int64_t permission_calls = 0;
    milliseconds permission_service{0};  ///< Total service time of these calls.
    std::int64_t repeated_calls = 0;     ///< Calls about permitted workers without a valid ticket.
    std::int64_t call_slot_refusals = 0; ///< Times that a step found no free call slot.
    std::int64_t starts = 0;
    std::int64_t preempted_runs = 0;   ///< Runs preempted for gangs of other queues.
    std::int64_t done_runs = 0;        ///< Completed runs that did not resume from a checkpoint.
    milliseconds declared_run_time{0}; ///< Sum of the estimates of `done_runs`.
    milliseconds measured_run_time{0}; ///< Sum of the actual run times of `done_runs`.
};

} // namespace flamingoseam::workflow
