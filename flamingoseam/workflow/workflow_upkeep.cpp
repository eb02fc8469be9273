#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds upkeep_interval{100};
constexpr milliseconds longest_between_passes{50};
constexpr milliseconds stop_repeat{500};
/// A task stands still when it makes no progress for this share of its estimate, within bounds.
constexpr double still_share = 0.6;
constexpr milliseconds least_still{300};
constexpr milliseconds most_still{1'500};
constexpr int nearly_done_percent = 98; ///< A gang's member that is done waits for the others.
constexpr milliseconds gang_still_allowance{500}; ///< A gang may wait for its last member.
constexpr milliseconds aside_after_stuck{3'000};
constexpr std::size_t most_removals_per_batch = 10;
constexpr std::size_t removals_worth_a_write = 20;

} // namespace

namespace {

milliseconds still_limit(milliseconds estimate, bool gang)
{
    const auto share = static_cast<double>(estimate.count()) * still_share;
    const auto limit =
        std::clamp(milliseconds(static_cast<std::int64_t>(share)), least_still, most_still);
    return gang ? limit + gang_still_allowance : limit;
}

/// Returns when a report has to show what became of a run: at once while it is in doubt or being
/// stopped, and once early in its life, since a worker that stands still shows it only there.
std::optional<time_point> report_needed(const held_run& run, time_point time)
{
    if (run.stop_wanted || run.state == held_run::knowledge::doubtful) {
        return time;
    }
    if (run.state == held_run::knowledge::present && run.percent == 0) {
        return run.confirmed_at + still_limit(run.estimate, false);
    }
    return std::nullopt;
}

} // namespace

void workflow_state::tick(time_point time)
{
    if (time - last_upkeep_ >= upkeep_interval) {
        last_upkeep_ = time;
        stop_stuck_runs(time);
        drop_idle_leavers();
    }
    repeat_stops(time);
    ask_for_reports(time);
    if (pass_wanted_ || time - last_pass_ >= longest_between_passes) {
        pass_wanted_ = false;
        last_pass_ = time;
        schedule(time);
    }
}

void workflow_state::repeat_stops(time_point time)
{
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        for (auto& [name, run] : fleet_.at(worker).runs) {
            const bool is_due =
                run.stop_sent == time_point{} || run.stop_sent + stop_repeat <= time;
            if (run.stop_wanted && run.stop_answered == time_point{} && is_due) {
                run.stop_sent = time;
                actions_.stops.push_back({worker, name});
            }
        }
    }
}

void workflow_state::ask_for_reports(time_point time)
{
    if (time - last_ask_ < upkeep_interval) {
        return;
    }
    last_ask_ = time;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        std::optional<time_point> needed;
        for (const auto& [name, run] : fleet_.at(worker).runs) {
            const auto moment = report_needed(run, time);
            if (moment && (!needed || *moment < *needed)) {
                needed = moment;
            }
        }
        if (needed) {
            actions_.reports_needed.emplace_back(worker, *needed);
        }
    }
}

/// A worker that leaves and holds nothing need not be waited for by a later owner.
void workflow_state::drop_idle_leavers()
{
    std::erase_if(roster_, [this](std::size_t worker) {
        auto& one = fleet_.at(worker);
        if (!one.entry.leaving || !one.reported || !one.runs.empty()) {
            return false;
        }
        one.rostered = false;
        roster_changed_ = true;
        return true;
    });
}

void workflow_state::stop_stuck_runs(time_point time)
{
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        auto& one = fleet_.at(worker);
        for (auto& [name, run] : one.runs) {
            const auto* job = find_job(name.task.job);
            if (run.state != held_run::knowledge::present || run.stop_wanted || job == nullptr ||
                is_final(job->phase) || run.percent >= nearly_done_percent) {
                continue;
            }
            const bool gang = job->spec.steps[static_cast<std::size_t>(name.task.step)].gang;
            const auto limit = still_limit(run.estimate, gang);
            if (one.last_report < run.percent_changed + limit) {
                continue;
            }
            ++counts_.stuck_runs;
            note("run_stands_still", name.task.job, to_string(name) + " on " + one.entry.id);
            want_stop(worker, name, run);
            if (!gang) {
                one.set_aside_until = time + aside_after_stuck;
            }
        }
    }
}

