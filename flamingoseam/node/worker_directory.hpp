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
    /// value otherwise. Waits up to `wait` for a change. Throws transport_error when the platform
    /// does not answer.
    virtual std::optional<std::vector<workflow::worker_entry>> next(milliseconds wait) = 0;
};

using worker_directory_factory = std::function<std::unique_ptr<worker_directory>()>;

} // namespace flamingoseam::node
