#include "flamingoseam/workflow/work_order.hpp"

#include <algorithm>
#include <tuple>

namespace flamingoseam::workflow {

namespace {

constexpr int late_multiple = 3; ///< Of the target time; later than that a job is hopeless.

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

lateness lateness_of(const job_record& job, time_point time)
{
    const auto earliest_end = time + remaining_chain(job);
    if (earliest_end <= job.due) {
        return lateness::on_time;
    }
    const auto target = target_time(job.spec, job.terms);
    const auto last_use = job.due + (late_multiple - 1) * target;
    return earliest_end <= last_use ? lateness::late : lateness::hopeless;
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