void workflow_state::forget_ended(wall_time wall)
{
    while (!ended_.empty() && ended_.begin()->first <= wall) {
        const auto id = ended_.begin()->second;
        auto* job = find_job(id);
        if (job != nullptr && !job->is_stored()) {
            return;
        }
        if (job != nullptr) {
            waiters_.erase(job);
            removals_.push_back(options_.keys.progress(id));
            jobs_.erase(id);
        }
        ended_.erase(ended_.begin());
    }
}

void workflow_state::add_job_changes(chain_state& chain, job_record& job, record_batch& batch)
{
    const auto& id = job.spec.id;
    if (is_final(job.phase)) {
        batch.changes.push_back({options_.keys.progress(id), write_progress(job)});
        if (job.spec_stored) {
            batch.changes.push_back({options_.keys.specification(id), std::nullopt});
        }
        chain.batch.push_back({&job, job.changed_at, false});
        return;
    }
    const bool writes_specification = !job.spec_stored;
    if (writes_specification) {
        batch.changes.push_back({options_.keys.specification(id), write_specification(job)});
    } else {
        batch.changes.push_back({options_.keys.progress(id), write_progress(job)});
    }
    chain.batch.push_back({&job, job.changed_at, writes_specification});
}

void workflow_state::add_roster(record_batch& batch)
{
    batch_roster_.clear();
    roster_in_batch_ = std::exchange(roster_changed_, false);
    if (!roster_in_batch_) {
        return;
    }
    std::vector<worker_entry> workers;
    for (const auto worker : roster_) {
        workers.push_back(fleet_.at(worker).entry);
        workers.back().silent_since = fleet_.at(worker).silent_since;
    }
    batch_roster_ = roster_;
    batch.changes.push_back({options_.keys.roster(), write_roster(workers)});
}

void workflow_state::add_removals(std::size_t most, record_batch& batch)
{
    if (batch.changes.empty() && removals_.size() < removals_worth_a_write) {
        return;
    }
    for (std::size_t count = 0;
         count < most_removals_per_batch && !removals_.empty() && batch.changes.size() < most;
         ++count) {
        batch.changes.push_back({removals_.back(), std::nullopt});
        removals_.pop_back();
    }
}

record_batch workflow_state::take_batch(std::size_t chain, std::size_t most, wall_time wall)
{
    constexpr std::size_t changes_per_job = 2;
    record_batch batch;
    auto& own = chains_[chain];
    own.batch.clear();
    if (chain == 0) {
        forget_ended(wall);
        add_roster(batch);
    }
    for (auto* job : own.changes.oldest(most)) {
        if (batch.changes.size() + changes_per_job > most) {
            break;
        }
        add_job_changes(own, *job, batch);
    }
    if (chain == 0) {
        add_removals(most, batch);
    }
    return batch;
}

void workflow_state::on_stored(std::size_t chain, milliseconds write_time)
{
    write_time_ = write_time;
    if (chain == 0 && roster_in_batch_) {
        for (const auto worker : batch_roster_) {
            fleet_.at(worker).rostered = roster_.contains(worker);
        }
        pass_wanted_ = true;
    }
    for (const auto& [job, change, wrote_specification] : std::exchange(chains_[chain].batch, {})) {
        if (wrote_specification) {
            job->spec_stored = true;
            ++counts_.accepted;
            note("accepted", job->spec.id, job->spec.queue);
            pass_wanted_ = true;
        }
        chains_[chain].changes.note_stored(*job, change);
        release_waiters(*job);
    }
}

void workflow_state::release_waiters(job_record& job)
{
    const auto found = waiters_.find(&job);
    if (found != waiters_.end()) {
        auto& waiting = found->second;
        std::erase_if(waiting.answers, [&](const waiting_answer& one) {
            if (one.change <= job.stored_at) {
                actions_.answers.push_back({.token = one.token});
                return true;
            }
            return false;
        });
        std::erase_if(waiting.ends, [&](const auto& row) {
            if (row.first <= job.stored_at) {
                settle(row.second.worker, row.second.life, row.second.number);
                return true;
            }
            return false;
        });
        if (waiting.answers.empty() && waiting.ends.empty()) {
            waiters_.erase(found);
        }
    }
    if (is_final(job.phase) && job.is_stored()) {
        job.steps = {};
        job.spec.steps = {};
        job.spec.payload = {};
    }
}

} // namespace flamingoseam::workflow
