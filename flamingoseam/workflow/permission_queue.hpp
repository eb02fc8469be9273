#pragma once

#include "flamingoseam/workflow/messages.hpp"
#include "flamingoseam/workflow/permission_budget.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace flamingoseam::workflow {

/// Queue of requests to the permission service. It selects the request that is the most urgent at
/// the time of the call, among those for which the permission_budget has a call slot. Uses no
/// threads and no clocks; not thread-safe.
class permission_queue {
public:
    /// Adds a request to the queue.
    void add(permission_request request) { waiting_.push_back(std::move(request)); }

    /// Removes a waiting request. A request that is already in flight is not affected. Complexity:
    /// linear.
    void drop(std::uint64_t number);

    /// Removes and returns the next request for a free call slot, given the total number of call
    /// slots. Returns none if all waiting requests must keep waiting. Complexity: linear in the
    /// number of waiting requests.
    std::optional<permission_request> take(std::size_t call_slots, time_point time);

    /// Records that a request has completed and its call slot is free again.
    void finish(const permission_request& request);

    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

    /// Returns how long the oldest request has waited, or 0 if none waits. Complexity: linear.
    [[nodiscard]] time_point::duration oldest_age(time_point time) const;

private:
    std::vector<permission_request> waiting_;
    permission_budget budget_;
};

} // namespace flamingoseam::workflow
