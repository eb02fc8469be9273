#include "flamingoseam/node/permission_pacer.hpp"

#include <algorithm>

namespace flamingoseam::node {

namespace {

constexpr milliseconds delay_after_failure{500};

/// The service rejects the calls of a node when 32 are waiting; and calls that wait there can't be
/// withdrawn.
constexpr std::size_t max_calls_in_flight = 4;

} // namespace

time_point permission_pacer::next_call() const
{
    const auto max_calls = has_answered_ ? max_calls_in_flight : 1;
    return calls_in_flight_ < max_calls ? next_call_ : time_point::max();
}

void permission_pacer::begin(milliseconds service_time, time_point time)
{
    ++calls_in_flight_;
    next_call_ = std::max(next_call_, time + service_time);
}

void permission_pacer::end(bool answered, time_point time)
{
    --calls_in_flight_;
    has_answered_ = answered;
    if (!answered) {
        next_call_ = std::max(next_call_, time + delay_after_failure);
    } else if (calls_in_flight_ == 0) {
        next_call_ = time; // The service has no call of this node left.
    }
}

} // namespace flamingoseam::node
