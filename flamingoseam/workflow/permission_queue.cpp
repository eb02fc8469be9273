#include "flamingoseam/workflow/permission_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingoseam::workflow {

std::optional<permission_request> permission_queue::take(std::size_t call_slots, time_point time)
{
    budget_.set_call_slots(call_slots);
    const auto rank_of = [time](const permission_request& request) {
        return std::tuple(request.order.rank_at(time), request.number);
    };
    auto next = waiting_.end();
    for (auto request = waiting_.begin(); request != waiting_.end(); ++request) {
        const bool may_begin = budget_.has_call_slot(request->service_time, time);
        if (may_begin && (next == waiting_.end() || rank_of(*request) < rank_of(*next))) {
            next = request;
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
    std::erase_if(waiting_, [number](const auto& request) { return request.number == number; });
}

time_point::duration permission_queue::oldest_age(time_point time) const
{
    auto oldest = time_point::duration::zero();
    for (const auto& request : waiting_) {
        oldest = std::max(oldest, time - request.asked);
    }
    return oldest;
}

void permission_queue::finish(const permission_request& request)
{
    budget_.end(request.service_time);
}

} // namespace flamingoseam::workflow
