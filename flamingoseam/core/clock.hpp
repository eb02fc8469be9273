#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace flamingoseam {

using std::chrono::milliseconds;

/// A point in the monotonic time of this process. Decisions take it as a parameter so that tests
/// can set it.
using time_point = std::chrono::steady_clock::time_point;

/// Returns the current monotonic time. Complexity: constant.
inline time_point now()
{
    return std::chrono::steady_clock::now();
}

/// Returns the time since the start of the machine, which also advances while it is suspended. Not
/// comparable with now(). Complexity: constant.
inline time_point boot_now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

/// Returns `duration` multiplied by `factor`, rounded towards zero. Complexity: constant.
inline milliseconds scaled(milliseconds duration, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Time since 1970-01-01 UTC, in the form that request ids and spans contain.
using wall_time = std::chrono::milliseconds;

/// Returns the current time of the wall clock. Complexity: constant.
inline wall_time wall_now()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace flamingoseam
