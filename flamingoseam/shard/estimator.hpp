#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"

#include <map>
#include <string>

namespace flamingoseam {

/// Estimates from usage reports how long tasks of a customer's kind run and what resources they
/// use. Reports are delayed and declared sizes are often far off, so an estimate only changes what
/// is reserved for new tasks. A running task keeps its own reservation.
class estimator {
public:
    /// Records the resource usage and run time of one ended task. A usage of zero means unknown. A
    /// usage equal to the reservation shows only that the reservation was reached, so it keeps the
    /// estimate and does not raise it. Complexity: logarithmic in the number of kinds.
    void observe(const std::string& customer, const std::string& kind, const resources& usage,
                 const resources& reserved, milliseconds run_time);

    /// Returns the expected run time, or `declared` when no task of this kind was recorded.
    [[nodiscard]] milliseconds run_time(const std::string& customer, const std::string& kind,
                                        milliseconds declared) const;

    /// Returns the resources to reserve for a task: the declared size until enough tasks were
    /// recorded, then the recent peak usage plus a margin for processors and memory. Slots and
    /// accelerators stay as declared.
    [[nodiscard]] resources size(const std::string& customer, const std::string& kind,
                                 const resources& declared) const;

private:
    struct kind_statistics {
        int samples = 0;
        int usage_samples = 0;
        double mean_run_ms = 0;
        double peak_milli_cpus = 0;
        double peak_memory_mb = 0;
    };

    [[nodiscard]] const kind_statistics* find(const std::string& customer,
                                              const std::string& kind) const;

    /// By customer and kind.
    std::map<std::string, std::map<std::string, kind_statistics>> statistics_;
};

} // namespace flamingoseam
