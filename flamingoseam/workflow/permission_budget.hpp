#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>

namespace flamingoseam::workflow {

/// Shares out the permission service's time. The service works on one call at a time for each
/// calling node, a lane. While short calls come in, long ones leave them a quarter of the lanes,
/// and one at any time.
class permission_budget {
public:
    void set_lanes(std::size_t lanes) { lanes_ = lanes; }

    /// Tells whether calls of such a service time are long. Complexity: constant.
    [[nodiscard]] static bool is_long(milliseconds service_time);

    /// Returns how many lanes long calls may take now. Complexity: constant.
    [[nodiscard]] std::size_t lanes_for_long(time_point time) const;

    /// Tells whether one more call of such a service time finds a lane, or soon will: short calls
    /// always do. Complexity: constant.
    [[nodiscard]] bool has_lane(milliseconds service_time, time_point time) const;

    /// Takes in that a call has begun.
    void begin(milliseconds service_time, time_point time);

    /// Takes in that a call has ended.
    void end(milliseconds service_time);

private:
    std::size_t lanes_ = 1;
    std::size_t long_calls_ = 0;
    time_point last_short_call_{};
};

} // namespace flamingoseam::workflow
