#include "flamingoseam/workflow/permission_queue.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds long_call{150}; ///< Service time from which a call counts as long.

bool is_long(const permission_request& request)
{
    return request.service_time >= long_call;
}

} // namespace

void permission_queue::add(permission_request request)
{
    waiting_.emplace(std::pair(request.priority, request.number), std::move(request));
}

std::optional<permission_request> permission_queue::take(std::size_t lanes, time_point /*time*/)
{
    const auto most_long = std::max<std::size_t>(1, lanes / 2);
    const auto found = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& row) {
        return !is_long(row.second) || long_calls_ < most_long;
    });
    if (found == waiting_.end()) {
        return std::nullopt;
    }
    auto request = std::move(found->second);
    waiting_.erase(found);
    long_calls_ += is_long(request) ? 1 : 0;
    return request;
}

void permission_queue::finish(const permission_request& request)
{
    long_calls_ -= is_long(request) ? 1 : 0;
}

} // namespace flamingoseam::workflow
