#include "flamingoseam/node/job_owner.hpp"
#include "flamingoseam/node/load_event.hpp"

#include <algorithm>

namespace flamingoseam::node {

namespace {

/// Maximum number of queues logged per second, which are those with the most waiting steps.
constexpr std::size_t max_queues_logged = 16;

} // namespace

void job_owner::record_step(const step_times& times)
{
    meter_.record_step(times);
    dependencies_.metrics->observe_step(times);
}

void job_owner::record_decisions(const decision_times& times, time_point time)
{
    meter_.record_decisions(times);
    change_ages_.record(state_.changes().last_change(), time);
    if (times.starts > 0) {
        dependencies_.metrics->observe_worker_list_age(state_.worker_list_age(time));
    }
    if (meter_.is_due(time)) {
        set_gauges();
        report_load(time);
    }
}

void job_owner::report_load(time_point time)
{
    const auto& changes = state_.changes();
    const state_load state{.open_jobs = state_.open_jobs(),
                           .overdue_jobs = state_.count_overdue(time),
                           .waiting_steps = state_.waiting_steps(),
                           .changes = changes.size(),
                           .oldest_change_age = change_ages_.age_of(changes.oldest_change(), time),
                           .permissions = permission_dispatcher_->load(time),
                           .passes = state_.counts().passes,
                           .repeated_requests = state_.counts().repeated_permission_requests,
                           .worker_list_age = state_.worker_list_age(time)};
    const auto load = meter_.take(state, time, read_processor_times());
    dependencies_.metrics->set_load(load);
    dependencies_.metrics->set_long_waits(state_.long_waits());
    dependencies_.log->write(to_event(load));
    report_queues(time);
}

void job_owner::report_queues(time_point time)
{
    auto queues = state_.take_queue_loads(time);
    dependencies_.metrics->set_queues(queues);
    const auto logged = std::min(queues.size(), max_queues_logged);
    std::ranges::partial_sort(queues, queues.begin() + static_cast<std::ptrdiff_t>(logged),
                              std::ranges::greater(), &workflow::queue_load::waiting_steps);
    queues.resize(logged);
    for (const auto& queue : queues) {
        dependencies_.log->write(to_event(queue));
    }
}

void job_owner::record_timings(const workflow::workflow_actions& actions, time_point started)
{
    for (const auto& timing : actions.first_starts) {
        dependencies_.metrics->observe_first_start(timing);
    }
    for (const auto& timing : actions.ends) {
        dependencies_.metrics->observe_end(timing);
    }
    dependencies_.metrics->observe_decisions(
        std::chrono::duration_cast<std::chrono::microseconds>(now() - started));
}

void job_owner::set_gauges()
{
    owner_gauges gauges{.is_owner = true,
                        .open_jobs = state_.open_jobs(),
                        .unconfirmed_runs = state_.count_unconfirmed()};
    for (std::size_t worker = 0; worker < state_.workers().size(); ++worker) {
        gauges.unreachable_workers += state_.workers().at(worker).unreachable ? 1 : 0;
    }
    dependencies_.metrics->set_owner(gauges);
}

} // namespace flamingoseam::node
