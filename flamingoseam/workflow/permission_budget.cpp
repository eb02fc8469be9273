#include "flamingoseam/workflow/permission_budget.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds min_long_call{50}; ///< Calls with at least this service time are long.
/// Call slots stay reserved for this long after a short call.
constexpr milliseconds short_call_window{1'000};
constexpr std::size_t call_slots_per_reserved = 4;
constexpr std::size_t always_reserved = 1; ///< Reserved for the first short call after a pause.

} // namespace

bool permission_budget::is_long(milliseconds service_time)
{
    return service_time >= min_long_call;
}

std::size_t permission_budget::call_slots_for_long_calls(time_point time) const
{
    const bool expects_short =
        last_short_call_ != time_point{} && time < last_short_call_ + short_call_window;
    const auto reserved =
        expects_short ? (call_slots_ + call_slots_per_reserved - 1) / call_slots_per_reserved
                      : always_reserved;
    return std::max<std::size_t>(1, call_slots_ - std::min(call_slots_, reserved));
}

bool permission_budget::has_call_slot(milliseconds service_time, time_point time) const
{
    return !is_long(service_time) || long_calls_ < call_slots_for_long_calls(time);
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
