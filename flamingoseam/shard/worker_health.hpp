#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam {

/// Tells workers that fail every task from kinds of work that fail on every worker.
class worker_health {
public:
    /// Takes in how a task ended. Returns true when the worker should now be quarantined.
    /// `workers` is the size of the shard, which bounds how many may be out.
    bool on_ended(std::size_t worker, const std::string& kind, bool failed, std::size_t workers,
                  time_point time);

    /// Returns the quarantined workers whose next probe is due; each counts as being probed.
    std::vector<std::size_t> take_due_probes(time_point time);

    /// Tells whether a worker is quarantined. Complexity: logarithmic.
    [[nodiscard]] bool is_quarantined(std::size_t worker) const;

    /// Drops what is known of a worker that was replaced or removed.
    void forget(std::size_t worker);

private:
    struct record {
        int failures_in_row = 0;
        std::set<std::string> failed_kinds;
        bool quarantined = false;
        time_point next_probe{};
    };

    [[nodiscard]] bool fails_elsewhere(const std::string& kind, std::size_t worker) const;

    std::map<std::size_t, record> records_;
    /// By kind, the workers on which it failed since it last succeeded anywhere.
    std::map<std::string, std::set<std::size_t>> failing_on_;
    std::size_t quarantined_ = 0;
};

} // namespace flamingoseam
