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

/// The metrics of a scheduler: waiting time, packing and the cost of control come first.
class scheduler_metrics {
public:
    scheduler_metrics();

    /// Counts the waiting time of one start.
    void observe_wait(work_class cls, milliseconds wait);

    /// Counts an outcome that was told to a caller.
    void observe_outcome(const outcome& result);

    /// Sets how much of the owned workers' capacity is reserved.
    void set_packing(const resources& reserved, const resources& capacity);

    /// Sets the processor time that the process has used, all of it control.
    void set_control_cost();

    prometheus::Gauge& owned_shards() { return *owned_shards_; }
    prometheus::Counter& journal_writes() { return *journal_writes_; }

    /// Returns every metric in the text format of Prometheus.
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    std::array<prometheus::Histogram*, work_class_count> waits_{};
    std::array<prometheus::Counter*, 3> outcomes_{};
    std::array<prometheus::Gauge*, 4> packing_{};
    prometheus::Gauge* processor_seconds_ = nullptr;
    prometheus::Gauge* owned_shards_ = nullptr;
    prometheus::Counter* journal_writes_ = nullptr;
};

} // namespace flamingoseam
