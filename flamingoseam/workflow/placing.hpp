#pragma once

#include "flamingoseam/workflow/fleet.hpp"
#include "flamingoseam/workflow/work_order.hpp"

#include <algorithm>
#include <cstddef>

namespace flamingoseam::workflow::detail {

// Constants and checks shared by the placement of single tasks and of gangs.

/// Time that a start order may take to reach its worker.
inline constexpr milliseconds ticket_use_margin{60};
/// Maximum number of workers that the permission service accepts in a call.
inline constexpr std::size_t max_workers_per_request = 100;
/// No unanswered order is executed after this time.
inline constexpr milliseconds max_order_delay{13'000};

/// Checks whether the tasks of a step run faster in some rack than elsewhere. Complexity: constant.
inline bool wants_rack(const step_spec& step)
{
    return !step.preferred_rack.empty() || (step.gang && step.same_rack);
}

/// How long free capacity is kept from a step that waits while much of its service is idle: a third
/// of the time for which a job that has room may have nothing running. The rest is left for a
/// permission call and the start.
inline constexpr milliseconds max_wait_beside_idle{1'000};

/// Returns how many tasks of a step fit on one worker within this capacity. Complexity: constant.
inline int fits_in(const step_spec& step, const resources& capacity)
{
    const int fits = tasks_that_fit(step.size, capacity);
    return step.max_per_worker > 0 ? std::min(fits, step.max_per_worker) : fits;
}

} // namespace flamingoseam::workflow::detail
