#pragma once

#include "flamingoseam/log/log_event.hpp"
#include "flamingoseam/workflow/messages.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// The answer to a caller's request.
struct caller_answer {
    enum class answer_kind {
        stored,  ///< The job or its cancellation is stored.
        unknown, ///< There is no such job.
        refused, ///< Nothing was stored and nothing will run.
    };
    std::uint64_t token = 0;
    answer_kind kind = answer_kind::stored;
    std::string reason;
    milliseconds retry_after{0};
};

/// A decision to be written to the event log.
struct logged_decision {
    std::string event;
    std::string job;
    std::string detail;
    std::vector<log_field> fields = {}; ///< Measured values.
};

/// The time from a job's acceptance to its first start or to its end.
struct job_timing {
    int priority = 0; ///< Priority of the job's queue.
    milliseconds length{0};
};

/// The actions to be executed after calls of a workflow_state.
struct workflow_actions {
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<forget_order> forgets;
    std::vector<renewal_permit> renewal_permits;
    /// Workers whose report is needed, each with the time by which it is needed.
    std::vector<std::pair<std::size_t, time_point>> reports_needed;
    std::vector<permission_request> permissions;
    std::vector<std::uint64_t> withdrawn_permissions; ///< Numbers of the withdrawn requests.
    std::vector<caller_answer> answers;
    std::vector<logged_decision> decisions;
    std::vector<std::size_t> released_workers; ///< Nothing may be sent to them any more.
    std::vector<job_timing> first_starts;
    std::vector<job_timing> ends;
};

/// Counters for metrics.
struct workflow_counts {
    std::int64_t accepted = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    std::int64_t cancelled = 0;
    std::int64_t starts = 0;
    std::int64_t unconfirmed_starts = 0;
    std::int64_t failed_runs = 0;
    std::int64_t lost_runs = 0;
    std::int64_t crashed_runs = 0; ///< Runs lost because their worker crashed.
    std::int64_t permission_requests = 0;
    /// Requests for permitted workers whose ticket has expired or was dropped.
    std::int64_t repeated_permission_requests = 0;
    std::int64_t passes = 0; ///< Scheduling passes over all waiting steps.
    std::int64_t stalled_runs = 0;
    std::int64_t preempted_runs = 0;
    std::int64_t examined = 0; ///< Steps, workers and runs examined to place and stop runs.
};

} // namespace flamingoseam::workflow
