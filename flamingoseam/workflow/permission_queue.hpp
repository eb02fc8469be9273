#pragma once

#include "flamingoseam/workflow/messages.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace flamingoseam::workflow {

/// Chooses the next request for a lane to the permission service. Long calls take at most half of
/// the lanes, so that short ones, which belong to urgent work, find a lane free. Without threads
/// and clocks; not safe from two threads.
class permission_queue {
public:
    /// Queues a request.
    void add(permission_request request);

    /// Returns the request that a free lane works on next, none when it has to wait: the lowest
    /// priority number first, then the oldest. Complexity: linear in the waiting requests.
    std::optional<permission_request> take(std::size_t lanes, time_point time);

    /// Takes in that a lane has done with a request.
    void finish(const permission_request& request);

    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

private:
    std::map<std::pair<int, std::uint64_t>, permission_request> waiting_;
    std::size_t long_calls_ = 0;
};

} // namespace flamingoseam::workflow
