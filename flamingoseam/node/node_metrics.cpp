#include "flamingoseam/node/node_metrics.hpp"

#include "flamingoseam/core/process_usage.hpp"

#include <prometheus/text_serializer.h>

#include <ctime>

namespace flamingoseam::node {

namespace {

using bounds = prometheus::Histogram::BucketBoundaries;

const bounds job_bounds_s = {0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64};
const bounds store_bounds_s = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2};
const bounds queue_bounds_s = {0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};
const bounds list_age_bounds_s = {0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 20};
const bounds decision_bounds_s = {0.0001, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.25};

template <typename Duration> double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry,
                                                 const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>&
histogram(prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

node_metrics::node_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      events_(counter(*registry_, "flamingoseam_events_total", "Log events, by name")),
      refusals_(counter(*registry_, "flamingoseam_refusals_total", "Refused jobs, by reason")),
      wait_reports_(counter(*registry_, "flamingoseam_step_wait_reports_total",
                            "Reports that steps have waited for over 5 s, by reason")),
      starts_(counter(*registry_, "flamingoseam_start_answers_total",
                      "Orders to start a run, by outcome")),
      first_start_waits_(histogram(*registry_, "flamingoseam_wait_seconds",
                                   "Time from a job's acceptance to its first start, by priority")),
      job_durations_(histogram(*registry_, "flamingoseam_job_seconds",
                               "Time from a job's acceptance to its end, by priority")),
      store_calls_(histogram(*registry_, "flamingoseam_store_call_seconds",
                             "Duration of calls to the platform's store, by call and outcome")),
      decision_durations_(histogram(*registry_, "flamingoseam_decision_seconds",
                                    "Time that the control thread needs for one batch of events")
                              .Add({}, decision_bounds_s)),
      step_waits_(histogram(*registry_, "flamingoseam_step_wait_seconds",
                            "Time that a step waits in the queue of the control thread")
                      .Add({}, queue_bounds_s)),
      pass_durations_(histogram(*registry_, "flamingoseam_pass_seconds",
                                "Duration of one pass over the waiting steps")
                          .Add({}, decision_bounds_s)),
      worker_list_ages_(histogram(*registry_, "flamingoseam_worker_list_age_seconds",
                                  "Age of the list of workers when runs are placed")
                            .Add({}, list_age_bounds_s)),
      permission_waits_(histogram(*registry_, "flamingoseam_permission_wait_seconds",
                                  "Time from the decision to ask for permission until a call "
                                  "slot takes the request, by priority")),
      permission_calls_(histogram(*registry_, "flamingoseam_permission_call_seconds",
                                  "Duration of calls to the permission service, by outcome")),
      repeated_requests_(counter(*registry_, "flamingoseam_repeated_permission_requests_total",
                                 "Permission requests for workers whose tickets had expired")
                             .Add({})),
      permission_requests_(counter(*registry_, "flamingoseam_permission_requests_total",
                                   "Requests to the permission service, by queue")),
      service_times_(counter(*registry_, "flamingoseam_permission_service_seconds_total",
                             "Time that the permission service needs for the requests, by queue")),
      slot_refusals_(counter(*registry_, "flamingoseam_permission_lane_refusals_total",
                             "Steps that found no free call slot for a request, by queue")),
      preempted_runs_(counter(*registry_, "flamingoseam_yielded_runs_total",
                              "Runs preempted to free capacity for gangs, by queue of the run")),
      oldest_unanswered_(
          prometheus::BuildGauge()
              .Name("flamingoseam_oldest_unanswered_seconds")
              .Help("Age of the oldest job with a step that has had no permission answer")
              .Register(*registry_)),
      longest_waits_(prometheus::BuildGauge()
                         .Name("flamingoseam_longest_step_wait_seconds")
                         .Help("Longest wait of a step that could run, if over 5 s, by reason")
                         .Register(*registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("flamingoseam_node")
                  .Help("Current values of this node, by name")
                  .Register(*registry_))
{
}

void node_metrics::count_event(const std::string& event, const std::string& detail)
{
    events_.Add({{"event", event}}).Increment();
    if (event == "refused") {
        refusals_.Add({{"reason", detail}}).Increment();
    } else if (event == "steps_wait") {
        wait_reports_.Add({{"reason", detail}}).Increment();
    }
}

void node_metrics::observe_first_start(const workflow::job_timing& timing)
{
    first_start_waits_.Add({{"priority", std::to_string(timing.priority)}}, job_bounds_s)
        .Observe(seconds(timing.length));
}

void node_metrics::observe_end(const workflow::job_timing& timing)
{
    job_durations_.Add({{"priority", std::to_string(timing.priority)}}, job_bounds_s)
        .Observe(seconds(timing.length));
}

void node_metrics::observe_decisions(std::chrono::microseconds duration)
{
    decision_durations_.Observe(seconds(duration));
}

void node_metrics::observe_step(const step_times& times)
{
    step_waits_.Observe(seconds(times.waited));
}

void node_metrics::observe_pass(time_point::duration duration)
{
    pass_durations_.Observe(seconds(duration));
}

void node_metrics::observe_permission(const permission_timing& timing)
{
    permission_waits_.Add({{"priority", std::to_string(timing.priority)}}, queue_bounds_s)
        .Observe(seconds(timing.queue_time));
    permission_calls_.Add({{"outcome", timing.answered ? "answered" : "failed"}}, store_bounds_s)
        .Observe(seconds(timing.call_time));
}

void node_metrics::observe_store_call(const std::string& call, const std::string& outcome,
                                      milliseconds duration)
{
    store_calls_.Add({{"call", call}, {"outcome", outcome}}, store_bounds_s)
        .Observe(seconds(duration));
}

void node_metrics::observe_worker_list_age(time_point::duration age)
{
    worker_list_ages_.Observe(seconds(age));
}

void node_metrics::count_start(workflow::start_outcome outcome)
{
    starts_.Add({{"outcome", workflow::to_string(outcome)}}).Increment();
}

void node_metrics::set_gauge(const std::string& name, double value)
{
    gauges_.Add({{"name", name}}).Set(value);
}

void node_metrics::set_owner(const owner_gauges& gauges)
{
    set_gauge("is_owner", gauges.is_owner ? 1 : 0);
    set_gauge("open_jobs", static_cast<double>(gauges.open_jobs));
    set_gauge("doubtful_runs", static_cast<double>(gauges.unconfirmed_runs));
    set_gauge("silent_workers", static_cast<double>(gauges.unreachable_workers));
}

void node_metrics::set_load(const owner_load& load)
{
    const auto& state = load.state;
    set_gauge("overdue_jobs", static_cast<double>(state.overdue_jobs));
    set_gauge("waiting_steps", static_cast<double>(state.waiting_steps));
    set_gauge("loop_queue", static_cast<double>(load.max_queued));
    set_gauge("changes_waiting", static_cast<double>(state.changes));
    set_gauge("oldest_change_seconds", seconds(state.oldest_change_age));
    set_gauge("permissions_queued", static_cast<double>(state.permissions.requests));
    set_gauge("oldest_permission_seconds", seconds(state.permissions.oldest_age));
    set_gauge("worker_list_age_seconds", seconds(state.worker_list_age));
    repeated_requests_.Increment(static_cast<double>(state.repeated_requests));
}

void node_metrics::set_queues(const std::vector<workflow::queue_load>& queues)
{
    const std::lock_guard lock(queues_mutex_);
    for (const auto& queue : seen_queues_) {
        oldest_unanswered_.Add({{"queue", queue}}).Set(0);
    }
    for (const auto& load : queues) {
        const prometheus::Labels labels{{"queue", load.queue}};
        seen_queues_.insert(load.queue);
        permission_requests_.Add(labels).Increment(static_cast<double>(load.permission_calls));
        service_times_.Add(labels).Increment(seconds(load.permission_service));
        slot_refusals_.Add(labels).Increment(static_cast<double>(load.call_slot_refusals));
        preempted_runs_.Add(labels).Increment(static_cast<double>(load.preempted_runs));
        oldest_unanswered_.Add(labels).Set(seconds(load.oldest_unanswered));
    }
}

void node_metrics::set_long_waits(const std::map<std::string, workflow::wait_summary>& waits)
{
    const std::lock_guard lock(reasons_mutex_);
    for (const auto& reason : seen_reasons_) {
        longest_waits_.Add({{"reason", reason}}).Set(0);
    }
    for (const auto& [reason, summary] : waits) {
        seen_reasons_.insert(reason);
        longest_waits_.Add({{"reason", reason}}).Set(seconds(summary.longest));
    }
}

/// Sets a gauge to a figure of the process; leaves it out as long as the figure isn't known.
void node_metrics::set_known(const std::string& name, std::optional<std::int64_t> value,
                             double unit)
{
    if (value) {
        set_gauge(name, static_cast<double>(*value) * unit);
    }
}

void node_metrics::set_usage()
{
    constexpr double kilobyte = 1'024;
    const auto usage = read_process_usage();
    set_known("threads", usage.threads);
    set_known("descriptors", usage.descriptors);
    set_known("resident_bytes", usage.resident_kb, kilobyte);
    set_known("address_space_bytes", usage.address_space_kb, kilobyte);
    const auto limits = read_process_limits();
    set_known("thread_limit", limits.threads);
    set_known("descriptor_limit", limits.descriptors);
    set_known("address_space_limit_bytes", limits.address_space_kb, kilobyte);
}

std::string node_metrics::text(std::uint64_t dropped_log_lines)
{
    set_gauge("log_lines_left_out", static_cast<double>(dropped_log_lines));
    set_gauge("processor_seconds", static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
    set_usage();
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace flamingoseam::node
