#pragma once

#include "flamingoseam/workflow/fleet.hpp"
#include "flamingoseam/workflow/job_spec.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace flamingoseam::workflow {

/// How many tasks the usable workers of each service could run at a time if they were empty. Counts
/// are kept, so that an object is of use for one decision only.
class service_places {
public:
    /// The fleet must outlive the object. Complexity: linear in the workers.
    service_places(const fleet& workers, time_point time);

    /// Checks whether a service has a usable worker. Complexity: logarithmic in the services.
    [[nodiscard]] bool has_workers(const std::string& service) const;

    /// Returns how many tasks of a step the workers of a service could run at a time. Complexity:
    /// linear in these workers for the first step of its kind, logarithmic in the kinds after that.
    int count(const std::string& service, const step_spec& step);

private:
    /// The service, and what a step asks of a worker: its label, processors, memory and
    /// accelerators, and the maximum of tasks on it.
    using task_kind =
        std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t, int>;

    [[nodiscard]] int count_anew(const std::string& service, const step_spec& step) const;

    const fleet& fleet_;
    std::map<std::string, std::vector<std::size_t>> usable_; ///< Workers by service.
    std::map<task_kind, int> counts_;
};

} // namespace flamingoseam::workflow
