#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace flamingoseam::workflow {

using detail::max_order_delay;

namespace {

/// A confirmed run that is listed neither as present nor as ended is lost after this time.
constexpr milliseconds min_missing_time{1'000};
constexpr milliseconds exclusion_without_capacity{200};
constexpr milliseconds exclusion_when_unhealthy{500};
constexpr milliseconds exclusion_in_quarantine{4'000};
constexpr milliseconds pause_after_rejection{500};

/// Checks whether the list shows an incarnation that no report has shown yet. The list may be older
/// than the reports. An incarnation that was listed before is no news, even if reports have shown
/// an earlier number since, as after the worker's clock was set back.
bool shows_restart(const fleet_worker& worker, std::int64_t listed_incarnation)
{
    return listed_incarnation > worker.entry.incarnation &&
           listed_incarnation != worker.listed_incarnation;
}

} // namespace

void workflow_state::on_worker_list(const std::vector<worker_entry>& workers, time_point time)
{
    std::set<std::size_t> listed;
    for (auto entry : workers) {
        const auto known = fleet_.find(entry.id);
        if (known && entry.token_base < fleet_.at(*known).released_base) {
            continue; // The list does not show yet that the worker was given to another shard.
        }
        const auto listed_incarnation = entry.incarnation;
        const bool is_restarted = known && shows_restart(fleet_.at(*known), listed_incarnation);
        if (known) {
            entry.incarnation = fleet_.at(*known).entry.incarnation;
        }
        const bool was_leaving =
            known && fleet_.at(*known).listed && fleet_.at(*known).entry.leaving;
        if (entry.leaving && !was_leaving) {
            log_decision("worker_leaving", "", entry.id);
        }
        const bool has_moved = known && fleet_.at(*known).entry.address != entry.address;
        const auto index = fleet_.put(entry);
        listed.insert(index);
        if (has_moved && leased_workers_.contains(index)) {
            fleet_.at(index).lease_stored = false; // Not with the address that it has now.
            leased_workers_changed_ = true;
        }
        fleet_.at(index).listed_incarnation = listed_incarnation;
        if (is_restarted) {
            begin_incarnation(index, listed_incarnation, !was_leaving, time);
        }
        fleet_.at(index).listed = true;
        if (!entry.leaving && leased_workers_.insert(index).second) {
            leased_workers_changed_ = true;
        }
    }
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
        if (!listed.contains(index) && fleet_.at(index).listed) {
            fleet_.at(index).listed = false;
            log_decision("worker_unlisted", "", fleet_.at(index).entry.id);
        }
    }
    pass_requested_ = true;
}

time_point::duration workflow_state::worker_list_age(time_point time) const
{
    const bool is_known = worker_list_confirmed_ != time_point{};
    return is_known ? time - worker_list_confirmed_ : time_point::duration::zero();
}

void workflow_state::on_report(std::size_t worker, const worker_report& report, time_point time,
                               wall_time wall)
{
    auto& worker_state = fleet_.at(worker);
    if (worker_state.is_released()) {
        return;
    }
    if (report.incarnation != 0 && report.incarnation != worker_state.entry.incarnation) {
        const bool is_outdated = report.incarnation < worker_state.entry.incarnation &&
                                 report.asked <= worker_state.incarnation_since;
        if (is_outdated) {
            return; // It was on its way when the restart was noticed.
        }
        begin_incarnation(worker, report.incarnation, !worker_state.entry.leaving, time);
    }
    if (!worker_state.reported) {
        worker_state.reported = true;
        log_first_report(worker, report);
    }
    worker_state.is_emptied = false;
    worker_state.last_report = time;
    worker_state.last_asked = std::max(worker_state.last_asked, report.asked);
    not_accepting_.erase(worker);
    for (const auto& end : report.ended) {
        handle_end(worker, end, time, wall);
    }
    for (const auto& run : report.present) {
        handle_present_run(worker, run, report.asked, time);
    }
    settle_ends(worker, report);
    repeat_forget(worker, report);
    worker_state.lists_part_of_ends = report.has_more_ends;
    if (worker_state.lists_part_of_ends) {
        return; // A run that is not among them may have ended.
    }
    handle_missing_runs(worker, report, time, wall);
    if (++worker_state.complete_reports >= reports_until_certain) {
        worker_state.confirmed_asked = std::max(worker_state.confirmed_asked, report.asked);
        mark_located_if_confirmed(worker);
    }
}

/// Logs whether the owner has waited for the worker's report, and how many runs in it the owner did
/// not order or expect.
void workflow_state::log_first_report(std::size_t worker, const worker_report& report)
{
    const auto& worker_state = fleet_.at(worker);
    const auto unexpected = std::ranges::count_if(report.present, [&](const present_run& run) {
        return !worker_state.runs.contains(run.name);
    });
    log_decision("worker_reported", "", worker_state.entry.id,
                 {{"awaited", unreported_.contains(worker) ? 1 : 0},
                  {"unexpected_runs", unexpected},
                  {"incarnation", worker_state.entry.incarnation}});
}

void workflow_state::begin_incarnation(std::size_t worker, std::int64_t incarnation,
                                       bool after_crash, time_point time)
{
    auto& worker_state = fleet_.at(worker);
    log_decision("worker_restarted", "", worker_state.entry.id,
                 {{"incarnation", incarnation},
                  {"runs", static_cast<std::int64_t>(worker_state.runs.size())}});
    const bool had_reported = has_reported_since_earlier_owner(worker);
    worker_state.entry.incarnation = incarnation;
    worker_state.incarnation_since = time;
    // A poll meant for the earlier incarnation may still acknowledge ends there, so nothing is
    // started before the new one has reported.
    worker_state.reported = false;
    worker_state.complete_reports = 0;
    worker_state.confirmed_asked = {};
    worker_state.newest_end = 0;
    worker_state.listed_end = 0;
    worker_state.settled_end = 0;
    worker_state.unacknowledged_ends.clear();
    worker_state.kept_ends.clear();
    worker_state.forget_up_to = 0;
    for (auto& [name, run] : worker_state.runs) {
        // A confirmed run may belong to either incarnation; the next report shows to which. An
        // unanswered order may still arrive in the new incarnation, so it must be ruled out there.
        run.stop_requested = run.stop_requested || run.state != assigned_run::run_state::present;
        run.worker_crashed = run.worker_crashed || (after_crash && run.has_begun());
        run.state = assigned_run::run_state::unconfirmed;
        run.unconfirmed_since = time;
        run.stop_sent_at = {};
        run.stop_accepted_at = {};
        unaccepted_stops_.emplace(worker, name);
    }
    for (const auto& [name, ruled_out] : std::exchange(worker_state.ruled_out, {})) {
        if (time - ruled_out.second < max_order_delay) {
            fleet_.assign(worker, name, ruled_out.first);
            unaccepted_stops_.emplace(worker, name);
        }
    }
    for (const auto& [sequence, job] : open_) {
        for (auto& step : job->steps) {
            step.permission.forget_answer(worker);
        }
    }
    health_.forget(worker);
    worker_state.excluded_until = {};
    if (had_reported) {
        mark_located(worker); // No earlier owner can have started runs on the new incarnation.
    }
}

void workflow_state::interrupt(std::size_t worker, const run_name& name)
{
    auto* job = find_job(name.task.job);
    if (job == nullptr || is_final(job->phase) || !job->has_task(name.task)) {
        return;
    }
    const auto step = static_cast<std::size_t>(name.task.step);
    const auto& task = job->steps[step].tasks[static_cast<std::size_t>(name.task.index)];
    if (task.phase != task_phase::placed || task.run != name.run || task.worker != worker) {
        return;
    }
    requeue_task(*job, name.task.step, name.task.index);
    if (job->spec.steps[step].gang) {
        break_gang(*job, name.task.step);
    }
}

void workflow_state::mark_run_lost(std::size_t worker, const run_name& name)
{
    fleet_.release(worker, name);
    ++counts_.lost_runs;
    log_decision("run_lost", name.task.job, to_string(name) + " on " + fleet_.at(worker).entry.id);
    interrupt(worker, name);
    pass_requested_ = true;
}

/// Records that a report, requested at `asked`, lists a run.
void workflow_state::handle_present_run(std::size_t worker, const present_run& run,
                                        time_point asked, time_point time)
{
    auto* assigned = fleet_.find_run(worker, run.name);
    if (assigned == nullptr) {
        adopt(worker, run, time);
        return;
    }
    assigned->missing_reports = 0;
    assigned->worker_crashed = false;
    if (assigned->stop_accepted_at != time_point{} && assigned->stop_accepted_at < asked) {
        // The stop has not ended the run: perhaps an earlier incarnation has accepted it.
        assigned->stop_accepted_at = {};
        unaccepted_stops_.emplace(worker, run.name);
    }
    if (assigned->state != assigned_run::run_state::present) {
        assigned->state = assigned_run::run_state::present;
        assigned->confirmed_at = time;
        assigned->percent_changed_at = time;
        if (auto* job = find_job(run.name.task.job); job != nullptr && !is_final(job->phase)) {
            job->has_begun = true;
            job->phase = job_phase::running;
        }
    }
    if (assigned->percent != run.percent) {
        assigned->percent = run.percent;
        assigned->percent_changed_at = time;
    }
}

void workflow_state::adopt(std::size_t worker, const present_run& run, time_point time)
{
    const auto& name = run.name;
    auto* job = find_job(name.task.job);
    const auto step = static_cast<std::size_t>(name.task.step);
    const auto index = static_cast<std::size_t>(name.task.index);
    const bool is_open = job != nullptr && !is_final(job->phase) && job->has_task(name.task);
    assigned_run assigned{.size = is_open ? job->spec.steps[step].size : resources{},
                          .shares_worker = is_open,
                          .state = assigned_run::run_state::present,
                          .ordered_at = time,
                          .confirmed_at = time,
                          .percent = run.percent,
                          .percent_changed_at = time};
    if (job == nullptr) {
        log_unknown_job("run_unknown_job", worker, name, "to be stopped");
    }
    if (!is_open) {
        request_stop(worker, name, fleet_.assign(worker, name, assigned), stop_reason::not_wanted);
        return;
    }
    assigned.estimate = job->spec.steps[step].estimate;
    auto& placed = fleet_.assign(worker, name, assigned);
    auto& record = job->steps[step];
    auto& task = record.tasks[index];
    const bool is_newest = task.phase != task_phase::done && name.run > task.run;
    const bool fits_gang = !job->spec.steps[step].gang || record.gang_run == 0 ||
                           (record.gang_run == name.run && !record.gang_broken);
    if (!is_newest || !fits_gang || task.phase == task_phase::waiting) {
        request_stop(worker, name, placed, stop_reason::not_wanted);
        return;
    }
    if (task.phase == task_phase::placed) {
        const run_name older{name.task, task.run};
        if (auto* other = fleet_.find_run(task.worker, older)) {
            request_stop(task.worker, older, *other, stop_reason::superseded);
        }
    }
    set_task_phase(*job, name.task.step, name.task.index, task_phase::placed);
    task.run = name.run;
    task.worker = worker;
    if (job->spec.steps[step].gang) {
        record.gang_run = name.run;
    }
    job->has_begun = true;
    job->phase = job_phase::running;
    log_decision("run_adopted", name.task.job,
                 to_string(name) + " on " + fleet_.at(worker).entry.id);
}

namespace {

/// Records that a complete report lacks a confirmed run, and checks whether several do and have
/// done so for long. The worker lists the end of such a run until the owner has acknowledged it.
bool is_missing_for_long(assigned_run& run, time_point time)
{
    if (run.missing_reports == 0) {
        run.missing_since = time;
    }
    ++run.missing_reports;
    return run.missing_reports >= reports_until_certain &&
           time - run.missing_since >= min_missing_time;
}

} // namespace

void workflow_state::handle_missing_runs(std::size_t worker, const worker_report& report,
                                         time_point time, wall_time wall)
{
    std::set<run_name> present;
    for (const auto& run : report.present) {
        present.insert(run.name);
    }
    const auto runs = fleet_.at(worker).runs;
    for (const auto& [name, seen] : runs) {
        if (present.contains(name)) {
            continue;
        }
        auto* run = fleet_.find_run(worker, name);
        if (run == nullptr) {
            continue; // It was released together with another member of its gang.
        }
        const bool stop_accepted =
            run->stop_accepted_at != time_point{} && run->stop_accepted_at < report.asked;
        if (run->stop_requested && stop_accepted) {
            if (run->has_begun() && !is_missing_for_long(*run, time)) {
                continue; // Its end is yet to be listed.
            }
            if (run->state != assigned_run::run_state::present) {
                keep_ruled_out(worker, name, *run, report.asked);
            }
            const bool after_crash = run->worker_crashed;
            mark_run_lost(worker, name);
            if (after_crash) {
                record_crash(worker, name, time, wall);
            }
            continue;
        }
        if (run->state == assigned_run::run_state::unconfirmed &&
            run->unconfirmed_since < report.asked) {
            request_stop(worker, name, *run, stop_reason::unconfirmed);
        }
        if (run->state == assigned_run::run_state::present && run->confirmed_at < report.asked &&
            is_missing_for_long(*run, time)) {
            mark_run_lost(worker, name);
        }
    }
}

void workflow_state::record_health(std::size_t worker, const std::string& job, bool failed,
                                   time_point time)
{
    const bool out = health_.on_ended(worker, job, failed, fleet_.size(), time);
    if (out || (failed && health_.is_quarantined(worker))) {
        fleet_.at(worker).excluded_until = time + exclusion_in_quarantine;
        log_decision("worker_set_aside", "",
                     fleet_.at(worker).entry.id + " is excluded because its runs fail");
    }
}

void workflow_state::on_start(std::size_t worker, const run_name& name, start_outcome outcome,
                              time_point time)
{
    orders_.record_answered(name, time);
    auto* run = fleet_.find_run(worker, name);
    auto* job = find_job(name.task.job);
    if (run == nullptr || job == nullptr) {
        return;
    }
    if (outcome == start_outcome::started) {
        record_accepted_start(*job, name.task.step, time);
        if (run->state != assigned_run::run_state::present) {
            run->state = assigned_run::run_state::present;
            run->confirmed_at = time;
            run->percent_changed_at = time;
        }
        if (!is_final(job->phase)) {
            job->has_begun = true;
            job->phase = job_phase::running;
        }
        return;
    }
    if (outcome == start_outcome::unknown) {
        mark_unconfirmed(worker, name, *run, time);
        return;
    }
    if (run->state != assigned_run::run_state::ordered) {
        return; // A report has already shown a newer state.
    }
    log_decision("start_refused", name.task.job,
                 to_string(name) + " on " + fleet_.at(worker).entry.id + ": " + to_string(outcome));
    apply_refusal(*job, worker, name, outcome, time);
    if (outcome == start_outcome::not_sent || outcome == start_outcome::wrong_incarnation) {
        fleet_.release(worker, name);
        interrupt(worker, name);
        pass_requested_ = true;
    } else {
        rule_out(worker, name, *run, time);
    }
}

/// Records that it is not known whether an ordered run has begun. The next reports show it.
void workflow_state::mark_unconfirmed(std::size_t worker, const run_name& name, assigned_run& run,
                                      time_point time)
{
    if (run.state != assigned_run::run_state::ordered) {
        return;
    }
    run.state = assigned_run::run_state::unconfirmed;
    run.unconfirmed_since = time;
    ++counts_.unconfirmed_starts;
    log_decision("start_in_doubt", name.task.job,
                 to_string(name) + " on " + fleet_.at(worker).entry.id,
                 {{"order_ms", (time - run.ordered_at) / milliseconds(1)}});
}

/// Stops a run whose start was refused. A refusal answers the newest copy of an order; the
/// connection may have delivered an earlier copy, whose answer was lost and whose run may have
/// ended already. Only a report that is requested after the worker has accepted the stop shows
/// whether the run took place.
void workflow_state::rule_out(std::size_t worker, const run_name& name, assigned_run& run,
                              time_point time)
{
    run.state = assigned_run::run_state::unconfirmed;
    run.unconfirmed_since = time;
    request_stop(worker, name, run, stop_reason::start_refused);
    auto* job = find_job(name.task.job);
    const auto step = static_cast<std::size_t>(name.task.step);
    if (!is_final(job->phase) && job->spec.steps[step].gang) {
        break_gang(*job, name.task.step);
    }
}

void workflow_state::apply_refusal(job_record& job, std::size_t worker, const run_name& name,
                                   start_outcome outcome, time_point time)
{
    auto& worker_state = fleet_.at(worker);
    const auto step = static_cast<std::size_t>(name.task.step);
    if (outcome == start_outcome::no_room) {
        worker_state.excluded_until = time + exclusion_without_capacity;
    } else if (outcome == start_outcome::unhealthy) {
        worker_state.excluded_until = time + exclusion_when_unhealthy;
    } else if (outcome == start_outcome::wrong_incarnation) {
        worker_state.reported = false;
    }
    if (step >= job.steps.size()) {
        return; // The job has ended and its steps were discarded.
    }
    if (outcome == start_outcome::no_ticket) {
        job.steps[step].permission.drop_ticket(worker);
    } else if (outcome == start_outcome::rejected) {
        job.steps[step].not_before = time + pause_after_rejection;
    }
}

void workflow_state::on_stop(std::size_t worker, const run_name& name, time_point time)
{
    if (auto* run = fleet_.find_run(worker, name)) {
        run->stop_accepted_at = time;
    }
}

void workflow_state::on_unreachable_changed(std::size_t worker, bool unreachable,
                                            time_point silent_since, time_point time)
{
    auto& worker_state = fleet_.at(worker);
    if (worker_state.unreachable == unreachable || worker_state.is_released()) {
        return;
    }
    const auto silent_for = std::chrono::duration_cast<milliseconds>(time - silent_since);
    worker_state.unreachable = unreachable;
    worker_state.silence_loaded = false;
    worker_state.silent_since = silent_since;
    leased_workers_changed_ =
        leased_workers_changed_ || worker_state.lease_stored || worker_state.silence_stored;
    log_decision(unreachable ? "worker_silent" : "worker_answers", "", worker_state.entry.id,
                 {{"silent_ms", silent_for.count()}});
    pass_requested_ = true;
    if (unreachable) {
        worker_state.ended_silence.reset();
    } else if (worker_state.silence_stored) {
        worker_state.ended_silence = silent_since;
    } else {
        actions_.renewal_permits.push_back({worker, silent_since});
    }
}

void workflow_state::on_emptied(std::size_t worker, emptied_reason reason, time_point time,
                                wall_time wall)
{
    auto& worker_state = fleet_.at(worker);
    if (worker_state.is_released()) {
        return;
    }
    const bool after_crash = reason == emptied_reason::replaced && !worker_state.entry.leaving;
    const auto runs = worker_state.runs;
    std::int64_t awaited_starts = 0;
    for (const auto& [name, run] : runs) {
        if (reason == emptied_reason::lease_expired && !run.was_confirmed()) {
            if (awaits_start(worker, run, time)) {
                ++awaited_starts;
                continue;
            }
            keep_ruled_out(worker, name, run, time);
        }
        mark_run_lost(worker, name);
        if ((after_crash && run.has_begun()) || run.worker_crashed) {
            record_crash(worker, name, time, wall);
        }
    }
    worker_state.reported = false;
    worker_state.complete_reports = 0;
    worker_state.is_emptied = true;
    if (!worker_state.listed && leased_workers_.erase(worker) > 0) {
        worker_state.lease_stored = false;
        leased_workers_changed_ = true;
    }
    leased_workers_changed_ = leased_workers_changed_ || worker_state.lease_stored;
    const bool was_silent = worker_state.unreachable;
    log_decision(
        "worker_emptied", "",
        worker_state.entry.id + (reason == emptied_reason::replaced
                                     ? ": another incarnation answers"
                                     : ": its lease has expired"),
        {{"silent_ms", was_silent ? (time - worker_state.silent_since) / milliseconds(1) : 0},
         {"silence_loaded", worker_state.silence_loaded ? 1 : 0},
         {"lost_runs", static_cast<std::int64_t>(runs.size()) - awaited_starts},
         {"awaited_starts", awaited_starts}});
    mark_located(worker);
}

/// Checks whether an unanswered start may still be carried out by the worker's present incarnation,
/// which began later and knows neither the lease of the earlier one nor what was stopped there.
bool workflow_state::awaits_start(std::size_t worker, const assigned_run& run,
                                  time_point time) const
{
    return run.ordered_at < fleet_.at(worker).incarnation_since &&
           time < run.ordered_at + max_order_delay;
}

/// Remembers an unanswered start that the present incarnation can't carry out any more, so that it
/// is ruled out in the next one as well.
void workflow_state::keep_ruled_out(std::size_t worker, const run_name& name, assigned_run run,
                                    time_point time)
{
    run.state = assigned_run::run_state::unconfirmed;
    run.stop_requested = true;
    run.stop_accepted_at = {};
    run.stop_sent_at = {};
    fleet_.at(worker).ruled_out[name] = {run, time};
}

/// Takes the runs for lost whose worker is silent and whose unanswered starts can't arrive any
/// more.
void workflow_state::release_undelivered_runs(time_point time)
{
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        if (!fleet_.at(worker).is_emptied) {
            continue;
        }
        const auto runs = fleet_.at(worker).runs;
        for (const auto& [name, run] : runs) {
            if (!awaits_start(worker, run, time)) {
                mark_run_lost(worker, name);
                leased_workers_changed_ = leased_workers_changed_ || fleet_.at(worker).lease_stored;
            }
        }
    }
}

} // namespace flamingoseam::workflow
