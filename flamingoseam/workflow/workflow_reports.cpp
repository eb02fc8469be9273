#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

constexpr int reports_until_vanished = 2;
constexpr milliseconds aside_without_room{200};
constexpr milliseconds aside_when_unhealthy{500};
constexpr milliseconds aside_in_quarantine{4'000};
constexpr milliseconds pause_after_rejection{500};
constexpr milliseconds latest_arrival{13'000}; ///< An unanswered order is not carried out later.

} // namespace

void workflow_state::on_worker_list(const std::vector<worker_entry>& workers, time_point time)
{
    std::set<std::size_t> listed;
    for (auto entry : workers) {
        const auto known = fleet_.find(entry.id);
        const auto known_life = known ? fleet_.at(*known).entry.life : 0;
        const auto listed_life = entry.life;
        entry.life = std::max(known_life, listed_life);
        const auto index = fleet_.put(entry);
        listed.insert(index);
        if (known && listed_life > known_life) {
            fleet_.at(index).entry.life = known_life;
            begin_life(index, listed_life, time);
        }
        fleet_.at(index).listed = true;
        if (!entry.leaving && roster_.insert(index).second) {
            roster_changed_ = true;
        }
    }
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
        if (!listed.contains(index) && fleet_.at(index).listed) {
            fleet_.at(index).listed = false;
            note("worker_unlisted", "", fleet_.at(index).entry.id);
        }
    }
    pass_wanted_ = true;
}

void workflow_state::on_report(std::size_t worker, const worker_report& report, time_point time,
                               wall_time wall)
{
    auto& one = fleet_.at(worker);
    if (report.life != 0 && report.life != one.entry.life) {
        if (report.life < one.entry.life) {
            return;
        }
        begin_life(worker, report.life, time);
    }
    if (!one.reported) {
        one.reported = true;
        note("worker_reported", "", one.entry.id);
    }
    one.last_report = time;
    for (const auto& end : report.ended) {
        take_end(worker, end, time, wall);
    }
    for (const auto& run : report.present) {
        take_present(worker, run, time);
    }
    take_missing(worker, report);
    note_located(worker);
}

void workflow_state::begin_life(std::size_t worker, std::int64_t life, time_point time)
{
    auto& one = fleet_.at(worker);
    note("worker_restarted", "", one.entry.id);
    one.entry.life = life;
    one.last_end = 0;
    one.open_ends.clear();
    one.forget_up_to = 0;
    for (auto& [name, run] : one.runs) {
        // Confirmed runs may belong to either life; the next report tells. An order that was not
        // answered may still arrive in the new life, so it has to be ruled out there.
        run.stop_wanted = run.stop_wanted || run.state != held_run::knowledge::present;
        run.state = held_run::knowledge::doubtful;
        run.doubtful_since = time;
        run.stop_sent = {};
        run.stop_answered = {};
        unsent_stops_.emplace(worker, name);
    }
    for (const auto& [name, ruled_out] : std::exchange(one.ruled_out, {})) {
        if (time - ruled_out.second < latest_arrival) {
            fleet_.hold(worker, name, ruled_out.first);
            unsent_stops_.emplace(worker, name);
        }
    }
    for (const auto& [sequence, job] : open_) {
        for (auto& step : job->steps) {
            step.permission.drop_ticket(worker);
        }
    }
    health_.forget(worker);
    one.set_aside_until = {};
}

void workflow_state::take_end(std::size_t worker, const ended_run& end, time_point time,
                              wall_time wall)
{
    auto& one = fleet_.at(worker);
    if (end.number <= one.last_end) {
        return;
    }
    one.last_end = end.number;
    one.open_ends.emplace(end.number, false);
    const auto life = one.entry.life;
    record_run_time(worker, end, time);
    fleet_.release(worker, end.name);
    pass_wanted_ = true;
    auto* job = find_job(end.name.task.job);
    if (job == nullptr) {
        settle(worker, life, end.number);
        return;
    }
    if (!is_final(job->phase)) {
        apply_end(*job, worker, end, time, wall);
    }
    if (job->is_stored()) {
        settle(worker, life, end.number);
        return;
    }
    waiters_[job].ends.emplace_back(job->changed_at, open_end{worker, life, end.number});
}

void workflow_state::apply_end(job_record& job, std::size_t worker, const ended_run& end,
                               time_point time, wall_time wall)
{
    const auto step = static_cast<std::size_t>(end.name.task.step);
    const auto index = static_cast<std::size_t>(end.name.task.index);
    if (step >= job.steps.size() || index >= job.steps[step].tasks.size()) {
        return;
    }
    auto& record = job.steps[step];
    const bool gang = job.spec.steps[step].gang;
    if (end.how == run_end::done) {
        note_health(worker, job.spec.id, false, time);
        job.has_begun = true;
        if (gang) {
            finish_gang(job, end.name.task.step, wall);
        } else {
            auto& task = record.tasks[index];
            if (task.phase == task_phase::placed && task.run == end.name.run) {
                return_task(job, end.name.task.step, end.name.task.index);
            }
            finish_task(job, end.name.task.step, end.name.task.index, wall);
        }
        return;
    }
    keep_checkpoint(job, end);
    interrupt(worker, end.name);
    if (end.how != run_end::failed) {
        ++counts_.lost_runs;
        return;
    }
    note_health(worker, job.spec.id, true, time);
    note("run_failed", job.spec.id, to_string(end.name) + " on " + fleet_.at(worker).entry.id);
    note_failure(job, end.name, time, wall);
}

