#include "flamingoseam/workflow/work_order.hpp"

namespace flamingoseam::workflow {

time_point::duration slack_of(const job_record& job, time_point time)
{
    return job.due - time - remaining_critical_path(job);
}

urgency urgency_of(const job_record& job)
{
    const auto on_time_until = job.due - remaining_critical_path(job);
    return {.on_time_until = on_time_until,
            .useful_until = on_time_until + (late_multiple - 1) * target_time(job.spec, job.terms),
            .priority = job.terms.priority,
            .due = job.due};
}

lateness lateness_of(const job_record& job, time_point time)
{
    return urgency_of(job).lateness_at(time);
}

work_rank rank_by_urgency(const ready_step& step, time_point time)
{
    const auto order = urgency_of(*step.job);
    work_rank rank{.late = order.lateness_at(time),
                   .priority = order.priority,
                   .key = order.due.time_since_epoch().count()};
    if (rank.late == lateness::on_time) {
        rank.valid_until = order.on_time_until;
    } else if (rank.late == lateness::late) {
        rank.valid_until = order.useful_until;
    }
    return rank;
}

} // namespace flamingoseam::workflow
