#pragma once

#include "flamingoseam/workflow/fleet.hpp"

#include <cstddef>
#include <limits>
#include <vector>

namespace flamingoseam::workflow {

/// Index of the free capacity of the usable workers, by pool, for one scheduling pass. It avoids a
/// scan of all workers for each waiting step.
class free_capacity_index {
public:
    struct worker_capacity {
        std::size_t worker = 0;
        resources free;
    };

    /// Rebuilds the index from the current state of the fleet. Complexity: linear in the number of
    /// workers.
    void rebuild(const fleet& workers, time_point time);

    /// Subtracts capacity from the free capacity of a worker. Complexity: constant.
    void reserve(std::size_t worker, const resources& size);

    /// Returns the usable workers of a pool, ordered by worker index.
    [[nodiscard]] const std::vector<worker_capacity>& capacities_of(std::size_t pool) const
    {
        return pools_.at(pool).capacities;
    }

    /// Returns the free capacity of a worker, or null if the worker is not usable or belongs to
    /// another pool. Complexity: constant.
    [[nodiscard]] const worker_capacity* find(std::size_t pool, std::size_t worker) const;

    /// Returns the share of a pool's processors that is in use on the listed workers that do not
    /// leave, 0 if there is none. Complexity: constant.
    [[nodiscard]] double used_share(std::size_t pool) const;

    /// Checks whether a task may fit on some worker of a pool. False means that it certainly does
    /// not fit; true may be wrong, since the maximum is taken for each resource separately.
    /// Complexity: linear in the size of the pool after its capacity has changed, else constant.
    [[nodiscard]] bool may_fit(std::size_t pool, const resources& size);

private:
    struct pool_capacity {
        std::vector<worker_capacity> capacities;
        resources max_free; ///< Maximum free capacity on any worker, for each resource.
        bool max_free_is_valid = false;
        std::int64_t milli_cpus = 0; ///< Of the listed workers that do not leave.
        std::int64_t used_milli_cpus = 0;
    };
    struct position {
        std::size_t pool = 0;
        std::size_t index = none;
    };
    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    std::vector<pool_capacity> pools_;
    std::vector<position> positions_; ///< Position of each worker, by worker index.
};

} // namespace flamingoseam::workflow
