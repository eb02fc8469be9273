#include "flamingoseam/workflow/permission_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingoseam::workflow {

std::optional<permission_request> permission_queue::take(std::size_t lanes, time_point time)
{
    budget_.set_lanes(lanes);
    const auto place_of = [time](const permission_request& one) {
        return std::tuple(one.order.rank_at(time), one.number);
    };
    auto next = waiting_.end();
    for (auto one = waiting_.begin(); one != waiting_.end(); ++one) {
        const bool may_go = budget_.has_lane(one->service_time, time);
        if (may_go && (next == waiting_.end() || place_of(*one) < place_of(*next))) {
            next = one;
        }
    }
    if (next == waiting_.end()) {
        return std::nullopt;
    }
    auto request = std::move(*next);
    waiting_.erase(next);
    budget_.begin(request.service_time, time);
    return request;
}

void permission_queue::drop(std::uint64_t number)
{
    std::erase_if(waiting_, [number](const auto& one) { return one.number == number; });
}

time_point::duration permission_queue::oldest_age(time_point time) const
{
    auto oldest = time_point::duration::zero();
    for (const auto& one : waiting_) {
        oldest = std::max(oldest, time - one.asked);
    }
    return oldest;
}

void permission_queue::finish(const permission_request& request)
{
    budget_.end(request.service_time);
}

} // namespace flamingoseam::workflow
