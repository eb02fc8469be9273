#pragma once

#include "flamingoseam/core/clock.hpp"

#include <tuple>

namespace flamingoseam::workflow {

/// How much a job can still gain by being served now.
enum class lateness {
    on_time,  ///< It can still be done within its target time.
    late,     ///< It will be late, but a late answer is still of use.
    hopeless, ///< So late that only completeness asks for it.
};

/// What a job's place in the order of work follows from at any moment.
struct urgency {
    time_point on_time_until{}; ///< Served later, it can't be done within its target time.
    time_point useful_until{};  ///< Served later, it is hopeless.
    int priority = 0;           ///< The lowest comes first.
    time_point due{};

    /// Returns the lateness at a moment. Complexity: constant.
    [[nodiscard]] lateness lateness_at(time_point time) const
    {
        if (time <= on_time_until) {
            return lateness::on_time;
        }
        return time <= useful_until ? lateness::late : lateness::hopeless;
    }

    /// Returns the place in the order of work at a moment; the lowest comes first.
    [[nodiscard]] std::tuple<lateness, int, time_point> rank_at(time_point time) const
    {
        return {lateness_at(time), priority, due};
    }
};

} // namespace flamingoseam::workflow
