#pragma once

#include "flamingoseam/core/clock.hpp"

#include <tuple>

namespace flamingoseam::workflow {

/// Whether the result of a job that is served now is still in time or of use.
enum class lateness {
    on_time,  ///< The job can still complete within its target time.
    late,     ///< The job will miss its target time, but its result is still of use.
    obsolete, ///< Too late to be of use; it is run only so that every job completes.
};

/// The values that determine the rank of a job in the scheduling order at any time.
struct urgency {
    time_point on_time_until{}; ///< Last start time that still meets the target time.
    time_point useful_until{};  ///< Last start time at which the result is still of use.
    int priority = 0;           ///< The lowest value is scheduled first.
    time_point due{};

    /// Returns the lateness of the job if it is served at `time`. Complexity: constant.
    [[nodiscard]] lateness lateness_at(time_point time) const
    {
        if (time <= on_time_until) {
            return lateness::on_time;
        }
        return time <= useful_until ? lateness::late : lateness::obsolete;
    }

    /// Returns the rank in the scheduling order at `time`; the lowest rank is scheduled first.
    [[nodiscard]] std::tuple<lateness, int, time_point> rank_at(time_point time) const
    {
        return {lateness_at(time), priority, due};
    }
};

} // namespace flamingoseam::workflow
