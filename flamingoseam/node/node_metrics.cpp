#include "flamingoseam/node/node_metrics.hpp"

#include <prometheus/text_serializer.h>

#include <ctime>

namespace flamingoseam::node {

namespace {

using bounds = prometheus::Histogram::BucketBoundaries;

const bounds job_bounds_s = {0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64};
const bounds store_bounds_s = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2};
const bounds queue_bounds_s = {0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};
const bounds decision_bounds_s = {0.0001, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.25};

template <typename Duration> double seconds(Duration length)
{
    return std::chrono::duration<double>(length).count();
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
      events_(counter(*registry_, "flamingoseam_events_total", "Events of the log, by name")),
      refusals_(counter(*registry_, "flamingoseam_refusals_total", "Jobs refused, by reason")),
      starts_(counter(*registry_, "flamingoseam_start_answers_total",
                      "Orders that start a run, by their outcome")),
      waits_(histogram(*registry_, "flamingoseam_wait_seconds",
                       "Time from a job's acceptance to its first start, by priority")),
      ends_(histogram(*registry_, "flamingoseam_job_seconds",
                      "Time from a job's acceptance to its end, by priority")),
      store_calls_(histogram(*registry_, "flamingoseam_store_call_seconds",
                             "Calls to the platform's store, by call and outcome")),
      decisions_(histogram(*registry_, "flamingoseam_decision_seconds",
                           "Time of the control thread for one group of events")
                     .Add({}, decision_bounds_s)),
      step_waits_(histogram(*registry_, "flamingoseam_step_wait_seconds",
                            "Time of a step in the queue of the control thread")
                      .Add({}, queue_bounds_s)),
      passes_(histogram(*registry_, "flamingoseam_pass_seconds",
                        "Time of one pass over the waiting steps")
                  .Add({}, decision_bounds_s)),
      permission_waits_(histogram(*registry_, "flamingoseam_permission_wait_seconds",
                                  "Time from the decision to ask for permission until a lane "
                                  "takes the request, by priority")),
      permission_calls_(histogram(*registry_, "flamingoseam_permission_call_seconds",
                                  "Calls to the permission service, by outcome")),
      repeated_requests_(counter(*registry_, "flamingoseam_repeated_permission_requests_total",
                                 "Permission requests for workers whose tickets had lapsed")
                             .Add({})),
      queue_calls_(counter(*registry_, "flamingoseam_permission_requests_total",
                           "Requests to the permission service, by queue")),
      queue_service_(counter(*registry_, "flamingoseam_permission_service_seconds_total",
                             "Time that the permission service works on them, by queue")),
      lane_refusals_(counter(*registry_, "flamingoseam_permission_lane_refusals_total",
                             "Steps that found no lane for a request, by queue")),
      yielded_runs_(counter(*registry_, "flamingoseam_yielded_runs_total",
                            "Runs stopped to make room for gangs, by their queue")),
      unanswered_(prometheus::BuildGauge()
                      .Name("flamingoseam_oldest_unanswered_seconds")
                      .Help("Age of the oldest job whose step has had no answer about permission")
                      .Register(*registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("flamingoseam_node")
                  .Help("What is true of this node now, by name")
                  .Register(*registry_))
{
}

void node_metrics::count_event(const std::string& event, const std::string& detail)
{
    events_.Add({{"event", event}}).Increment();
    if (event == "refused") {
        refusals_.Add({{"reason", detail}}).Increment();
    }
}

void node_metrics::observe_first_start(const workflow::job_timing& timing)
{
    waits_.Add({{"priority", std::to_string(timing.priority)}}, job_bounds_s)
        .Observe(seconds(timing.length));
}

void node_metrics::observe_end(const workflow::job_timing& timing)
{
    ends_.Add({{"priority", std::to_string(timing.priority)}}, job_bounds_s)
        .Observe(seconds(timing.length));
}

void node_metrics::observe_decisions(std::chrono::microseconds length)
{
    decisions_.Observe(seconds(length));
}

void node_metrics::observe_step(const step_times& times)
{
    step_waits_.Observe(seconds(times.waited));
}

void node_metrics::observe_pass(time_point::duration length)
{
    passes_.Observe(seconds(length));
}

void node_metrics::observe_permission(const permission_timing& timing)
{
    permission_waits_.Add({{"priority", std::to_string(timing.priority)}}, queue_bounds_s)
        .Observe(seconds(timing.waited));
    permission_calls_.Add({{"outcome", timing.answered ? "answered" : "failed"}}, store_bounds_s)
        .Observe(seconds(timing.took));
}

void node_metrics::observe_store_call(const std::string& call, const std::string& outcome,
                                      milliseconds length)
{
    store_calls_.Add({{"call", call}, {"outcome", outcome}}, store_bounds_s)
        .Observe(seconds(length));
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
    set_gauge("doubtful_runs", static_cast<double>(gauges.doubtful_runs));
    set_gauge("silent_workers", static_cast<double>(gauges.silent_workers));
}

void node_metrics::set_load(const owner_load& load)
{
    const auto& state = load.state;
    set_gauge("overdue_jobs", static_cast<double>(state.overdue_jobs));
    set_gauge("waiting_steps", static_cast<double>(state.waiting_steps));
    set_gauge("loop_queue", static_cast<double>(load.most_queued));
    set_gauge("changes_waiting", static_cast<double>(state.changes));
    set_gauge("oldest_change_seconds", seconds(state.oldest_change));
    set_gauge("permissions_queued", static_cast<double>(state.permissions.requests));
    set_gauge("oldest_permission_seconds", seconds(state.permissions.oldest));
    repeated_requests_.Increment(static_cast<double>(state.repeated_requests));
}

void node_metrics::set_queues(const std::vector<workflow::queue_load>& queues)
{
    for (const auto& queue : queues_) {
        unanswered_.Add({{"queue", queue}}).Set(0);
    }
    for (const auto& one : queues) {
        const prometheus::Labels labels{{"queue", one.queue}};
        queues_.insert(one.queue);
        queue_calls_.Add(labels).Increment(static_cast<double>(one.permission_calls));
        queue_service_.Add(labels).Increment(seconds(one.permission_service));
        lane_refusals_.Add(labels).Increment(static_cast<double>(one.call_slot_refusals));
        yielded_runs_.Add(labels).Increment(static_cast<double>(one.preempted_runs));
        unanswered_.Add(labels).Set(seconds(one.oldest_unanswered));
    }
}

std::string node_metrics::text(std::uint64_t lines_left_out)
{
    set_gauge("log_lines_left_out", static_cast<double>(lines_left_out));
    set_gauge("processor_seconds", static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace flamingoseam::node
