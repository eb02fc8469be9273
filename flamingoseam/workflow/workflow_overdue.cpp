#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// How long the steps of a job wait without any start of their tasks until they get turns.
constexpr milliseconds max_wait{10'000};
/// Number of steps that have their turn at a time; at most one of them is a gang.
constexpr std::size_t max_turns = 16;
/// Long enough for a short permission call and the start.
constexpr milliseconds turn_length{1'000};
constexpr milliseconds turn_pause{500}; ///< Between two turns of a step.
/// How long after its service time a permission call may be answered and the answer be used.
constexpr milliseconds answer_allowance{500};
/// Between two searches for overdue steps, for each started number of waiting steps.
constexpr milliseconds search_interval{100};
constexpr std::size_t steps_per_search_interval = 10'000;
/// Overdue steps in a pass examine at most this many steps and workers for each worker.
constexpr std::int64_t examined_per_worker = 1;
/// Longest use of all workers that is counted for one step, so that the start of a large step does
/// not keep the small ones waiting for long.
constexpr milliseconds max_counted_start{500};

/// Returns since when a step waits for its next turn.
time_point waits_for_turn_since(const step_record& step)
{
    return std::max(step.waits_in_effect_since, step.turn_ended);
}

/// Checks whether a step may get a turn. One that has started some of its tasks makes progress.
bool is_overdue(const step_record& step, time_point time)
{
    return step.placed == 0 && step.waits_since != time_point{} && step.not_before <= time &&
           time - step.waits_in_effect_since >= max_wait && time - step.turn_ended >= turn_pause;
}

} // namespace

/// Records that a step waits. Its wait is counted from where the waits of earlier steps of its job
/// ended, so that a job of many steps does not wait anew for each.
void workflow_state::begin_wait(const ready_step& step, time_point time)
{
    auto& record = step.record();
    if (record.waits_since == time_point{}) {
        record.waits_since = time;
        record.waits_in_effect_since = time - step.job->waited;
    }
}

/// Records that no task of a step waits any more.
void workflow_state::end_wait(const ready_step& step, time_point time)
{
    auto& record = step.record();
    if (record.waits_since != time_point{}) {
        step.job->waited = std::max(step.job->waited, time - record.waits_in_effect_since);
        record.waits_since = {};
    }
}

/// Places overdue steps before all others, whatever their rank, so that no step waits for ever
/// while more urgent work keeps arriving. Each keeps its turn until it has started or for a limited
/// time, which begins when it may send a request. The shares of the workers and of the call slots
/// that such steps use are limited, and so is the part of the pass.
void workflow_state::place_overdue_steps(time_point time)
{
    end_turns(time);
    begin_turns(time);
    const auto max_examined = examined_per_worker * static_cast<std::int64_t>(fleet_.size());
    const auto limit = counts_.examined + std::max<std::int64_t>(1, max_examined);
    places_overdue_steps_ = true;
    for (auto& turn : turns_) {
        if (counts_.examined >= limit) {
            break;
        }
        if (turn.until == time_point{} && overdue_calls_.may_use(time)) {
            turn.until = time + turn_length;
        }
        const ready_step step{find_job(turn.job), turn.step};
        const int waiting = step.record().waiting();
        place_step(step, time);
        record_overdue_starts(step, waiting - step.record().waiting(), time);
    }
    places_overdue_steps_ = false;
}

/// Ends the turns of steps that have started or have had their time.
void workflow_state::end_turns(time_point time)
{
    std::erase_if(turns_, [&](const overdue_turn& turn) {
        auto* job = find_job(turn.job);
        if (job == nullptr || is_final(job->phase) || !ready_.contains(*job, turn.step)) {
            return true;
        }
        auto& record = job->steps[static_cast<std::size_t>(turn.step)];
        if (record.placed > 0) {
            return true;
        }
        const bool has_ended = turn.until != time_point{} && time >= end_of_turn(turn, record);
        if (has_ended) {
            record.turn_ended = time;
        }
        return has_ended;
    });
}

/// Returns when a turn ends if the step does not start. A step can use the answer to its request.
time_point workflow_state::end_of_turn(const overdue_turn& turn, const step_record& step) const
{
    const auto request = requests_.find(step.permission.outstanding);
    if (request == requests_.end()) {
        return turn.until;
    }
    const auto& [number, call] = *request;
    return std::max(turn.until, call.asked + call.service_time + answer_allowance);
}

/// Returns the steps that may get a turn. Of the gangs, only the one that has waited the longest
/// gets one, and none while another has its turn: gangs would hold workers that others need.
/// Complexity: linear in the waiting steps.
std::vector<ready_step> workflow_state::find_overdue_steps(time_point time)
{
    std::vector<ready_step> overdue;
    std::optional<ready_step> gang;
    for (const auto& entry : ready_.in_order()) {
        const auto& step = entry.step;
        begin_wait(step, time); // No pass may have reached the step yet.
        if (!is_overdue(step.record(), time) || has_turn(step)) {
            continue;
        }
        if (!step.spec().gang) {
            overdue.push_back(step);
        } else if (!gang ||
                   waits_for_turn_since(step.record()) < waits_for_turn_since(gang->record())) {
            gang = step;
        }
    }
    const bool gang_has_turn = std::ranges::any_of(turns_, [this](const overdue_turn& turn) {
        return ready_step{find_job(turn.job), turn.step}.spec().gang;
    });
    if (gang && !gang_has_turn) {
        overdue.push_back(*gang);
    }
    return overdue;
}

/// Begins turns of the steps that have waited the longest, as many as there is place for. Steps
/// with few tasks go first among those that have their turn: they need little. Complexity: linear
/// in the waiting steps.
void workflow_state::begin_turns(time_point time)
{
    if (time < next_turns_ || turns_.size() == max_turns || !overdue_starts_.may_use(time)) {
        return;
    }
    const auto intervals = 1 + waiting_steps_ / steps_per_search_interval;
    next_turns_ = time + search_interval * static_cast<int>(intervals);
    auto overdue = find_overdue_steps(time);
    const auto count = std::min(max_turns - turns_.size(), overdue.size());
    const auto last = overdue.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(overdue, last, {}, [](const ready_step& step) {
        return waits_for_turn_since(step.record());
    });
    overdue.erase(last, overdue.end());
    for (const auto& step : overdue) {
        turns_.push_back({.job = step.job->spec.id, .step = step.step});
    }
    std::ranges::stable_sort(turns_, {}, [this](const overdue_turn& turn) {
        return ready_step{find_job(turn.job), turn.step}.record().waiting();
    });
}

bool workflow_state::has_turn(const ready_step& step) const
{
    return std::ranges::any_of(turns_, [&](const overdue_turn& turn) {
        return turn.step == step.step && turn.job == step.job->spec.id;
    });
}

/// Records tasks that a step has started in its turn.
void workflow_state::record_overdue_starts(const ready_step& step, int tasks, time_point time)
{
    if (tasks == 0) {
        return;
    }
    const auto& spec = step.spec();
    const auto needed = dominant_share(spec.size * tasks, fleet_.worker_capacity());
    const auto share = needed / static_cast<double>(std::max<std::size_t>(1, fleet_.size()));
    const auto occupied =
        std::chrono::duration_cast<time_point::duration>(fractional_ms(spec.estimate) * share);
    overdue_starts_.record_use(std::min<time_point::duration>(occupied, max_counted_start), time);
}

/// Records a call of an overdue step, which then counts against the share of these steps.
void workflow_state::record_overdue_call(milliseconds service_time, time_point time)
{
    const auto call_slots = permission_budget_.call_slots_for_long_calls(time);
    const auto occupied = time_point::duration(service_time) / call_slots;
    overdue_calls_.record_use(occupied, time);
}

/// Returns the urgency of a permission request of a step, which in its turn and with a claim is
/// above that of all others with the same priority.
urgency workflow_state::request_urgency(const ready_step& step) const
{
    if (!places_overdue_steps_ && !has_claim(step)) {
        return urgency_of(*step.job);
    }
    return {.on_time_until = time_point::max(),
            .useful_until = time_point::max(),
            .priority = step.job->terms.priority,
            .due = time_point::min()};
}

} // namespace flamingoseam::workflow