void workflow_state::interrupt(std::size_t worker, const run_name& name)
{
    auto* job = find_job(name.task.job);
    if (job == nullptr || is_final(job->phase)) {
        return;
    }
    const auto step = static_cast<std::size_t>(name.task.step);
    const auto& task = job->steps[step].tasks[static_cast<std::size_t>(name.task.index)];
    if (task.phase != task_phase::placed || task.run != name.run || task.worker != worker) {
        return;
    }
    return_task(*job, name.task.step, name.task.index);
    if (job->spec.steps[step].gang) {
        break_gang(*job, name.task.step);
    }
}

void workflow_state::lose_run(std::size_t worker, const run_name& name)
{
    fleet_.release(worker, name);
    ++counts_.lost_runs;
    note("run_lost", name.task.job, to_string(name) + " on " + fleet_.at(worker).entry.id);
    interrupt(worker, name);
    pass_wanted_ = true;
}

void workflow_state::take_present(std::size_t worker, const present_run& run, time_point time)
{
    auto* held = fleet_.find_run(worker, run.name);
    if (held == nullptr) {
        adopt(worker, run, time);
        return;
    }
    held->missing_reports = 0;
    if (held->state != held_run::knowledge::present) {
        held->state = held_run::knowledge::present;
        held->confirmed_at = time;
        held->percent_changed = time;
        if (auto* job = find_job(run.name.task.job); job != nullptr && !is_final(job->phase)) {
            job->has_begun = true;
            job->phase = job_phase::running;
        }
    }
    if (held->percent != run.percent) {
        held->percent = run.percent;
        held->percent_changed = time;
    }
}

void workflow_state::adopt(std::size_t worker, const present_run& run, time_point time)
{
    const auto& name = run.name;
    auto* job = find_job(name.task.job);
    const auto step = static_cast<std::size_t>(name.task.step);
    const auto index = static_cast<std::size_t>(name.task.index);
    const bool is_open = job != nullptr && !is_final(job->phase) && step < job->steps.size() &&
                         index < job->steps[step].tasks.size();
    held_run held{.size = is_open ? job->spec.steps[step].size : resources{},
                  .is_sized = is_open,
                  .state = held_run::knowledge::present,
                  .ordered_at = time,
                  .confirmed_at = time,
                  .percent = run.percent,
                  .percent_changed = time};
    if (!is_open) {
        want_stop(worker, name, fleet_.hold(worker, name, held));
        return;
    }
    held.estimate = job->spec.steps[step].estimate;
    auto& placed = fleet_.hold(worker, name, held);
    auto& record = job->steps[step];
    auto& task = record.tasks[index];
    const bool is_newest = task.phase != task_phase::done && name.run > task.run;
    const bool fits_gang = !job->spec.steps[step].gang || record.gang_run == 0 ||
                           (record.gang_run == name.run && !record.gang_broken);
    if (!is_newest || !fits_gang || task.phase == task_phase::waiting) {
        want_stop(worker, name, placed);
        return;
    }
    if (task.phase == task_phase::placed) {
        const run_name older{name.task, task.run};
        if (auto* other = fleet_.find_run(task.worker, older)) {
            want_stop(task.worker, older, *other);
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
    note("run_adopted", name.task.job, to_string(name) + " on " + fleet_.at(worker).entry.id);
}

void workflow_state::take_missing(std::size_t worker, const worker_report& report)
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
            continue; // Released together with another member of its gang.
        }
        const bool stop_taken =
            run->stop_answered != time_point{} && run->stop_answered < report.asked;
        if (run->stop_wanted && stop_taken) {
            if (run->state != held_run::knowledge::present) {
                run->stop_answered = {};
                run->stop_sent = {};
                fleet_.at(worker).ruled_out[name] = {*run, report.asked};
            }
            lose_run(worker, name);
            continue;
        }
        if (run->state == held_run::knowledge::doubtful && run->doubtful_since < report.asked) {
            want_stop(worker, name, *run);
        }
        if (run->state == held_run::knowledge::present && run->confirmed_at < report.asked &&
            ++run->missing_reports >= reports_until_vanished) {
            lose_run(worker, name);
        }
    }
}

void workflow_state::settle(std::size_t worker, std::int64_t life, std::int64_t number)
{
    if (fleet_.settle_end(worker, life, number)) {
        const auto& one = fleet_.at(worker);
        actions_.forgets.push_back({.worker = worker,
                                    .life = life,
                                    .up_to = one.forget_up_to,
                                    .all_settled = one.open_ends.empty()});
    }
}

