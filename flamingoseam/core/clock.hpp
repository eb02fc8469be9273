#pragma once

#include <chrono>
#include <cstdint>

namespace flamingoseam {

using std::chrono::milliseconds;

/// Monotonic time of one process; passed into every decision so that tests can set it.
using time_point = std::chrono::steady_clock::time_point;

/// Returns the monotonic time. Complexity: constant.
inline time_point now()
{
    return std::chrono::steady_clock::now();
}

/// Returns a multiple of a length of time, rounded towards zero. Complexity: constant.
inline milliseconds scaled(milliseconds length, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

/// Time since 1970-01-01 UTC, as request ids and spans carry it.
using wall_time = std::chrono::milliseconds;

/// Returns the wall clock's time. Complexity: constant.
inline wall_time wall_now()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace flamingoseam
