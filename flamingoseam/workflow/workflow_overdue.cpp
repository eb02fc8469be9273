#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// How long a step waits without any start of its tasks until it gets a turn.
constexpr milliseconds max_wait{10'000};
/// Long enough for a permission call and the start.
constexpr milliseconds turn_length{1'000};
constexpr milliseconds turn_interval{500}; ///< Between two turns; limits what work on time loses.
constexpr milliseconds search_interval{100};

/// Returns since when a step waits for its next turn.
time_point waits_for_turn_since(const step_record& step)
{
    return std::max(step.waits_since, step.turn_ended);
}

/// Checks whether a step may get a turn. One that has started some of its tasks makes progress.
bool is_overdue(const step_record& step, time_point time)
{
    return step.placed == 0 && step.waits_since != time_point{} &&
           time - waits_for_turn_since(step) >= max_wait;
}

} // namespace

bool workflow_state::has_turn(const ready_step& step) const
{
    return turn_ && turn_->job == step.job->spec.id && turn_->step == step.step;
}

/// Returns the step that has the turn, none if it has started or has had its time.
std::optional<ready_step> workflow_state::step_in_turn(time_point time)
{
    auto* job = find_job(turn_->job);
    if (job == nullptr || time >= turn_->until || !ready_.contains(*job, turn_->step)) {
        return std::nullopt;
    }
    const ready_step step{job, turn_->step};
    return step.record().placed == 0 ? std::optional(step) : std::nullopt;
}

void workflow_state::end_turn(time_point time)
{
    auto* job = find_job(turn_->job);
    if (job != nullptr && !is_final(job->phase)) {
        job->steps[static_cast<std::size_t>(turn_->step)].turn_ended = time;
    }
    turn_.reset();
    next_turn_ = time + turn_interval;
}

/// Returns the step that goes first in this pass, whatever its rank, so that no step waits for ever
/// while more urgent work keeps arriving: the one that has waited the longest, if it has waited for
/// too long. It keeps its turn until it has started or for a fixed time. Complexity: linear in the
/// waiting steps when a turn begins.
std::optional<ready_step> workflow_state::take_overdue_step(time_point time)
{
    if (turn_) {
        if (const auto step = step_in_turn(time)) {
            return step;
        }
        end_turn(time);
    }
    if (time < next_turn_) {
        return std::nullopt;
    }
    std::optional<ready_step> longest;
    for (const auto& entry : ready_.in_order()) {
        auto& record = entry.step.record();
        if (record.waits_since == time_point{}) {
            record.waits_since = time; // No pass has reached the step yet.
        }
        if (is_overdue(record, time) &&
            (!longest || waits_for_turn_since(record) < waits_for_turn_since(longest->record()))) {
            longest = entry.step;
        }
    }
    if (!longest) {
        next_turn_ = time + search_interval;
        return std::nullopt;
    }
    turn_ = {.job = longest->job->spec.id, .step = longest->step, .until = time + turn_length};
    return longest;
}

/// Returns the urgency of a permission request of a step, which in its turn and with a claim is
/// above that of all others with the same priority.
urgency workflow_state::request_urgency(const ready_step& step) const
{
    if (!has_turn(step) && !has_claim(step)) {
        return urgency_of(*step.job);
    }
    return {.on_time_until = time_point::max(),
            .useful_until = time_point::max(),
            .priority = step.job->terms.priority,
            .due = time_point::min()};
}

} // namespace flamingoseam::workflow
