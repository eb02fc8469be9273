#pragma once

#include "flamingoseam/node/owner_service.hpp"
#include "flamingoseam/node/permission_dispatcher.hpp"
#include "flamingoseam/workflow/messages.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// Current state of an owner, as shown by gauges.
struct owner_gauges {
    bool is_owner = false;
    std::size_t open_jobs = 0;
    std::size_t unconfirmed_runs = 0; ///< Unanswered starts that may still take effect.
    std::size_t unreachable_workers = 0;
};

/// The metrics of a node, above all waiting times and the cost of control. Thread-safe.
class node_metrics {
public:
    node_metrics();

    /// Counts a log event by its name, and a refusal by its reason.
    void count_event(const std::string& event, const std::string& detail);

    /// Records the time until a job's first start or its end, by the priority of its queue.
    void observe_first_start(const workflow::job_timing& timing);
    void observe_end(const workflow::job_timing& timing);

    /// Records the time that the control thread needed for one batch of events.
    void observe_decisions(std::chrono::microseconds duration);

    /// Records how long a step waited for the control thread.
    void observe_step(const step_times& times);

    /// Records the duration of one pass over the waiting steps, maintenance included.
    void observe_pass(time_point::duration duration);

    /// Records how long a permission request waited for a call slot, and the duration and outcome
    /// of the call.
    void observe_permission(const permission_timing& timing);

    /// Records the duration of a call to the store; `outcome` is "answered" or "failed".
    void observe_store_call(const std::string& call, const std::string& outcome,
                            milliseconds duration);

    /// Records how old the list of workers was when runs were placed.
    void observe_worker_list_age(time_point::duration age);

    /// Counts the outcome of an order to start a run.
    void count_start(workflow::start_outcome outcome);

    /// Sets the gauges of an owner's current state and load.
    void set_owner(const owner_gauges& gauges);
    void set_load(const owner_load& load);

    /// Records the load of each queue in one measuring interval; queues that are not listed had
    /// none. Complexity: linear in the number of queues seen so far.
    void set_queues(const std::vector<workflow::queue_load>& queues);

    /// Sets how long steps have waited at most for each reason; reasons that are not listed have
    /// none. Complexity: linear in the number of reasons seen so far.
    void set_long_waits(const std::map<std::string, workflow::wait_summary>& waits);

    /// Returns all metrics in the text format of Prometheus, with what the process uses now and its
    /// limits. `dropped_log_lines` is the number of lines that the log has dropped.
    [[nodiscard]] std::string text(std::uint64_t dropped_log_lines);

private:
    void set_gauge(const std::string& name, double value);
    void set_known(const std::string& name, std::optional<std::int64_t> value, double unit = 1);
    void set_usage();

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& events_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& wait_reports_;
    prometheus::Family<prometheus::Counter>& starts_;
    prometheus::Family<prometheus::Histogram>& first_start_waits_;
    prometheus::Family<prometheus::Histogram>& job_durations_;
    prometheus::Family<prometheus::Histogram>& store_calls_;
    prometheus::Histogram& decision_durations_;
    prometheus::Histogram& step_waits_;
    prometheus::Histogram& pass_durations_;
    prometheus::Histogram& worker_list_ages_;
    prometheus::Family<prometheus::Histogram>& permission_waits_;
    prometheus::Family<prometheus::Histogram>& permission_calls_;
    prometheus::Counter& repeated_requests_;
    prometheus::Family<prometheus::Counter>& permission_requests_;
    prometheus::Family<prometheus::Counter>& service_times_;
    prometheus::Family<prometheus::Counter>& slot_refusals_;
    prometheus::Family<prometheus::Counter>& preempted_runs_;
    prometheus::Family<prometheus::Gauge>& oldest_unanswered_;
    prometheus::Family<prometheus::Gauge>& longest_waits_;
    std::mutex reasons_mutex_;
    std::set<std::string> seen_reasons_; ///< Of waits; guarded by `reasons_mutex_`.
    std::mutex queues_mutex_;
    std::set<std::string> seen_queues_; ///< Guarded by `queues_mutex_`.
    prometheus::Family<prometheus::Gauge>& gauges_;
};

} // namespace flamingoseam::node
