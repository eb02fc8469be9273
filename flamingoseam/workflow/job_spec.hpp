#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// Milliseconds with a fraction, for service times below one millisecond.
using fractional_ms = std::chrono::duration<double, std::milli>;

/// What an outside service asks for before it names the workers that may run a step.
struct permission_terms {
    fractional_ms decision{0};   ///< Service time of one call.
    fractional_ms per_worker{0}; ///< Service time added by each worker named in the call.
    milliseconds validity{0};    ///< How long a ticket may be used after it was issued.

    /// Returns how long the service works on a call that names so many workers.
    [[nodiscard]] milliseconds service_time(std::size_t workers) const
    {
        return std::chrono::ceil<milliseconds>(decision +
                                               per_worker * static_cast<double>(workers));
    }
};

/// The line of a contract that governs one queue of jobs.
struct queue_terms {
    std::string name;
    std::string service;    ///< The pool of workers that runs the queue's tasks.
    int priority = 0;       ///< 0 comes first.
    int most_attempts = 1;  ///< Runs of one task that may fail before its job fails.
    double stretch = 1.0;   ///< The target time is this many times the longest chain of steps ...
    milliseconds target{0}; ///< ... and this much more.
    std::optional<permission_terms> permission; ///< None when every worker is permitted.
};

/// Tasks of a job that are alike.
struct step_spec {
    int tasks = 1;
    resources size; ///< Of one task.
    milliseconds estimate{0};
    std::vector<int> after;     ///< Earlier steps that must have finished, counted from 0.
    bool gang = false;          ///< All tasks run at one time or not at all.
    bool same_rack = false;     ///< The gang is much slower when it spans racks.
    bool checkpoints = false;   ///< A stopped task can go on from where it was.
    bool speculative = false;   ///< Copies may run at the same time.
    std::string label;          ///< A worker must carry it; empty for any worker.
    std::string preferred_rack; ///< Tasks are much slower on any other; empty for none.
    int most_per_worker = 0;    ///< Tasks of this step on one worker; 0 for no limit.
};

/// A job of several steps as a client hands it in.
struct job_spec {
    std::string id;
    std::string queue;
    std::string payload; ///< Passed to every task unread.
    std::vector<step_spec> steps;
};

/// Limits that a job must keep.
struct job_limits {
    std::size_t payload_bytes = 4'000;
    std::size_t steps = 64;
    int tasks_per_step = 10'000;
};

/// Checks a job before it is accepted. Complexity: linear in the steps.
/// Throws parse_error: id 120 for the id, 121 for the payload, 122 for the number of steps, 123 for
/// a step's tasks or sizes, 124 for a step that does not follow earlier ones only.
void check_job(const job_spec& job, const job_limits& limits);

/// Returns the longest chain of estimates over the steps for which `counts(step)` is true.
/// Complexity: linear in the steps and their predecessors.
template <typename Counts>
milliseconds longest_chain(const std::vector<step_spec>& steps, const Counts& counts)
{
    std::vector<milliseconds> ends(steps.size(), milliseconds(0));
    milliseconds longest{0};
    for (std::size_t index = 0; index < steps.size(); ++index) {
        for (const int earlier : steps[index].after) {
            ends[index] = std::max(ends[index], ends[static_cast<std::size_t>(earlier)]);
        }
        if (counts(index)) {
            ends[index] += steps[index].estimate;
        }
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

/// Returns the time after its acceptance within which a job should be done. Complexity: linear.
milliseconds target_time(const job_spec& job, const queue_terms& terms);

} // namespace flamingoseam::workflow
