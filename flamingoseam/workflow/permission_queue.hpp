#pragma once

#include "flamingoseam/workflow/messages.hpp"
#include "flamingoseam/workflow/permission_budget.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace flamingoseam::workflow {

/// Chooses the next request for a lane to the permission service: the most urgent one at that
/// moment, as far as the permission_budget has a lane for it. Without threads and clocks; not safe
/// from two threads.
class permission_queue {
public:
    /// Queues a request.
    void add(permission_request request) { waiting_.push_back(std::move(request)); }

    /// Forgets a request that waits; one that a lane works on goes on. Complexity: linear.
    void drop(std::uint64_t number);

    /// Returns the request that a free lane of so many works on next, none when what waits has to
    /// wait on. Complexity: linear in the waiting requests.
    std::optional<permission_request> take(std::size_t lanes, time_point time);

    /// Takes in that a lane has done with a request.
    void finish(const permission_request& request);

    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

    /// Returns for how long the oldest request waits, 0 when none does. Complexity: linear.
    [[nodiscard]] time_point::duration oldest_age(time_point time) const;

private:
    std::vector<permission_request> waiting_;
    permission_budget budget_;
};

} // namespace flamingoseam::workflow
