#pragma once

#include "flamingoseam/workflow/messages.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace flamingoseam::node {

/// The platform's list of workers, to be used from one thread.
class worker_directory {
public:
    virtual ~worker_directory() = default;

    /// Returns the whole list when it has changed since the last call or was never read, and no
    /// value otherwise. Waits for a change, but not for long. Throws transport_error when the
    /// platform does not answer.
    virtual std::optional<std::vector<workflow::worker_entry>> next() = 0;

    /// Returns when the platform last confirmed that the list was current; zero if it never did.
    [[nodiscard]] virtual time_point confirmed_at() const = 0;
};

using worker_directory_factory = std::function<std::unique_ptr<worker_directory>()>;

} // namespace flamingoseam::node
