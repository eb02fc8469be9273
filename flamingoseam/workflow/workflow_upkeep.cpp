#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds upkeep_interval{100};
constexpr milliseconds longest_between_passes{50};
/// Time until the next pass for each place that a pass looked at, which takes about 20 ns.
constexpr std::chrono::nanoseconds pause_per_place{400};
constexpr milliseconds longest_pause{10};
constexpr milliseconds stop_repeat{500};
/// A task stands still when it makes no progress for this share of its estimate, within bounds.
constexpr double still_share = 0.6;
constexpr milliseconds least_still{300};
constexpr milliseconds most_still{1'500};
constexpr int nearly_done_percent = 98; ///< A gang's member that is done waits for the others.
constexpr milliseconds gang_still_allowance{500}; ///< A gang may wait for its last member.
constexpr milliseconds aside_after_stuck{3'000};

milliseconds still_limit(milliseconds estimate, bool gang)
{
    const auto limit = std::clamp(scaled(estimate, still_share), least_still, most_still);
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
    const bool upkeep_is_due = time - last_upkeep_ >= upkeep_interval;
    if (upkeep_is_due) {
        last_upkeep_ = time;
        stop_stuck_runs(time);
        drop_idle_leavers();
        withdraw_requests();
    }
    run_pass(time);
    record_waiting_work(time);
    repeat_stops(time);
    if (upkeep_is_due) {
        ask_for_reports(time);
    }
}

/// Spaces the passes by what the last one cost, so that they can't take all the time.
void workflow_state::run_pass(time_point time)
{
    const bool is_due =
        pass_wanted_ ? time >= next_pass_ : time - last_pass_ >= longest_between_passes;
    if (!is_due) {
        return;
    }
    const auto before = counts_.examined;
    const bool is_complete = schedule(time);
    pass_wanted_ = !is_complete;
    last_pass_ = time;
    const auto pause = pause_per_place * (counts_.examined - before);
    next_pass_ = time + std::min<std::chrono::nanoseconds>(pause, longest_pause);
}

void workflow_state::repeat_stops(time_point time)
{
    std::erase_if(unsent_stops_, [&](const auto& one) {
        ++counts_.examined;
        const auto& [worker, name] = one;
        auto* run = fleet_.find_run(worker, name);
        if (run == nullptr || !run->stop_wanted || run->stop_answered != time_point{}) {
            return true;
        }
        if (run->stop_sent == time_point{} || run->stop_sent + stop_repeat <= time) {
            run->stop_sent = time;
            actions_.stops.push_back({worker, name});
        }
        return false;
    });
}

void workflow_state::ask_for_reports(time_point time)
{
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

} // namespace flamingoseam::workflow
