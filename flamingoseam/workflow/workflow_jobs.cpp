#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds retry_after_store_unavailable{1'500};
constexpr milliseconds retry_after_job_limit{2'000};
constexpr const char* store_unavailable = "store_unavailable";

} // namespace

workflow_state::workflow_state(workflow_options options)
    : options_(std::move(options)), streams_(options_.streams), ready_(options_.order)
{
}

void workflow_state::submit(std::uint64_t token, const job_spec& spec,
                            const queue_terms& submitted_terms, time_point time, wall_time wall)
{
    if (auto* known = find_job(spec.id)) {
        if (known->is_stored() || known->spec_stored) {
            actions_.answers.push_back({.token = token});
        } else {
            waiters_[known].answers.push_back({known->changed_at, token});
        }
        return;
    }
    if (const auto cancelled = unknown_cancelled_.find(spec.id, time)) {
        const auto left = *cancelled + unknown_cancelled_.retention() - time;
        refuse(token, spec.id, "cancelled", std::chrono::ceil<milliseconds>(left));
        return;
    }
    if (!store_available_) {
        refuse(token, spec.id, store_unavailable, retry_after_store_unavailable);
        return;
    }
    if (open_.size() >= options_.max_open_jobs) {
        refuse(token, spec.id, "too_many_open_jobs", retry_after_job_limit);
        return;
    }
    // The node that forwards the job may know an older configuration.
    const auto terms = queues_.newest(submitted_terms);
    const auto verdict = may_admit(spec, terms, time);
    if (!verdict.is_accepted) {
        refuse_unservable(token, spec, terms, verdict);
        return;
    }
    auto job = std::make_unique<job_record>();
    job->spec = spec;
    job->terms = terms;
    job->accepted_service = terms.service;
    job->newest_service = terms.service;
    job->accepted = wall;
    job->received = time;
    job->due = admission_.first_submission(spec.id, time) + target_time(spec, terms);
    job->sequence = ++last_sequence_;
    fill_steps(*job, task_phase::waiting);
    auto& record = *job;
    open_.emplace(record.sequence, &record);
    jobs_.emplace(spec.id, std::move(job));
    change(record);
    waiters_[&record].answers.push_back({record.changed_at, token});
}

void workflow_state::refuse(std::uint64_t token, const std::string& job, const std::string& reason,
                            milliseconds retry_after, std::vector<log_field> inputs)
{
    inputs.push_back({"retry_after_ms", retry_after.count()});
    inputs.push_back({"open_jobs", static_cast<std::int64_t>(open_.size())});
    inputs.push_back({"most_open_jobs", static_cast<std::int64_t>(options_.max_open_jobs)});
    inputs.push_back({"changes_waiting", static_cast<std::int64_t>(changes_.size())});
    log_decision("refused", job, reason, std::move(inputs));
    actions_.answers.push_back({.token = token,
                                .kind = caller_answer::answer_kind::refused,
                                .reason = reason,
                                .retry_after = retry_after});
}

void workflow_state::set_store_available(bool available)
{
    if (store_available_ && !available) {
        refuse_unwritten();
    }
    store_available_ = available;
}

/// Refuses the jobs that no transaction has tried to store yet, instead of letting their callers
/// wait for the store.
void workflow_state::refuse_unwritten()
{
    std::vector<job_record*> unwritten;
    for (const auto& [sequence, job] : open_) {
        if (!job->spec_stored && !changes_.is_being_written(*job)) {
            unwritten.push_back(job);
        }
    }
    for (auto* job : unwritten) {
        for (const auto& waiting : waiters_[job].answers) {
            refuse(waiting.token, job->spec.id, store_unavailable, retry_after_store_unavailable);
        }
        changes_.drop(*job);
        waiters_.erase(job);
        ready_.drop(*job);
        open_.erase(job->sequence);
        jobs_.erase(std::string(job->spec.id));
    }
}

void workflow_state::cancel(std::uint64_t token, const std::string& job, time_point time,
                            wall_time wall)
{
    auto* known = find_job(job);
    if (known == nullptr) {
        unknown_cancelled_.record(job, time);
        actions_.answers.push_back({.token = token, .kind = caller_answer::answer_kind::unknown});
        return;
    }
    if (!is_final(known->phase)) {
        log_decision("cancelled", job, "requested by the client");
        ++counts_.cancelled;
        close_job(*known, job_phase::cancelled, wall);
    }
    if (known->is_stored()) {
        actions_.answers.push_back({.token = token});
        return;
    }
    waiters_[known].answers.push_back({known->changed_at, token});
}

