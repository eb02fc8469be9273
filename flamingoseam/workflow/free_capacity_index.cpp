#include "flamingoseam/workflow/free_capacity_index.hpp"

namespace flamingoseam::workflow {

void free_capacity_index::rebuild(const fleet& workers, time_point time)
{
    pools_.resize(workers.pools());
    for (auto& pool : pools_) {
        pool.capacities.clear();
        pool.max_free_is_valid = false;
        pool.milli_cpus = 0;
        pool.used_milli_cpus = 0;
    }
    positions_.assign(workers.size(), position{});
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        const auto& worker_state = workers.at(worker);
        if (worker_state.listed && !worker_state.entry.leaving) {
            auto& pool = pools_[worker_state.pool];
            pool.milli_cpus += worker_state.entry.capacity.milli_cpus;
            pool.used_milli_cpus += worker_state.used.milli_cpus;
        }
        if (worker_state.is_usable(time)) {
            auto& capacities = pools_[worker_state.pool].capacities;
            positions_[worker] = {.pool = worker_state.pool, .index = capacities.size()};
            capacities.push_back({.worker = worker, .free = worker_state.free()});
        }
    }
}

void free_capacity_index::reserve(std::size_t worker, const resources& size)
{
    const auto& [pool, index] = positions_.at(worker);
    if (index != none) {
        pools_[pool].capacities[index].free -= size;
        pools_[pool].max_free_is_valid = false;
        pools_[pool].used_milli_cpus += size.milli_cpus;
    }
}

double free_capacity_index::used_share(std::size_t pool) const
{
    if (pool >= pools_.size() || pools_[pool].milli_cpus == 0) {
        return 0;
    }
    return static_cast<double>(pools_[pool].used_milli_cpus) /
           static_cast<double>(pools_[pool].milli_cpus);
}

const free_capacity_index::worker_capacity* free_capacity_index::find(std::size_t pool,
                                                                      std::size_t worker) const
{
    if (worker >= positions_.size()) {
        return nullptr;
    }
    const auto& found = positions_[worker];
    return found.index == none || found.pool != pool ? nullptr
                                                     : &pools_[pool].capacities[found.index];
}

bool free_capacity_index::may_fit(std::size_t pool, const resources& size)
{
    auto& pool_entry = pools_.at(pool);
    if (!pool_entry.max_free_is_valid) {
        pool_entry.max_free = {};
        for (const auto& entry : pool_entry.capacities) {
            pool_entry.max_free = max(pool_entry.max_free, entry.free);
        }
        pool_entry.max_free_is_valid = true;
    }
    return tasks_that_fit(size, pool_entry.max_free) > 0;
}

} // namespace flamingoseam::workflow
