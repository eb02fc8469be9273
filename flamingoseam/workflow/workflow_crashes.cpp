#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// From this number of crashes on a task is a suspect: it runs on a worker of its own, so that a
/// further crash takes no other run with it and shows which task is the cause.
constexpr std::size_t crashes_until_suspect = 2;
/// A task is given up after this number of crashes.
constexpr std::size_t max_crashes = 3;
/// A suspect runs beside other runs if no idle worker was found within this time.
constexpr milliseconds max_isolation_wait{2'000};

bool is_suspect(const task_record& task)
{
    return task.crashed_runs.size() >= crashes_until_suspect;
}

} // namespace

/// Records that a run was lost because its worker crashed, which any run there may have caused.
void workflow_state::record_crash(std::size_t worker, const run_name& name, time_point time,
                                  wall_time wall)
{
    auto* job = find_job(name.task.job);
    if (job == nullptr || is_final(job->phase) || !job->has_task(name.task)) {
        return;
    }
    auto& record = job->steps[static_cast<std::size_t>(name.task.step)];
    auto& task = record.tasks[static_cast<std::size_t>(name.task.index)];
    auto& crashed = task.crashed_runs;
    if (task.phase == task_phase::done || std::ranges::find(crashed, name.run) != crashed.end()) {
        return;
    }
    crashed.push_back(name.run);
    ++counts_.crashed_runs;
    change(*job);
    log_decision("run_crashed", job->spec.id,
                 to_string(name) + " on " + fleet_.at(worker).entry.id + ", " +
                     std::to_string(crashed.size()) + " crashes");
    if (crashed.size() >= max_crashes) {
        ++counts_.failed;
        log_decision("failed", job->spec.id,
                     std::to_string(crashed.size()) + " workers crashed under task " +
                         std::to_string(name.task.step) + "/" + std::to_string(name.task.index));
        close_job(*job, job_phase::failed, wall);
    } else if (is_suspect(task)) {
        task.isolate_until = time + max_isolation_wait;
    }
}

/// Lets the suspects of a job loaded from the store wait for idle workers.
void workflow_state::isolate_loaded_suspects(job_record& job, time_point time)
{
    for (auto& step : job.steps) {
        for (auto& task : step.tasks) {
            if (is_suspect(task)) {
                task.isolate_until = time + max_isolation_wait;
            }
        }
    }
}

/// Checks whether a suspect may have a candidate's worker for itself.
bool workflow_state::can_isolate(const ready_step& step, const candidate& option) const
{
    const bool has_ticket = !step.job->terms.permission || option.ticket != nullptr;
    return option.fits > 0 && has_ticket && fleet_.at(option.worker).runs.empty();
}

/// Starts suspects on idle workers, one on each.
void workflow_state::start_suspects(const ready_step& step, std::vector<candidate>& candidates,
                                    time_point time)
{
    const auto& tasks = step.record().tasks;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        const auto& task = tasks[static_cast<std::size_t>(index)];
        if (task.phase != task_phase::waiting || !is_suspect(task)) {
            continue;
        }
        const auto idle = std::ranges::find_if(
            candidates, [&](const candidate& option) { return can_isolate(step, option); });
        if (idle == candidates.end()) {
            return;
        }
        start_task(step, index, idle->worker, next_run(step.record(), index), placement::isolated,
                   time);
        idle->fits = 0;
    }
}

} // namespace flamingoseam::workflow