std::optional<job_phase> workflow_state::find(const std::string& job) const
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return std::nullopt;
    }
    const auto& record = *found->second;
    if (is_final(record.phase) && !record.is_stored()) {
        return job_phase::running;
    }
    return record.phase;
}

int workflow_state::count_pending(const std::string& queue) const
{
    return static_cast<int>(std::count_if(open_.begin(), open_.end(), [&](const auto& entry) {
        const auto& job = *entry.second;
        return job.spec_stored && !job.has_begun && job.spec.queue == queue;
    }));
}

job_record* workflow_state::find_job(const std::string& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

void workflow_state::log_decision(std::string event, const std::string& job, std::string detail,
                                  std::vector<log_field> fields)
{
    actions_.decisions.push_back({.event = std::move(event),
                                  .job = job,
                                  .detail = std::move(detail),
                                  .fields = std::move(fields)});
}

void workflow_state::set_task_phase(job_record& job, int step, int index, task_phase phase)
{
    auto& record = job.steps[static_cast<std::size_t>(step)];
    auto& task = record.tasks[static_cast<std::size_t>(index)];
    const auto count = [&record](task_phase counted, int sign) {
        record.placed += counted == task_phase::placed ? sign : 0;
        record.unlocated += counted == task_phase::unlocated ? sign : 0;
        record.done += counted == task_phase::done ? sign : 0;
    };
    count(task.phase, -1);
    task.phase = phase;
    count(phase, 1);
    ready_.mark_changed(job);
    pass_requested_ = true;
}

void workflow_state::finish_task(job_record& job, int step, int index, wall_time wall)
{
    auto& task = job.steps[static_cast<std::size_t>(step)].tasks[static_cast<std::size_t>(index)];
    if (task.phase == task_phase::done) {
        return;
    }
    if (task.phase == task_phase::placed) {
        const run_name newest{{job.spec.id, step, index}, task.run};
        if (auto* run = fleet_.find_run(task.worker, newest)) {
            request_stop(task.worker, newest, *run, stop_reason::task_done);
        }
    }
    set_task_phase(job, step, index, task_phase::done);
    change(job);
    close_if_completed(job, wall);
}

void workflow_state::finish_gang(job_record& job, int step, wall_time wall)
{
    auto& record = job.steps[static_cast<std::size_t>(step)];
    for (int index = 0; index < static_cast<int>(record.tasks.size()); ++index) {
        if (record.tasks[static_cast<std::size_t>(index)].phase != task_phase::done) {
            set_task_phase(job, step, index, task_phase::done);
        }
    }
    record.gang_run = 0;
    record.gang_broken = false;
    change(job);
    close_if_completed(job, wall);
}

void workflow_state::close_if_completed(job_record& job, wall_time wall)
{
    const bool all_done = std::all_of(job.steps.begin(), job.steps.end(),
                                      [](const step_record& step) { return step.is_done(); });
    if (!all_done || is_final(job.phase)) {
        return;
    }
    ++counts_.completed;
    log_decision("completed", job.spec.id, "all tasks are done");
    close_job(job, job_phase::completed, wall);
}

void workflow_state::close_job(job_record& job, job_phase phase, wall_time wall)
{
    job.phase = phase;
    job.ended = wall;
    actions_.ends.push_back({job.terms.priority, wall - job.accepted});
    drop_reservations(job);
    if (phase != job_phase::completed) {
        stop_runs_of(job);
    }
    newly_ended_.push_back(job.spec.id);
    ready_.drop(job);
    open_.erase(job.sequence);
    change(job);
    pass_requested_ = true;
}

void workflow_state::stop_runs_of(const job_record& job)
{
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        const auto& tasks = job.steps[step].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            if (tasks[index].phase != task_phase::placed) {
                continue;
            }
            const run_name name{{job.spec.id, static_cast<int>(step), static_cast<int>(index)},
                                tasks[index].run};
            if (auto* run = fleet_.find_run(tasks[index].worker, name)) {
                request_stop(tasks[index].worker, name, *run, stop_reason::job_ended);
            }
        }
    }
}