void workflow_state::note_located(std::size_t worker)
{
    if (unreported_.erase(worker) > 0 && unreported_.empty()) {
        release_unlocated();
    }
}

void workflow_state::release_unlocated()
{
    for (const auto& [sequence, job] : open_) {
        for (int step = 0; step < static_cast<int>(job->steps.size()); ++step) {
            auto& record = job->steps[static_cast<std::size_t>(step)];
            if (record.unlocated == 0) {
                continue;
            }
            for (int index = 0; index < static_cast<int>(record.tasks.size()); ++index) {
                if (record.tasks[static_cast<std::size_t>(index)].phase == task_phase::unlocated) {
                    set_task_phase(*job, step, index, task_phase::waiting);
                }
            }
            if (record.gang_run != 0) {
                break_gang(*job, step);
            }
        }
    }
    note("recovered", "", std::to_string(open_.size()) + " open jobs");
    pass_wanted_ = true;
}

void workflow_state::note_health(std::size_t worker, const std::string& job, bool failed,
                                 time_point time)
{
    const bool out = health_.on_ended(worker, job, failed, fleet_.size(), time);
    if (out || (failed && health_.is_quarantined(worker))) {
        fleet_.at(worker).set_aside_until = time + aside_in_quarantine;
        note("worker_set_aside", "", fleet_.at(worker).entry.id + " fails what it runs");
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
        if (run->state != held_run::knowledge::present) {
            run->state = held_run::knowledge::present;
            run->confirmed_at = time;
            run->percent_changed = time;
        }
        if (!is_final(job->phase)) {
            job->has_begun = true;
            job->phase = job_phase::running;
        }
        return;
    }
    if (outcome == start_outcome::unknown) {
        if (run->state == held_run::knowledge::ordered) {
            run->state = held_run::knowledge::doubtful;
            run->doubtful_since = time;
            ++counts_.doubtful_starts;
            note("start_in_doubt", name.task.job,
                 to_string(name) + " on " + fleet_.at(worker).entry.id);
        }
        return;
    }
    if (run->state != held_run::knowledge::ordered) {
        return; // A report has already told more.
    }
    note("start_refused", name.task.job,
         to_string(name) + " on " + fleet_.at(worker).entry.id + ": " + to_string(outcome));
    apply_refusal(*job, worker, name, outcome, time);
    if (outcome == start_outcome::not_sent || outcome == start_outcome::wrong_life) {
        fleet_.release(worker, name);
        interrupt(worker, name);
        pass_wanted_ = true;
    } else {
        rule_out(worker, name, *run, time);
    }
}

/// A refusal answers the newest copy of an order; the connection may have delivered an earlier one,
/// whose answer was lost and whose run may have ended already. A report asked for after a stop
/// tells.
void workflow_state::rule_out(std::size_t worker, const run_name& name, held_run& run,
                              time_point time)
{
    run.state = held_run::knowledge::doubtful;
    run.doubtful_since = time;
    want_stop(worker, name, run);
    auto* job = find_job(name.task.job);
    const auto step = static_cast<std::size_t>(name.task.step);
    if (!is_final(job->phase) && job->spec.steps[step].gang) {
        break_gang(*job, name.task.step);
    }
}

void workflow_state::apply_refusal(job_record& job, std::size_t worker, const run_name& name,
                                   start_outcome outcome, time_point time)
{
    auto& one = fleet_.at(worker);
    const auto step = static_cast<std::size_t>(name.task.step);
    if (outcome == start_outcome::no_room) {
        one.set_aside_until = time + aside_without_room;
    } else if (outcome == start_outcome::unhealthy) {
        one.set_aside_until = time + aside_when_unhealthy;
    } else if (outcome == start_outcome::wrong_life) {
        one.reported = false;
    }
    if (step >= job.steps.size()) {
        return; // The job has ended and its steps are forgotten.
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
        run->stop_answered = time;
    }
}

void workflow_state::on_silence(std::size_t worker, bool silent, wall_time wall)
{
    auto& one = fleet_.at(worker);
    if (one.silent != silent) {
        one.silent = silent;
        one.silent_since = silent ? wall : wall_time(0);
        roster_changed_ = roster_changed_ || one.rostered;
        note(silent ? "worker_silent" : "worker_answers", "", one.entry.id);
        pass_wanted_ = true;
    }
}

void workflow_state::on_emptied(std::size_t worker)
{
    const auto runs = fleet_.at(worker).runs;
    for (const auto& [name, run] : runs) {
        lose_run(worker, name);
    }
    auto& one = fleet_.at(worker);
    one.reported = false;
    one.open_ends.clear();
    if (!one.listed && roster_.erase(worker) > 0) {
        one.rostered = false;
        roster_changed_ = true;
    }
    note("worker_emptied", "", one.entry.id);
    note_located(worker);
}

} // namespace flamingoseam::workflow
