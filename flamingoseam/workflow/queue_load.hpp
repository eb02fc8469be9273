#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <string>

namespace flamingoseam::workflow {

/// What the work of one queue waits for, and what it asked for and got in a span.
struct queue_load {
    std::string queue;
    int priority = 0;
    std::int64_t waiting_steps = 0;    ///< Their turn has come, at the end of the span.
    std::int64_t unanswered_steps = 0; ///< Of these, without any answer about permission.
    milliseconds oldest_unanswered{0}; ///< Age of the oldest job among those.
    std::int64_t permission_calls = 0;
    milliseconds permission_service{0}; ///< That the service works on these calls.
    std::int64_t repeated_calls = 0;    ///< For permitted workers without a valid ticket.
    std::int64_t lane_refusals = 0;     ///< A step looked for a lane and found none.
    std::int64_t starts = 0;
    std::int64_t yielded_runs = 0;     ///< Stopped to make room for other queues' gangs.
    std::int64_t done_runs = 0;        ///< From the beginning, not from a checkpoint.
    milliseconds declared_run_time{0}; ///< Of these runs together.
    milliseconds measured_run_time{0}; ///< Likewise.
};

} // namespace flamingoseam::workflow
