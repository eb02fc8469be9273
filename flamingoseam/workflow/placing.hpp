#pragma once

#include "flamingoseam/workflow/work_order.hpp"

#include <cstddef>

namespace flamingoseam::workflow::detail {

// Constants and checks shared by the placement of single tasks and of gangs.

inline constexpr milliseconds ticket_use_margin{
    60}; ///< Time that a start order may take to reach its worker.
inline constexpr std::size_t most_workers_asked =
    100; ///< Maximum that the permission service accepts in a call.
inline constexpr double waits_for_rack =
    2.0; ///< How long a step waits for its preferred rack, in estimated run times.

/// Checks whether a step still waits for its preferred rack instead of running in another one.
/// Complexity: constant.
inline bool is_waiting_for_rack(const ready_step& step, time_point time)
{
    return time < step.job->received + scaled(step.spec().estimate, waits_for_rack);
}

} // namespace flamingoseam::workflow::detail
