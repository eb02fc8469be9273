#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds report_interval{2'500};
constexpr milliseconds min_wait{5'000};     ///< Steps that wait for less are not reported.
constexpr int max_reports_per_reason = 2;   ///< At a time; the oldest jobs are reported.
constexpr int max_examined_steps = 24;      ///< At a time; the oldest ones. Bounds the time used.
constexpr milliseconds recent_refusal{500}; ///< Call slots are asked for again within this.

/// Checks whether all waiting tasks of a step wait for workers of their own.
bool are_all_isolated(const ready_step& step, time_point time)
{
    return std::ranges::all_of(step.record().tasks, [time](const task_record& task) {
        return task.phase != task_phase::waiting || time < task.isolate_until;
    });
}

/// Returns for how many milliseconds something has lasted, -1 if it has not happened.
std::int64_t elapsed_ms(time_point since, time_point time)
{
    return since == time_point{} ? -1
                                 : std::chrono::duration_cast<milliseconds>(time - since).count();
}

} // namespace

/// Returns what the owner knows of a step that might start tasks.
workflow_state::wait_facts workflow_state::facts_of(const ready_step& step, time_point time)
{
    wait_facts facts;
    const auto& permission = step.record().permission;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        if (!can_run(step, worker, time)) {
            continue;
        }
        ++facts.usable;
        if (step.job->terms.permission && !permission.has_answer_for(worker)) {
            ++facts.unknown;
        }
        if (is_permitted(step, worker)) {
            ++facts.usable_permitted;
            const int places = fits_now(step, worker, time);
            const bool has_ticket =
                !step.job->terms.permission ||
                permission.find_ticket(worker, time + detail::ticket_use_margin) != nullptr;
            facts.places += places;
            facts.places_with_ticket += has_ticket ? places : 0;
        }
    }
    return facts;
}

/// Returns why no worker is usable for a step.
workflow_state::wait_reason workflow_state::reason_without_workers(const ready_step& step,
                                                                   time_point time) const
{
    const auto& service = step.job->terms.service;
    bool is_any_usable = false;
    bool is_any_of_service = false;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& state = fleet_.at(worker);
        const bool is_usable = state.is_usable(time);
        is_any_usable = is_any_usable || is_usable;
        is_any_of_service = is_any_of_service || (is_usable && state.entry.service == service);
    }
    if (!is_any_usable) {
        return {"no worker is usable"};
    }
    if (!is_any_of_service) {
        return {"no worker is usable of service", service};
    }
    return {"no worker is usable with label", step.spec().label};
}

/// Returns why no task of a step runs at present.
workflow_state::wait_reason
workflow_state::reason_for_waiting(const ready_step& step, const wait_facts& facts, time_point time)
{
    const auto& job = *step.job;
    const auto& record = step.record();
    const auto& permission = record.permission;
    const int needed = step.needed_places();
    if (!job.spec_stored) {
        return {"the job is not stored"};
    }
    if (record.gang_broken) {
        return {"runs of the gang are being stopped"};
    }
    if (record.unlocated > 0) {
        return {"runs of an earlier owner are not located"};
    }
    if (record.placed > 0) {
        return {"its starts are not confirmed"};
    }
    if (!ready_.contains(job, step.step)) {
        return {"it is not queued"};
    }
    if (record.not_before > time) {
        return {"a run has failed"};
    }
    if (facts.usable == 0) {
        return reason_without_workers(step, time);
    }
    if (are_all_isolated(step, time)) {
        return {"tasks under which workers crashed wait for idle workers"};
    }
    if (is_waiting_for_rack(step, time)) {
        const auto& rack = step.spec().preferred_rack;
        return rack.empty() ? wait_reason{"no room in a single rack"}
                            : wait_reason{"no room in its preferred rack", rack};
    }
    if (permission.outstanding != 0) {
        return {"a permission request is not answered"};
    }
    if (facts.places_with_ticket >= needed) {
        return {"more urgent steps wait"};
    }
    if (time - record.call_refused_at < recent_refusal) {
        return {"no call slot for a permission request"};
    }
    if (job.terms.permission && !permission.has_answer()) {
        return {"no worker has been asked about"};
    }
    if (facts.places >= needed) {
        return {"its tickets have expired"};
    }
    if (job.terms.permission && facts.unknown == 0) {
        return {"no room, and all workers were asked about"};
    }
    return {"no room"};
}

