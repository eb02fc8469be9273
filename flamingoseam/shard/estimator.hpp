#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"

#include <map>
#include <string>

namespace flamingoseam {

/// Learns from usage reports how long tasks of a customer's kind run and what they use. Reports lag
/// and declared sizes are often far off, so an estimate only ever changes what is reserved for new
/// tasks; what runs stays within its own reservation.
class estimator {
public:
    /// Takes in what one ended task used of what was reserved for it. A use of zero is unknown; a
    /// use of exactly what was reserved says only that the reservation was reached, so it keeps
    /// the estimate and does not raise it. Complexity: logarithmic in kinds.
    void observe(const std::string& customer, const std::string& kind, const resources& usage,
                 const resources& reserved, milliseconds run_time);

    /// Returns the expected run time, `declared` while nothing is known.
    [[nodiscard]] milliseconds run_time(const std::string& customer, const std::string& kind,
                                        milliseconds declared) const;

    /// Returns what to reserve for a task: the declared size until enough tasks were seen, then the
    /// largest use seen lately with a margin, field by field. Slots and accelerators are kept.
    [[nodiscard]] resources size(const std::string& customer, const std::string& kind,
                                 const resources& declared) const;

private:
    struct estimate {
        int samples = 0;
        int usage_samples = 0;
        double mean_run_ms = 0;
        double peak_milli_cpus = 0;
        double peak_memory_mb = 0;
    };

    [[nodiscard]] const estimate* find(const std::string& customer, const std::string& kind) const;

    std::map<std::string, std::map<std::string, estimate>> estimates_;
};

} // namespace flamingoseam
