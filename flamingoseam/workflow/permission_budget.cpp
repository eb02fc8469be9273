#include "flamingoseam/workflow/permission_budget.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds long_call{50}; ///< Calls with at least this service time are long.
constexpr milliseconds short_calls_expected{
    1'000}; ///< Call slots stay reserved for this long after a short call.
constexpr std::size_t lanes_per_reserved = 4;
constexpr std::size_t always_reserved = 1; ///< Reserved for the first short call after a pause.

} // namespace

bool permission_budget::is_long(milliseconds service_time)
{
    return service_time >= long_call;
}

std::size_t permission_budget::lanes_for_long(time_point time) const
{
    const bool expects_short =
        last_short_call_ != time_point{} && time < last_short_call_ + short_calls_expected;
    const auto reserved =
        expects_short ? (lanes_ + lanes_per_reserved - 1) / lanes_per_reserved : always_reserved;
    return std::max<std::size_t>(1, lanes_ - std::min(lanes_, reserved));
}

bool permission_budget::has_lane(milliseconds service_time, time_point time) const
{
    return !is_long(service_time) || long_calls_ < lanes_for_long(time);
}

void permission_budget::begin(milliseconds service_time, time_point time)
{
    if (is_long(service_time)) {
        ++long_calls_;
    } else {
        last_short_call_ = time;
    }
}

void permission_budget::end(milliseconds service_time)
{
    long_calls_ -= is_long(service_time) ? 1 : 0;
}

} // namespace flamingoseam::workflow
