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
    /// Takes in what one ended task used. Complexity: logarithmic in kinds.
    void observe(const std::string& customer, const std::string& kind, const resources& usage,
                 milliseconds run_time);

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
        double mean_run_ms = 0;
        double peak_milli_cpus = 0;
        double peak_memory_mb = 0;
    };

    [[nodiscard]] const estimate* find(const std::string& customer, const std::string& kind) const;

    std::map<std::string, std::map<std::string, estimate>> estimates_;
};

} // namespace flamingoseam