/// Checks whether a worker has confirmed that it runs a task of the job.
bool workflow_state::has_present_run(const job_record& job)
{
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        const auto& tasks = job.steps[step].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            const auto& task = tasks[index];
            if (task.phase != task_phase::placed) {
                continue;
            }
            const auto* run = fleet_.find_run(
                task.worker,
                {{job.spec.id, static_cast<int>(step), static_cast<int>(index)}, task.run});
            if (run != nullptr && run->has_begun()) {
                return true;
            }
        }
    }
    return false;
}

void workflow_state::report_waiting_step(const ready_step& step, const wait_facts& facts,
                                         const wait_reason& reason, time_point time)
{
    const auto& record = step.record();
    const auto outstanding = requests_.find(record.permission.outstanding);
    const auto asked = outstanding == requests_.end() ? time_point{} : outstanding->second.asked;
    const auto late = lateness_of(*step.job, time);
    log_decision("step_waits", step.job->spec.id,
                 "step " + std::to_string(step.step) + ": " + reason.text +
                     (reason.name.empty() ? "" : " " + reason.name),
                 {{"tasks", static_cast<std::int64_t>(record.tasks.size())},
                  {"waiting", record.waiting()},
                  {"placed", record.placed},
                  {"unlocated", record.unlocated},
                  {"priority", step.job->terms.priority},
                  {"late", static_cast<std::int64_t>(late)},
                  {"gang", step.spec().gang ? 1 : 0},
                  {"waits_ms", elapsed_ms(record.waits_since, time)},
                  {"examined_ms", elapsed_ms(record.examined_at, time)},
                  {"request_ms", elapsed_ms(asked, time)},
                  {"permission_calls", record.permission.calls},
                  {"permitted", static_cast<std::int64_t>(record.permission.permitted().size())},
                  {"usable_permitted", facts.usable_permitted},
                  {"places", facts.places},
                  {"places_with_ticket", facts.places_with_ticket},
                  {"unknown_workers", facts.unknown},
                  {"unreported_workers", static_cast<std::int64_t>(unreported_.size())},
                  {"workers", facts.usable}});
}

/// Logs the steps of jobs that have had nothing running for long, with what tells the reason: the
/// oldest ones for each reason, how many of the oldest wait for each, and the number of jobs.
/// Complexity: linear in the open jobs and their tasks, and in the workers.
void workflow_state::report_waiting_steps(time_point time)
{
    if (time < next_waiting_report_) {
        return;
    }
    next_waiting_report_ = time + report_interval;
    std::map<std::string, int> reports;
    int examined = 0;
    std::int64_t idle_jobs = 0;
    for (const auto& [sequence, job] : open_) {
        if (has_present_run(*job)) {
            job->idle_since = {};
            continue;
        }
        job->idle_since = job->idle_since == time_point{} ? time : job->idle_since;
        if (time - job->idle_since < min_wait) {
            continue;
        }
        ++idle_jobs;
        for (std::size_t index = 0; index < job->steps.size(); ++index) {
            const bool is_due = !job->steps[index].is_done() && job->are_predecessors_done(index);
            if (!is_due || examined == max_examined_steps) {
                continue;
            }
            ++examined;
            const ready_step step{job, static_cast<int>(index)};
            const auto facts = facts_of(step, time);
            const auto reason = reason_for_waiting(step, facts, time);
            if (++reports[reason.text] <= max_reports_per_reason) {
                report_waiting_step(step, facts, reason, time);
            }
        }
    }
    for (const auto& [reason, steps] : reports) {
        log_decision("steps_wait", "", reason, {{"steps", steps}, {"idle_jobs", idle_jobs}});
    }
}

} // namespace flamingoseam::workflow
