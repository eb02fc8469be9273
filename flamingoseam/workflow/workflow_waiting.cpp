#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds report_interval{2'500};
constexpr milliseconds min_wait{5'000}; ///< Steps that wait for less are not reported.
/// Each step that waits for so long is named, and named again as long after that.
constexpr milliseconds naming_interval{10'000};
constexpr int max_reports_per_reason = 2; ///< At a time, of the longest waits.
/// Limits on the steps examined at a time on all workers, which bound the time used: those with the
/// longest waits, and those to be named.
constexpr std::size_t max_examined_longest = 24;
constexpr std::size_t max_named = 16;
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

/// Returns since when a step waits: since its last start if some of its tasks run.
time_point waits_since(const step_record& step, bool runs)
{
    const bool is_examined = step.waiting() > 0 && step.waits_since != time_point{};
    const auto since =
        is_examined ? std::min(step.waits_since, step.wait_noticed) : step.wait_noticed;
    return runs ? std::max(since, step.last_start) : since;
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

/// Returns why no task of a step runs at present if that is known without looking at workers.
std::optional<workflow_state::wait_reason>
workflow_state::reason_without_search(const ready_step& step, time_point time) const
{
    const auto& job = *step.job;
    const auto& record = step.record();
    if (!certain_) {
        return wait_reason{"a later owner may exist"}; // Nothing is started or queued.
    }
    if (!job.spec_stored) {
        return wait_reason{"the job is not stored"};
    }
    if (record.gang_broken) {
        return wait_reason{"runs of the gang are being stopped"};
    }
    if (record.unlocated > 0) {
        return wait_reason{"runs of an earlier owner are not located"};
    }
    if (record.placed > 0 && (record.waiting() == 0 || step.spec().gang)) {
        return wait_reason{"its starts are not confirmed"};
    }
    if (!ready_.contains(job, step.step)) {
        return wait_reason{"it is not queued"};
    }
    if (record.not_before > time) {
        return wait_reason{"a run has failed"};
    }
    return std::nullopt;
}

/// Returns the reason for the wait of a step for which nobody looks at the workers.
workflow_state::wait_reason workflow_state::presumed_reason(const ready_step& step,
                                                            time_point time) const
{
    if (const auto reason = reason_without_search(step, time)) {
        return *reason;
    }
    const auto& record = step.record();
    if (record.permission.outstanding != 0) {
        return {"a permission request is not answered"};
    }
    if (time - record.call_refused_at < recent_refusal) {
        return {"no call slot for a permission request"};
    }
    if (step.job->terms.permission && !record.permission.has_answer()) {
        return {"no worker has been asked about"};
    }
    return {"no room, or more urgent steps wait"};
}

/// Returns why no task of a step runs at present.
workflow_state::wait_reason
workflow_state::reason_for_waiting(const ready_step& step, const wait_facts& facts, time_point time)
{
    if (const auto reason = reason_without_search(step, time)) {
        return *reason;
    }
    const auto& job = *step.job;
    const auto& record = step.record();
    const auto& permission = record.permission;
    const int needed = step.needed_places();
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

/// Checks whether a worker has confirmed that it runs a task of the step.
bool workflow_state::has_present_run(const job_record& job, std::size_t step)
{
    const auto& record = job.steps[step];
    for (std::size_t index = 0; record.placed > 0 && index < record.tasks.size(); ++index) {
        const auto& task = record.tasks[index];
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
    return false;
}

void workflow_state::report_waiting_step(const long_wait& wait, const wait_facts& facts,
                                         const wait_reason& reason, time_point time)
{
    const auto& step = wait.step;
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
                  {"waits_ms", elapsed_ms(wait.since, time)},
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

/// Returns the steps that have waited for long, of all open jobs, the longest waits first, and
/// records since when each step waits. Complexity: n log n in the open jobs and their tasks.
std::vector<workflow_state::long_wait> workflow_state::find_long_waits(time_point time)
{
    std::vector<long_wait> waits;
    idle_jobs_ = 0;
    for (const auto& [sequence, job] : open_) {
        bool has_run = false;
        for (std::size_t index = 0; index < job->steps.size(); ++index) {
            auto& record = job->steps[index];
            const bool runs = has_present_run(*job, index);
            has_run = has_run || runs;
            const bool is_due = !record.is_done() && job->are_predecessors_done(index);
            if (!is_due || (runs && record.waiting() == 0 && record.unlocated == 0)) {
                record.wait_noticed = {};
                record.wait_named = {};
                continue;
            }
            if (record.wait_noticed == time_point{}) {
                record.wait_noticed = time;
            }
            const auto since = waits_since(record, runs);
            if (time - since >= min_wait) {
                waits.push_back({.step = {job, static_cast<int>(index)}, .since = since});
            }
        }
        job->idle_since = has_run                           ? time_point{}
                          : job->idle_since == time_point{} ? time
                                                            : job->idle_since;
        idle_jobs_ += !has_run && time - job->idle_since >= min_wait ? 1 : 0;
    }
    std::ranges::stable_sort(waits, {}, &long_wait::since);
    return waits;
}

/// Logs the steps that have waited for long, with what tells the reason, and how many wait for each
/// reason.
void workflow_state::report_waiting_steps(time_point time)
{
    if (time < next_waiting_report_) {
        return;
    }
    next_waiting_report_ = time + report_interval;
    long_waits_.clear();
    report_long_waits(find_long_waits(time), time);
    for (const auto& [reason, summary] : long_waits_) {
        log_decision("steps_wait", "", reason,
                     {{"steps", summary.steps},
                      {"longest_ms", summary.longest.count()},
                      {"idle_jobs", idle_jobs_}});
    }
}

/// Returns the positions of the waits that last for very long and that no report has named yet or
/// lately; a limited number, those first that were never named. Complexity: n log n.
std::set<std::size_t> workflow_state::waits_to_name(const std::vector<long_wait>& waits,
                                                    time_point time)
{
    std::vector<std::size_t> due;
    for (std::size_t index = 0; index < waits.size(); ++index) {
        const auto named = waits[index].step.record().wait_named;
        if (time - std::max(waits[index].since, named) >= naming_interval) {
            due.push_back(index);
        }
    }
    std::ranges::stable_sort(
        due, {}, [&](std::size_t index) { return waits[index].step.record().wait_named; });
    due.resize(std::min(due.size(), max_named));
    return {due.begin(), due.end()};
}

/// Counts the long waits for each reason, and names the longest ones for each and those that are to
/// be named. Complexity: n log n in the waits, and for a limited number of them linear in the
/// workers.
void workflow_state::report_long_waits(const std::vector<long_wait>& waits, time_point time)
{
    const auto to_name = waits_to_name(waits, time);
    for (std::size_t index = 0; index < waits.size(); ++index) {
        const auto& wait = waits[index];
        const bool is_to_be_named = to_name.contains(index);
        const bool is_examined = is_to_be_named || index < max_examined_longest;
        const auto facts = is_examined ? facts_of(wait.step, time) : wait_facts{};
        const auto reason = is_examined ? reason_for_waiting(wait.step, facts, time)
                                        : presumed_reason(wait.step, time);
        auto& summary = long_waits_[reason.text];
        const auto length = std::chrono::duration_cast<milliseconds>(time - wait.since);
        summary.longest = std::max(summary.longest, length);
        const bool is_among_longest = ++summary.steps <= max_reports_per_reason;
        if (is_examined && (is_to_be_named || is_among_longest)) {
            wait.step.record().wait_named = time;
            report_waiting_step(wait, facts, reason, time);
        }
    }
}

/// Logs that tasks of a step start that has waited for long for it.
void workflow_state::report_late_start(const ready_step& step, int tasks, time_point time)
{
    auto& record = step.record();
    const auto since = std::max(record.waits_since, record.last_start);
    record.last_start = time;
    record.wait_named = {};
    if (time - since < min_wait) {
        return;
    }
    log_decision("started_late", step.job->spec.id, "step " + std::to_string(step.step),
                 {{"tasks", tasks},
                  {"waiting", record.waiting()},
                  {"waits_ms", elapsed_ms(since, time)},
                  {"permission_calls", record.permission.calls},
                  {"overdue", has_turn(step) ? 1 : 0}});
}

} // namespace flamingoseam::workflow
