#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>

namespace flamingoseam::node {

/// Decides when the next call to the permission service may be sent through one node. The service
/// handles the calls of a node one after the other, so the calls are sent one service time apart:
/// each arrives when the service has finished the previous one, whose answer may still be on the
/// way. Uses no threads and no clocks; not thread-safe.
class permission_pacer {
public:
    /// Returns the earliest time of the next call, or time_point::max() while the calls in flight
    /// leave no room for it. Complexity: constant.
    [[nodiscard]] time_point next_call() const;

    /// Records that a call has been sent.
    void begin(milliseconds service_time, time_point time);

    /// Records that a call has ended. A node whose last call failed is left alone for a while, and
    /// has one call in flight until it answers again.
    void end(bool answered, time_point time);

    [[nodiscard]] std::size_t calls_in_flight() const { return calls_in_flight_; }

private:
    std::size_t calls_in_flight_ = 0;
    time_point next_call_{};
    bool has_answered_ = false; ///< The last call that ended was answered.
};

} // namespace flamingoseam::node
