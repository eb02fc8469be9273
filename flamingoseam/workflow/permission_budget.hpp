#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>

namespace flamingoseam::workflow {

/// Divides the call slots of the permission service between short and long calls. The service
/// processes one call at a time for each calling node; each of these nodes provides one call slot.
/// While short calls arrive, a quarter of the call slots is reserved for them, and otherwise one.
class permission_budget {
public:
    void set_call_slots(std::size_t call_slots) { call_slots_ = call_slots; }

    /// Checks whether a call with this service time is long. Complexity: constant.
    [[nodiscard]] static bool is_long(milliseconds service_time);

    /// Returns the number of call slots that long calls may currently use. Complexity: constant.
    [[nodiscard]] std::size_t call_slots_for_long_calls(time_point time) const;

    /// Checks whether another call with this service time may begin. Short calls always may, since
    /// a call slot is free or becomes free soon. Complexity: constant.
    [[nodiscard]] bool has_call_slot(milliseconds service_time, time_point time) const;

    /// Checks whether long calls use less than half of the call slots that they may use.
    /// Complexity: constant.
    [[nodiscard]] bool is_mostly_idle(time_point time) const
    {
        return 2 * long_calls_ < call_slots_for_long_calls(time);
    }

    /// Records that a call has begun.
    void begin(milliseconds service_time, time_point time);

    /// Records that a call has ended.
    void end(milliseconds service_time);

private:
    std::size_t call_slots_ = 1;
    std::size_t long_calls_ = 0;
    time_point last_short_call_{};
};

} // namespace flamingoseam::workflow
