#pragma once

#include "flamingoseam/workflow/job_record.hpp"
#include "flamingoseam/workflow/urgency.hpp"

#include <cstdint>
#include <functional>

namespace flamingoseam::workflow {

/// A step that is ready to run and has tasks to place.
struct ready_step {
    job_record* job = nullptr;
    int step = 0;

    [[nodiscard]] step_record& record() const { return job->steps[static_cast<std::size_t>(step)]; }
    [[nodiscard]] const step_spec& spec() const
    {
        return job->spec.steps[static_cast<std::size_t>(step)];
    }

    /// Returns for how many tasks there has to be room at a time: for all that wait if the step is
    /// a gang, for one otherwise.
    [[nodiscard]] int needed_places() const { return spec().gang ? record().waiting() : 1; }
};

/// Returns how long a job can still wait and complete within its target time. The result is
/// negative if it can't complete in time. Complexity: linear in the number of steps.
time_point::duration slack_of(const job_record& job, time_point time);

/// Returns the urgency of a job from its current progress. Complexity: linear in the number of
/// steps.
urgency urgency_of(const job_record& job);

/// A job that takes longer than this multiple of its target time is no longer of use.
inline constexpr int late_multiple = 3;

/// Returns the lateness of a job if it continues at `time` without further waiting. Complexity:
/// linear in the number of steps.
lateness lateness_of(const job_record& job, time_point time);

/// Rank of a step in the scheduling order: by lateness, then by priority, then by key. The lowest
/// rank is scheduled first.
struct work_rank {
    lateness late = lateness::on_time;
    int priority = 0;
    std::int64_t key = 0;
    time_point valid_until = time_point::max(); ///< The rank may change after this time.
};

/// Returns the rank of a step at a given time. The rank may change after `valid_until` or when the
/// job changes.
using step_ranking = std::function<work_rank(const ready_step& step, time_point time)>;

/// Returns a rank that puts work that can still be on time before work that is already late. Within
/// these, the rank follows the priority in the contract, then the due time of the job. This limits
/// the effect of a burst: without it, late jobs would make other jobs late, too. Complexity: linear
/// in the number of steps of the job.
work_rank rank_by_urgency(const ready_step& step, time_point time);

} // namespace flamingoseam::workflow
