#pragma once

#include "flamingoseam/workflow/job_spec.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// The queues in one version of the operators' configuration.
struct queue_configuration {
    std::int64_t version = 0;
    std::vector<queue_terms> queues; ///< All of this version.
};

/// The queues in the newest known version of the operators' configuration.
class queue_catalog {
public:
    /// Replaces all queues. Returns false, without any effect, unless the version is above that of
    /// the last call. Complexity: n log n.
    bool replace(const queue_configuration& configuration);

    /// Returns the terms of a queue, null if the newest version has no such queue. Complexity:
    /// logarithmic.
    [[nodiscard]] const queue_terms* find(const std::string& queue) const;

    /// Returns the newer ones of some terms of a queue and those that are known of it. Complexity:
    /// logarithmic.
    [[nodiscard]] queue_terms newest(const queue_terms& terms) const;

private:
    std::int64_t version_ = 0;
    std::map<std::string, queue_terms> queues_;
};

} // namespace flamingoseam::workflow
