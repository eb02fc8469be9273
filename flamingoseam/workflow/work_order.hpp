#pragma once

#include "flamingoseam/workflow/job_record.hpp"

#include <functional>
#include <vector>

namespace flamingoseam::workflow {

/// A step whose turn has come and that has tasks to place.
struct ready_step {
    job_record* job = nullptr;
    int step = 0;

    [[nodiscard]] step_record& record() const { return job->steps[static_cast<std::size_t>(step)]; }
    [[nodiscard]] const step_spec& spec() const
    {
        return job->spec.steps[static_cast<std::size_t>(step)];
    }
};

/// How much a job can still gain by being served now.
enum class lateness {
    on_time,  ///< It can still be done within its target time.
    late,     ///< It will be late, but a late answer is still of use.
    hopeless, ///< So late that only completeness asks for it.
};

/// Returns how long a job can still wait and be done within its target time; below zero when it can
/// not. Complexity: linear in steps.
time_point::duration slack_of(const job_record& job, time_point time);

/// How many times its target time a job may take until nobody needs it any more.
inline constexpr int late_multiple = 3;

/// Returns the lateness of a job that would go on now without waiting. Complexity: linear in steps.
lateness lateness_of(const job_record& job, time_point time);

/// Brings steps into the order in which they are placed.
using step_order = std::function<void(std::vector<ready_step>& steps, time_point time)>;

/// Sorts steps into the order in which they are placed. Work that can still be on time goes before
/// work that is late already; within that, by the contract's priority, then by the time at which a
/// job has to be done. This answers a burst: without it, late jobs would make others late, too.
/// Complexity: n log n.
void sort_by_urgency(std::vector<ready_step>& steps, time_point time);

} // namespace flamingoseam::workflow
