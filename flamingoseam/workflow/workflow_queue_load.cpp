#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

queue_load& workflow_state::load_of(const job_record& job)
{
    auto& load = queue_loads_[job.terms.name];
    load.queue = job.terms.name;
    load.priority = job.terms.priority;
    return load;
}

/// Records the run time of a completed run that did not resume from a checkpoint. Runs of a job
/// that has ended are not counted, since such a job keeps no tasks.
void workflow_state::record_run_time(std::size_t worker, const ended_run& end, time_point time)
{
    const auto* job = find_job(end.name.task.job);
    const auto* run = fleet_.find_run(worker, end.name);
    if (end.how != run_end::done || job == nullptr || is_final(job->phase) || run == nullptr ||
        !run->shares_worker || run->state != assigned_run::run_state::present) {
        return;
    }
    const auto& task = job->steps.at(static_cast<std::size_t>(end.name.task.step))
                           .tasks.at(static_cast<std::size_t>(end.name.task.index));
    if (!task.checkpoint.empty()) {
        return;
    }
    auto& load = load_of(*job);
    ++load.done_runs;
    load.declared_run_time += run->estimate;
    load.measured_run_time += std::chrono::duration_cast<milliseconds>(time - run->confirmed_at);
}

std::vector<queue_load> workflow_state::take_queue_loads(time_point time)
{
    for (const auto& [sequence, job] : open_) {
        for (std::size_t step = 0; step < job->steps.size(); ++step) {
            const auto& record = job->steps[step];
            if (!job->has_waiting_tasks(step)) {
                continue;
            }
            auto& load = load_of(*job);
            ++load.waiting_steps;
            if (!job->terms.permission || record.permission.has_answer()) {
                continue;
            }
            ++load.unanswered_steps;
            const auto age = std::chrono::duration_cast<milliseconds>(time - job->received);
            load.oldest_unanswered = std::max(load.oldest_unanswered, age);
        }
    }
    std::vector<queue_load> loads;
    for (auto& [queue, load] : std::exchange(queue_loads_, {})) {
        loads.push_back(std::move(load));
    }
    return loads;
}

} // namespace flamingoseam::workflow
