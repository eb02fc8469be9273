#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>

namespace flamingoseam::workflow::detail {

/// What the placing of single tasks and of gangs share.
inline constexpr milliseconds ticket_use_margin{60}; ///< A start needs this long to arrive.
inline constexpr double waits_for_rack =
    2.0; ///< Estimates that a step waits for its preferred rack.

/// Returns a multiple of a length of time. Complexity: constant.
inline milliseconds scaled(milliseconds length, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

} // namespace flamingoseam::workflow::detail
