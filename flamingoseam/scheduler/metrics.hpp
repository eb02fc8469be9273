#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/job/work.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>

namespace flamingoseam {

/// Prometheus metrics of a scheduler. The most important ones are waiting time, reserved share of
/// the capacity, and the processor time used for scheduling.
class scheduler_metrics {
public:
    scheduler_metrics();

    /// Records the waiting time of one started task.
    void observe_wait(work_class cls, milliseconds wait);

    /// Counts an outcome that was returned to a caller.
    void observe_outcome(const outcome& result);

    /// Sets the reserved share of the capacity of the workers in owned shards.
    void set_reserved_share(const resources& reserved, const resources& capacity);

    /// Sets the processor time that this process has used. The process does nothing but scheduling,
    /// so all of it is overhead of the control plane.
    void set_processor_seconds();

    prometheus::Gauge& owned_shards() { return *owned_shards_; }
    prometheus::Counter& journal_writes() { return *journal_writes_; }

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    std::array<prometheus::Histogram*, work_class_count> wait_histograms_{};
    std::array<prometheus::Counter*, 3> outcome_counters_{};
    std::array<prometheus::Gauge*, 4> reserved_share_{};
    prometheus::Gauge* processor_seconds_ = nullptr;
    prometheus::Gauge* owned_shards_ = nullptr;
    prometheus::Counter* journal_writes_ = nullptr;
};

} // namespace flamingoseam