void workflow_state::requeue_task(job_record& job, int step, int index)
{
    const auto phase =
        job.steps[static_cast<std::size_t>(step)].tasks[static_cast<std::size_t>(index)].phase;
    if (phase == task_phase::placed) {
        set_task_phase(job, step, index,
                       awaits_earlier_owner(job) ? task_phase::unlocated : task_phase::waiting);
    }
}

void workflow_state::break_gang(job_record& job, int step)
{
    auto& record = job.steps[static_cast<std::size_t>(step)];
    if (record.gang_run != 0 && !record.gang_broken) {
        record.gang_broken = true;
        for (int index = 0; index < static_cast<int>(record.tasks.size()); ++index) {
            const auto& task = record.tasks[static_cast<std::size_t>(index)];
            if (task.phase != task_phase::placed) {
                continue;
            }
            const run_name name{{job.spec.id, step, index}, task.run};
            if (auto* run = fleet_.find_run(task.worker, name)) {
                request_stop(task.worker, name, *run, stop_reason::gang_broken);
            } else {
                requeue_task(job, step, index);
            }
        }
    }
    clear_broken_gang(job, step);
}

void workflow_state::clear_broken_gang(job_record& job, int step)
{
    auto& record = job.steps[static_cast<std::size_t>(step)];
    if (record.gang_broken && record.placed == 0) {
        record.gang_broken = false;
        record.gang_run = 0;
        ready_.mark_changed(job);
        pass_requested_ = true;
    }
}

void workflow_state::record_failure(job_record& job, const run_name& name, time_point time,
                                    wall_time wall)
{
    const int step = name.task.step;
    const int index = name.task.index;
    const auto run = name.run;
    constexpr milliseconds pause_after_failure{50};
    auto& record = job.steps[static_cast<std::size_t>(step)];
    const bool gang = job.spec.steps[static_cast<std::size_t>(step)].gang;
    auto& task = record.tasks[static_cast<std::size_t>(index)];
    auto& failed = gang ? record.gang_failed_runs : task.failed_runs;
    if (std::find(failed.begin(), failed.end(), run) != failed.end()) {
        return; // Reported again: an earlier owner had not allowed the worker to discard this end.
    }
    failed.push_back(run);
    const int failures = static_cast<int>(failed.size());
    ++counts_.failed_runs;
    record.not_before = time + pause_after_failure;
    change(job);
    if (failures >= job.terms.max_attempts && !is_final(job.phase)) {
        ++counts_.failed;
        log_decision("failed", job.spec.id,
                     "task " + std::to_string(step) + "/" + std::to_string(index) + " failed " +
                         std::to_string(failures) + " times");
        close_job(job, job_phase::failed, wall);
    }
}

void workflow_state::record_checkpoint(job_record& job, const ended_run& end)
{
    const auto step = static_cast<std::size_t>(end.name.task.step);
    if (end.checkpoint.empty() || !job.spec.steps[step].checkpoints) {
        return;
    }
    auto& tasks = job.steps[step].tasks;
    if (job.spec.steps[step].gang) {
        for (auto& task : tasks) {
            task.checkpoint = end.checkpoint;
        }
    } else {
        tasks[static_cast<std::size_t>(end.name.task.index)].checkpoint = end.checkpoint;
    }
    change(job);
}

void workflow_state::request_stop(std::size_t worker, const run_name& name, assigned_run& run,
                                  stop_reason reason)
{
    if (run.stop_requested) {
        return;
    }
    run.stop_requested = true;
    run.stop_sent_at = {};
    unaccepted_stops_.emplace(worker, name);
    log_decision("stop", name.task.job,
                 to_string(name) + " on " + fleet_.at(worker).entry.id + ": " + to_string(reason),
                 {{"percent", run.percent}});
}

std::size_t workflow_state::count_overdue(time_point time) const
{
    return static_cast<std::size_t>(
        std::count_if(open_.begin(), open_.end(),
                      [time](const auto& entry) { return entry.second->due < time; }));
}

std::size_t workflow_state::count_unconfirmed() const
{
    std::size_t count = 0;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        for (const auto& [name, run] : fleet_.at(worker).runs) {
            count += run.state == assigned_run::run_state::unconfirmed ? 1 : 0;
        }
    }
    return count;
}

workflow_actions workflow_state::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace flamingoseam::workflow
