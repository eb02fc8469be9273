#pragma once

#include "flamingoseam/workflow/work_order.hpp"

#include <cstddef>

namespace flamingoseam::workflow::detail {

/// What the placing of single tasks and of gangs share.
inline constexpr milliseconds ticket_use_margin{60};   ///< A start needs this long to arrive.
inline constexpr std::size_t most_workers_asked = 100; ///< The permission service takes no more.
inline constexpr double waits_for_rack =
    2.0; ///< Estimates that a step waits for its preferred rack.

/// Tells whether a step would rather wait than run away from its preferred rack. Complexity:
/// constant.
inline bool is_waiting_for_rack(const ready_step& step, time_point time)
{
    return time < step.job->received + scaled(step.spec().estimate, waits_for_rack);
}

} // namespace flamingoseam::workflow::detail
