#pragma once

#include "flamingoseam/workflow/fleet.hpp"

#include <cstddef>
#include <limits>
#include <vector>

namespace flamingoseam::workflow {

/// The workers on which tasks may be started in one pass, by pool, and the room on them. It saves
/// each waiting step from looking at every worker.
class open_room {
public:
    struct row {
        std::size_t worker = 0;
        resources free;
    };

    /// Takes in the fleet as it is. Complexity: linear in the workers.
    void fill(const fleet& workers, time_point time);

    /// Takes room on a worker. Complexity: constant.
    void take(std::size_t worker, const resources& size);

    /// Returns the usable workers of a pool by index.
    [[nodiscard]] const std::vector<row>& rows_of(std::size_t pool) const
    {
        return pools_.at(pool).rows;
    }

    /// Returns the room on a worker, null when it is not usable or of another pool.
    /// Complexity: constant.
    [[nodiscard]] const row* find(std::size_t pool, std::size_t worker) const;

    /// Tells whether a task may fit somewhere in a pool; false only when it certainly does not.
    /// Complexity: linear in the pool after room was taken, else constant.
    [[nodiscard]] bool may_fit(std::size_t pool, const resources& size);

private:
    struct pool_room {
        std::vector<row> rows;
        resources largest; ///< Of any row, field by field.
        bool largest_is_known = false;
    };
    struct position {
        std::size_t pool = 0;
        std::size_t index = none;
    };
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    std::vector<pool_room> pools_;
    std::vector<position> positions_; ///< By worker.
};

} // namespace flamingoseam::workflow
