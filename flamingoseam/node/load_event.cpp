#include "flamingoseam/node/load_event.hpp"

namespace flamingoseam::node {

namespace {

std::int64_t whole_ms(time_point::duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

std::int64_t percent(time_point::duration part, time_point::duration whole)
{
    return whole.count() == 0 ? 0 : 100 * part / whole;
}

std::int64_t number(std::size_t value)
{
    return static_cast<std::int64_t>(value);
}

std::int64_t duty_percent(const owner_load& load, thread_duty duty)
{
    return percent(load.processor.duties[static_cast<std::size_t>(duty)], load.interval);
}

} // namespace

log_event to_event(const owner_load& load)
{
    const auto& state = load.state;
    return {.event = "owner_load",
            .request = {},
            .detail = {},
            .fields = {
                {"span_ms", whole_ms(load.interval)},
                {"open_jobs", number(state.open_jobs)},
                {"overdue_jobs", number(state.overdue_jobs)},
                {"waiting_steps", number(state.waiting_steps)},
                {"starts", number(load.starts)},
                {"loop_delay_ms", whole_ms(load.max_wait)},
                {"loop_steps", number(load.steps)},
                {"loop_queue", number(load.max_queued)},
                {"passes", state.passes},
                {"steps_percent", percent(load.step_time, load.interval)},
                {"deciding_percent", percent(load.decision_time, load.interval)},
                {"dispatching_percent", percent(load.dispatch_time, load.interval)},
                {"control_cpu_percent", percent(load.processor.thread, load.interval)},
                {"process_cpu_percent", percent(load.processor.process, load.interval)},
                {"orders_cpu_percent", duty_percent(load, thread_duty::orders)},
                {"polls_cpu_percent", duty_percent(load, thread_duty::polls)},
                {"commits_cpu_percent", duty_percent(load, thread_duty::commits)},
                {"permissions_cpu_percent", duty_percent(load, thread_duty::permissions)},
                {"changes_waiting", number(state.changes)},
                {"oldest_change_ms", whole_ms(state.oldest_change_age)},
                {"transactions", number(load.transactions)},
                {"records_written", number(load.records)},
                {"permissions_queued", number(state.permissions.requests)},
                {"oldest_permission_ms", whole_ms(state.permissions.oldest_age)},
                {"lanes", number(state.permissions.call_slots)},
                {"busy_lanes", number(state.permissions.busy_slots)},
                {"permission_calls", state.permissions.calls},
                {"permission_calls_ms", whole_ms(state.permissions.call_time)},
                {"repeated_permissions", state.repeated_requests},
                {"worker_list_ms", whole_ms(state.worker_list_age)},
            }};
}

log_event to_event(const workflow::queue_load& load)
{
    return {.event = "queue_load",
            .request = {},
            .detail = load.queue,
            .fields = {
                {"priority", load.priority},
                {"waiting_steps", load.waiting_steps},
                {"unanswered_steps", load.unanswered_steps},
                {"oldest_unanswered_ms", load.oldest_unanswered.count()},
                {"permission_calls", load.permission_calls},
                {"permission_service_ms", load.permission_service.count()},
                {"repeated_calls", load.repeated_calls},
                {"lane_refusals", load.call_slot_refusals},
                {"starts", load.starts},
                {"yielded_runs", load.preempted_runs},
                {"done_runs", load.done_runs},
                {"run_time_percent", percent(load.measured_run_time, load.declared_run_time)},
            }};
}

} // namespace flamingoseam::node
