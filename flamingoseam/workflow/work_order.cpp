#include "flamingoseam/workflow/work_order.hpp"

#include <algorithm>
#include <tuple>

namespace flamingoseam::workflow {

namespace {

struct rank {
    lateness late;
    int priority;
    time_point due;
    ready_step step;
};

rank rank_of(const ready_step& step, time_point time)
{
    return {lateness_of(*step.job, time), step.job->terms.priority, step.job->due, step};
}

} // namespace

time_point::duration slack_of(const job_record& job, time_point time)
{
    return job.due - time - remaining_chain(job);
}

lateness lateness_of(const job_record& job, time_point time)
{
    const auto slack = slack_of(job, time);
    if (slack >= time_point::duration::zero()) {
        return lateness::on_time;
    }
    const auto most_late = (late_multiple - 1) * target_time(job.spec, job.terms);
    return slack + most_late >= time_point::duration::zero() ? lateness::late : lateness::hopeless;
}

void sort_by_urgency(std::vector<ready_step>& steps, time_point time)
{
    std::vector<rank> ranks;
    ranks.reserve(steps.size());
    for (const auto& step : steps) {
        ranks.push_back(rank_of(step, time));
    }
    std::stable_sort(ranks.begin(), ranks.end(), [](const rank& left, const rank& right) {
        return std::tie(left.late, left.priority, left.due) <
               std::tie(right.late, right.priority, right.due);
    });
    for (std::size_t index = 0; index < steps.size(); ++index) {
        steps[index] = ranks[index].step;
    }
}

} // namespace flamingoseam::workflow
