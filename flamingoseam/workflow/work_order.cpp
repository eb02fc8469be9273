#include "flamingoseam/workflow/work_order.hpp"

namespace flamingoseam::workflow {

namespace {

constexpr int late_multiple = 3; ///< Of the target time; later than that a job is hopeless.

/// Returns how much later than its target a job is still of use.
milliseconds most_late(const job_record& job)
{
    return (late_multiple - 1) * target_time(job.spec, job.terms);
}

} // namespace

time_point::duration slack_of(const job_record& job, time_point time)
{
    return job.due - time - remaining_chain(job);
}

urgency urgency_of(const job_record& job)
{
    const auto on_time_until = job.due - remaining_chain(job);
    const auto most_late = (late_multiple - 1) * target_time(job.spec, job.terms);
    return {.on_time_until = on_time_until,
            .useful_until = on_time_until + most_late,
            .priority = job.terms.priority,
            .due = job.due};
}

lateness lateness_of(const job_record& job, time_point time)
{
    const auto slack = slack_of(job, time);
    if (slack >= time_point::duration::zero()) {
        return lateness::on_time;
    }
    const bool is_of_use = slack + most_late(job) >= time_point::duration::zero();
    return is_of_use ? lateness::late : lateness::hopeless;
}

work_rank rank_by_urgency(const ready_step& step, time_point time)
{
    const auto& job = *step.job;
    const auto latest_start = job.due - remaining_chain(job);
    work_rank rank{.late = lateness_of(job, time),
                   .priority = job.terms.priority,
                   .key = job.due.time_since_epoch().count()};
    if (rank.late == lateness::on_time) {
        rank.valid_until = latest_start;
    } else if (rank.late == lateness::late) {
        rank.valid_until = latest_start + most_late(job);
    }
    return rank;
}

} // namespace flamingoseam::workflow
