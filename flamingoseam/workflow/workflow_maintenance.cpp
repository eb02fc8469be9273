#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds maintenance_interval{100};
constexpr milliseconds max_pass_interval{50};
/// Pause before the next pass for each item that a pass has examined; examining an item takes about
/// 20 ns.
constexpr std::chrono::nanoseconds pause_per_examined_item{400};
constexpr milliseconds max_pass_pause{10};
constexpr milliseconds stop_repeat{500};
/// A run is stalled when it makes no progress for this share of its estimate, within bounds.
constexpr double stall_share = 0.6;
constexpr milliseconds min_stall_time{300};
constexpr milliseconds max_stall_time{1'500};
/// From this progress on a run is not treated as stalled: a gang's member that is done waits for
/// the others.
constexpr int nearly_done_percent = 98;
constexpr milliseconds gang_stall_allowance{500}; ///< A gang may wait for its last member.
constexpr milliseconds exclusion_after_stall{3'000};
/// Above the time until an order has a result: its wait in the queue, the order before it, and its
/// own timeout.
constexpr milliseconds max_order_time{5'000};

milliseconds stall_limit(milliseconds estimate, bool gang)
{
    const auto limit = std::clamp(scaled(estimate, stall_share), min_stall_time, max_stall_time);
    return gang ? limit + gang_stall_allowance : limit;
}

/// Returns when a report must show the state of a run: immediately while the run is unconfirmed or
/// being stopped, and once early in the run, since only a report shows that a run is stalled.
std::optional<time_point> report_needed(const assigned_run& run, time_point time)
{
    if (run.stop_requested || run.state == assigned_run::run_state::unconfirmed) {
        return time;
    }
    if (run.state == assigned_run::run_state::present && run.percent == 0) {
        return run.confirmed_at + stall_limit(run.estimate, false);
    }
    return std::nullopt;
}

} // namespace

void workflow_state::set_certain(bool certain)
{
    const bool begins = certain && !certain_;
    certain_ = certain;
    if (begins) {
        pass_requested_ = true;
        acknowledge_kept_ends();
    }
}

void workflow_state::tick(time_point time)
{
    const bool maintenance_is_due = time - last_maintenance_ >= maintenance_interval;
    if (maintenance_is_due) {
        last_maintenance_ = time;
        stop_stalled_runs(time);
        release_undelivered_runs(time);
        doubt_overdue_starts(time);
        remove_idle_leaving_workers();
        withdraw_requests();
        end_overdue_requests(time);
        release_drained(time);
        update_moved_jobs(time);
        report_waiting_steps(time);
    }
    run_pass(time);
    record_waiting_work(time);
    repeat_stops(time);
    if (maintenance_is_due) {
        request_reports(time);
    }
}

/// Runs a scheduling pass when it is due. The pause after a pass is proportional to the number of
/// items that it examined, so that passes can't use all the time.
void workflow_state::run_pass(time_point time)
{
    if (!certain_) {
        return;
    }
    const bool is_due =
        pass_requested_ ? time >= next_pass_ : time - last_pass_ >= max_pass_interval;
    if (!is_due) {
        return;
    }
    const auto before = counts_.examined;
    const bool is_complete = schedule(time);
    pass_requested_ = !is_complete;
    last_pass_ = time;
    const auto pause = pause_per_examined_item * (counts_.examined - before);
    next_pass_ = time + std::min<std::chrono::nanoseconds>(pause, max_pass_pause);
}

void workflow_state::repeat_stops(time_point time)
{
    std::erase_if(unaccepted_stops_, [&](const auto& stop) {
        ++counts_.examined;
        const auto& [worker, name] = stop;
        auto* run = fleet_.find_run(worker, name);
        if (run == nullptr || !run->stop_requested || run->stop_accepted_at != time_point{}) {
            return true;
        }
        if (run->stop_sent_at == time_point{} || run->stop_sent_at + stop_repeat <= time) {
            run->stop_sent_at = time;
            actions_.stops.push_back({worker, name});
        }
        return false;
    });
}

/// Treats the start orders that should have had a result by now like those that were not answered,
/// so that no task depends on a result that may be lost.
void workflow_state::doubt_overdue_starts(time_point time)
{
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        for (auto& [name, run] : fleet_.at(worker).runs) {
            if (time - run.ordered_at >= max_order_time) {
                mark_unconfirmed(worker, name, run, time);
            }
        }
    }
}

void workflow_state::request_reports(time_point time)
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

/// Removes the leaving workers that hold no run, and no end whose result is not stored, from the
/// leased workers, so that a later owner need not wait for them.
void workflow_state::remove_idle_leaving_workers()
{
    std::erase_if(leased_workers_, [this](std::size_t worker) {
        auto& worker_state = fleet_.at(worker);
        const bool may_hold_results = !is_located(worker) || worker_state.has_results();
        if (!worker_state.entry.leaving || may_hold_results) {
            return false;
        }
        worker_state.lease_stored = false;
        leased_workers_changed_ = true;
        return true;
    });
}

void workflow_state::stop_stalled_runs(time_point time)
{
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        auto& worker_state = fleet_.at(worker);
        for (auto& [name, run] : worker_state.runs) {
            const auto* job = find_job(name.task.job);
            if (run.state != assigned_run::run_state::present || run.stop_requested ||
                job == nullptr || is_final(job->phase) || run.percent >= nearly_done_percent) {
                continue;
            }
            const bool gang = job->spec.steps[static_cast<std::size_t>(name.task.step)].gang;
            const auto limit = stall_limit(run.estimate, gang);
            if (worker_state.last_report < run.percent_changed_at + limit) {
                continue;
            }
            ++counts_.stalled_runs;
            log_decision("run_stands_still", name.task.job,
                         to_string(name) + " on " + worker_state.entry.id);
            request_stop(worker, name, run, stop_reason::stalled);
            if (!gang) {
                worker_state.excluded_until = time + exclusion_after_stall;
            }
        }
    }
}

} // namespace flamingoseam::workflow
