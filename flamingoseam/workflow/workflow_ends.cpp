#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

/// An end that can't be stored is acknowledged when more ends have followed it, as a full list
/// would hide later ones.
constexpr std::size_t max_ends_behind_kept_end = 100;

/// Checks whether an end decides if its task may be started again.
bool has_result(const ended_run& end)
{
    return end.how == run_end::done || end.how == run_end::failed;
}

} // namespace

void workflow_state::handle_end(std::size_t worker, const ended_run& end, time_point time,
                                wall_time wall)
{
    auto& worker_state = fleet_.at(worker);
    if (worker_state.knows_end(end)) {
        return;
    }
    if (end.number < worker_state.newest_end) {
        log_decision("end_listed_late", end.name.task.job,
                     to_string(end.name) + " on " + worker_state.entry.id + ": " +
                         to_string(end.how),
                     {{"end", end.number}, {"newest_end", worker_state.newest_end}});
    }
    worker_state.newest_end = std::max(worker_state.newest_end, end.number);
    worker_state.unacknowledged_ends.emplace(end.number, false);
    if (worker_state.unacknowledged_ends.size() > max_ends_behind_kept_end) {
        drop_kept_end(worker);
    }
    const auto incarnation = worker_state.entry.incarnation;
    record_run_time(worker, end, time);
    fleet_.release(worker, end.name);
    pass_requested_ = true;
    auto* job = find_job(end.name.task.job);
    if (job == nullptr) {
        log_unknown_job("end_unknown_job", worker, end.name, to_string(end.how),
                        {{"end", end.number}});
        if (has_result(end) && (is_unreadable(end.name.task.job) || !certain_)) {
            worker_state.kept_ends.emplace(end.number, end.name);
        } else {
            acknowledge_end(worker, incarnation, end.number);
        }
        return;
    }
    if (!is_final(job->phase)) {
        apply_end(*job, worker, end, time, wall);
    }
    if (job->is_stored()) {
        acknowledge_end(worker, incarnation, end.number);
        return;
    }
    waiters_[job].ends.emplace_back(job->changed_at, end_key{worker, incarnation, end.number});
}

/// Acknowledges the kept ends of jobs that this owner does not know, once it is certain that there
/// is no later owner that does.
void workflow_state::acknowledge_kept_ends()
{
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        auto& worker_state = fleet_.at(worker);
        std::erase_if(worker_state.kept_ends, [&](const auto& kept) {
            const auto& [number, name] = kept;
            if (is_unreadable(name.task.job)) {
                return false;
            }
            acknowledge_end(worker, worker_state.entry.incarnation, number);
            return true;
        });
    }
}

/// Acknowledges the first kept end of a worker, as too many have followed it.
void workflow_state::drop_kept_end(std::size_t worker)
{
    auto& worker_state = fleet_.at(worker);
    if (worker_state.kept_ends.empty()) {
        return;
    }
    const auto [number, name] = *worker_state.kept_ends.begin();
    worker_state.kept_ends.erase(worker_state.kept_ends.begin());
    log_unknown_job("unreadable_end_dropped", worker, name, "too many ends follow",
                    {{"end", number}});
    acknowledge_end(worker, worker_state.entry.incarnation, number);
}

/// Logs a run of a job that this owner doesn't know, and with which token it uses the worker.
void workflow_state::log_unknown_job(const std::string& event, std::size_t worker,
                                     const run_name& name, const std::string& what,
                                     std::vector<log_field> fields)
{
    const auto& entry = fleet_.at(worker).entry;
    fields.push_back({"token_base", static_cast<std::int64_t>(entry.token_base)});
    fields.push_back({"epoch", static_cast<std::int64_t>(options_.epoch)});
    fields.push_back({"incarnation", entry.incarnation});
    log_decision(event, name.task.job, to_string(name) + " on " + entry.id + ": " + what,
                 std::move(fields));
}

void workflow_state::apply_end(job_record& job, std::size_t worker, const ended_run& end,
                               time_point time, wall_time wall)
{
    if (!job.has_task(end.name.task)) {
        return;
    }
    const auto step = static_cast<std::size_t>(end.name.task.step);
    const auto index = static_cast<std::size_t>(end.name.task.index);
    auto& record = job.steps[step];
    const bool gang = job.spec.steps[step].gang;
    if (end.how == run_end::done) {
        record_health(worker, job.spec.id, false, time);
        job.has_begun = true;
        if (gang) {
            finish_gang(job, end.name.task.step, wall);
        } else {
            auto& task = record.tasks[index];
            if (task.phase == task_phase::placed && task.run == end.name.run) {
                requeue_task(job, end.name.task.step, end.name.task.index);
            }
            finish_task(job, end.name.task.step, end.name.task.index, wall);
        }
        return;
    }
    record_checkpoint(job, end);
    interrupt(worker, end.name);
    if (end.how != run_end::failed) {
        ++counts_.lost_runs;
        return;
    }
    record_health(worker, job.spec.id, true, time);
    log_decision("run_failed", job.spec.id,
                 to_string(end.name) + " on " + fleet_.at(worker).entry.id);
    record_failure(job, end.name, time, wall);
}

void workflow_state::acknowledge_end(std::size_t worker, std::int64_t incarnation,
                                     std::int64_t number)
{
    if (fleet_.mark_end_stored(worker, incarnation, number)) {
        order_forget(worker);
    }
}

void workflow_state::order_forget(std::size_t worker)
{
    const auto& worker_state = fleet_.at(worker);
    actions_.forgets.push_back({.worker = worker,
                                .incarnation = worker_state.entry.incarnation,
                                .up_to = worker_state.forget_up_to,
                                .all_stored = worker_state.unacknowledged_ends.empty()});
}

/// Records which ends a report contains, and lets the worker discard those that are certain by now.
void workflow_state::settle_ends(std::size_t worker, const worker_report& report)
{
    std::int64_t newest = 0;
    for (const auto& end : report.ended) {
        newest = std::max(newest, end.number);
    }
    if (fleet_.settle_ends(worker, newest)) {
        order_forget(worker);
    }
}

/// Allows a worker once more to discard ends that it still lists, as a session that began later has
/// not been told so.
void workflow_state::repeat_forget(std::size_t worker, const worker_report& report)
{
    const auto& state = fleet_.at(worker);
    if (!report.ended.empty() && report.ended.front().number <= state.forget_up_to) {
        order_forget(worker);
    }
}

} // namespace flamingoseam::workflow
