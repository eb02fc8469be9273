#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam {

/// Distinguishes workers that fail every task from kinds of work that fail on every worker.
class worker_health {
public:
    /// Records the end of a task. Returns true when the worker must be quarantined now. `workers`
    /// is the number of workers in the shard, which limits how many may be quarantined at once.
    bool on_ended(std::size_t worker, const std::string& kind, bool failed, std::size_t workers,
                  time_point time);

    /// Returns the quarantined workers whose next probe is due, and schedules the probe after it.
    std::vector<std::size_t> take_due_probes(time_point time);

    /// Checks whether a worker is quarantined. Complexity: logarithmic.
    [[nodiscard]] bool is_quarantined(std::size_t worker) const;

    /// Deletes the record of a worker that was replaced or removed.
    void forget(std::size_t worker);

private:
    struct record {
        int consecutive_failures = 0;
        std::set<std::string> failed_kinds;
        bool quarantined = false;
        time_point next_probe{};
    };

    [[nodiscard]] bool fails_on_other_workers(const std::string& kind, std::size_t worker) const;

    std::map<std::size_t, record> records_;
    /// The workers on which a kind has failed since its last success on any worker, by kind.
    std::map<std::string, std::set<std::size_t>> failing_on_;
    std::size_t quarantined_ = 0;
};

} // namespace flamingoseam
