#pragma once

#include "flamingoseam/workflow/job_record.hpp"
#include "flamingoseam/workflow/urgency.hpp"

#include <cstdint>
#include <functional>

namespace flamingoseam::workflow {

/// A step whose turn has come and that has tasks to place.
struct ready_step {
    job_record* job = nullptr;
    int step = 0;

    [[nodiscard]] step_record& record() const { return job->steps[static_cast<std::size_t>(step)]; }
    [[nodiscard]] const step_spec& spec() const
    {
        return job->spec.steps[static_cast<std::size_t>(step)];
    }
};

/// Returns how long a job can still wait and be done within its target time; below zero when it can
/// not. Complexity: linear in steps.
time_point::duration slack_of(const job_record& job, time_point time);

/// Returns a job's urgency as its progress is now. Complexity: linear in steps.
urgency urgency_of(const job_record& job);

/// Returns the lateness of a job that would go on now without waiting. Complexity: linear in steps.
lateness lateness_of(const job_record& job, time_point time);

/// A step's place in the order of work: by lateness, then by priority, then by key; the least goes
/// first.
struct work_rank {
    lateness late = lateness::on_time;
    int priority = 0;
    std::int64_t key = 0;
    time_point valid_until = time_point::max(); ///< The last moment before it changes by itself.
};

/// Ranks a step at a moment. The rank may change when `valid_until` has passed or the job changes.
using step_ranking = std::function<work_rank(const ready_step& step, time_point time)>;

/// Ranks work that can still be on time before work that is late already; within that, by the
/// contract's priority, then by the time at which a job has to be done. This answers a burst:
/// without it, late jobs would make others late, too. Complexity: linear in the job's steps.
work_rank rank_by_urgency(const ready_step& step, time_point time);

} // namespace flamingoseam::workflow
