#pragma once

#include "flamingoseam/workflow/queue_catalog.hpp"

#include <cstdint>
#include <optional>

namespace flamingoseam::node {

/// The operators' configuration of the queues, as far as this node knows it. Thread-safe.
class queue_configuration_source {
public:
    virtual ~queue_configuration_source() = default;

    /// Returns the newest known configuration if its version is above `version`, none otherwise.
    /// Called often.
    [[nodiscard]] virtual std::optional<workflow::queue_configuration>
    queues_after(std::int64_t version) const = 0;

    /// Reads the configuration from the store, so that it is at least as new as any that another
    /// node knew before the call. Throws transport_error if the store does not answer.
    virtual void refresh() = 0;
};

} // namespace flamingoseam::node
