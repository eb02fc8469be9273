#pragma once

#include "flamingoseam/core/clock.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

/// Limits the use that overdue steps make of something that all work shares, such as the workers,
/// to a fifth of it. A use may exceed the share; the next one has to wait until the share has
/// made up for it. Not thread-safe.
class overdue_share {
public:
    /// Checks whether overdue steps may begin another use. Complexity: constant.
    [[nodiscard]] bool may_use(time_point time) const { return time >= next_use_; }

    /// Records a use, given how long it would occupy the whole. Complexity: constant.
    void record_use(time_point::duration occupied, time_point time)
    {
        next_use_ = std::max(next_use_, time - max_saved) + inverse_share * occupied;
    }

private:
    static constexpr int inverse_share = 5;
    /// An unused share is kept for this long, since steps are placed at intervals.
    static constexpr milliseconds max_saved{500};

    time_point next_use_{};
};

} // namespace flamingoseam::workflow
