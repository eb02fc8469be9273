#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// Milliseconds with a fraction, for service times below one millisecond.
using fractional_ms = std::chrono::duration<double, std::milli>;

/// Service times and ticket validity of the external permission service, which decides which
/// workers may run a step.
struct permission_terms {
    fractional_ms decision{0};   ///< Service time of one call.
    fractional_ms per_worker{0}; ///< Additional service time for each worker named in the call.
    milliseconds validity{0};    ///< Time for which a ticket may be used after it was issued.

    /// Returns the service time of a call that names a number of workers.
    [[nodiscard]] milliseconds service_time(std::size_t workers) const
    {
        return std::chrono::ceil<milliseconds>(decision +
                                               per_worker * static_cast<double>(workers));
    }

    bool operator==(const permission_terms&) const = default;
};

/// The terms of a contract for one queue of jobs.
struct queue_terms {
    std::string name;
    std::int64_t version = 0; ///< Of the configuration that has these terms; 0 if unknown.
    std::string service;      ///< The pool of workers that runs the queue's tasks.
    int priority = 0;         ///< 0 is the highest priority.
    int max_attempts = 1;     ///< The job fails after this number of failed runs of one task.
    double stretch = 1.0;     ///< The target time is the critical path times this factor ...
    milliseconds target{0};   ///< ... plus this time.
    std::optional<permission_terms> permission; ///< None if every worker is permitted.
};

/// A step of a job: a number of tasks with the same requirements.
struct step_spec {
    int tasks = 1;
    resources size;             ///< Resources of one task.
    milliseconds estimate{0};   ///< Estimated run time of one task.
    std::vector<int> after;     ///< Indices of earlier steps that must have finished, from 0.
    bool gang = false;          ///< All tasks run at the same time or none does.
    bool same_rack = false;     ///< The gang is much slower if it spans racks.
    bool checkpoints = false;   ///< A stopped task can resume from its checkpoint.
    bool speculative = false;   ///< Several copies of a task may run at the same time.
    std::string label;          ///< Label that a worker must have; empty for any worker.
    std::string preferred_rack; ///< Tasks are much slower in any other rack; empty for none.
    int max_per_worker = 0;     ///< Maximum tasks of this step on one worker; 0 for no limit.
};

/// A job of several steps as submitted by a client.
struct job_spec {
    std::string id;
    std::string queue;
    std::string payload; ///< Passed to every task without being interpreted.
    std::vector<step_spec> steps;
};

/// Limits of the size of a job.
struct job_limits {
    std::size_t payload_bytes = 4'000;
    std::size_t steps = 64;
    int tasks_per_step = 10'000;
};

/// Checks a job before it is accepted. Complexity: linear in the steps.
/// Throws parse_error: id 120 for the id, 121 for the payload, 122 for the number of steps, 123 for
/// a step's tasks or sizes, 124 for a step with a predecessor that is not an earlier step.
void check_job(const job_spec& job, const job_limits& limits);

/// Checks that each step follows earlier steps only. Complexity: linear in the steps.
/// Throws parse_error (id 124).
void check_predecessors(const job_spec& job);

/// Returns the length of the critical path: the largest sum of estimates over a sequence of
/// dependent steps, of which only those with `counts(step)` are added.
/// Complexity: linear in the steps and their predecessors.
template <typename Counts>
milliseconds critical_path(const std::vector<step_spec>& steps, const Counts& counts)
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

/// Returns the time from its acceptance within which a job should be completed.
/// Complexity: linear in the steps and their predecessors.
milliseconds target_time(const job_spec& job, const queue_terms& terms);

} // namespace flamingoseam::workflow
