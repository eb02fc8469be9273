#pragma once

#include "flamingoseam/node/owner_service.hpp"
#include "flamingoseam/node/permission_lanes.hpp"
#include "flamingoseam/workflow/messages.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// What an owner looks like at one moment.
struct owner_gauges {
    bool is_owner = false;
    std::size_t open_jobs = 0;
    std::size_t doubtful_runs = 0; ///< Unanswered starts that are not ruled out yet.
    std::size_t silent_workers = 0;
};

/// The metrics of a node: waiting time and the cost of control come first. Safe for use from
/// several threads.
class node_metrics {
public:
    node_metrics();

    /// Counts an event of the log by its name, and a refusal by its reason.
    void count_event(const std::string& event, const std::string& detail);

    /// Counts a job's first start or its end, by its queue's priority.
    void observe_first_start(const workflow::job_timing& timing);
    void observe_end(const workflow::job_timing& timing);

    /// Counts the time that the control thread took for one group of events.
    void observe_decisions(std::chrono::microseconds length);

    /// Counts how long a step waited for the control thread.
    void observe_step(const step_times& times);

    /// Counts one pass over the waiting steps, with the upkeep beside it.
    void observe_pass(time_point::duration length);

    /// Counts a permission request's wait for a lane and the service's answer.
    void observe_permission(const permission_timing& timing);

    /// Counts a call to the store; `outcome` is "answered" or "failed".
    void observe_store_call(const std::string& call, const std::string& outcome,
                            milliseconds length);

    /// Counts the answer to an order that started a run.
    void count_start(workflow::start_outcome outcome);

    /// Sets what is true now.
    void set_owner(const owner_gauges& gauges);
    void set_load(const owner_load& load);

    /// Takes in what the work of each queue asked for in a span; queues that are left out did
    /// nothing. Complexity: linear in the queues seen so far.
    void set_queues(const std::vector<workflow::queue_load>& queues);

    /// Returns every metric in the text format of Prometheus. `lines_left_out` is the log's.
    [[nodiscard]] std::string text(std::uint64_t lines_left_out);

private:
    void set_gauge(const std::string& name, double value);

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& events_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& starts_;
    prometheus::Family<prometheus::Histogram>& waits_;
    prometheus::Family<prometheus::Histogram>& ends_;
    prometheus::Family<prometheus::Histogram>& store_calls_;
    prometheus::Histogram& decisions_;
    prometheus::Histogram& step_waits_;
    prometheus::Histogram& passes_;
    prometheus::Family<prometheus::Histogram>& permission_waits_;
    prometheus::Family<prometheus::Histogram>& permission_calls_;
    prometheus::Counter& repeated_requests_;
    prometheus::Family<prometheus::Counter>& queue_calls_;
    prometheus::Family<prometheus::Counter>& queue_service_;
    prometheus::Family<prometheus::Counter>& lane_refusals_;
    prometheus::Family<prometheus::Counter>& yielded_runs_;
    prometheus::Family<prometheus::Gauge>& unanswered_;
    std::set<std::string> queues_; ///< Only used by the owner's control thread.
    prometheus::Family<prometheus::Gauge>& gauges_;
};

} // namespace flamingoseam::node
