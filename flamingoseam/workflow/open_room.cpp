#include "flamingoseam/workflow/open_room.hpp"

namespace flamingoseam::workflow {

void open_room::fill(const fleet& workers, time_point time)
{
    pools_.resize(workers.pools());
    for (auto& pool : pools_) {
        pool.rows.clear();
        pool.largest_is_known = false;
    }
    positions_.assign(workers.size(), position{});
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        const auto& one = workers.at(worker);
        if (one.is_usable(time)) {
            auto& rows = pools_[one.pool].rows;
            positions_[worker] = {.pool = one.pool, .index = rows.size()};
            rows.push_back({.worker = worker, .free = one.free()});
        }
    }
}

void open_room::take(std::size_t worker, const resources& size)
{
    const auto& [pool, index] = positions_.at(worker);
    if (index != none) {
        pools_[pool].rows[index].free -= size;
        pools_[pool].largest_is_known = false;
    }
}

const open_room::row* open_room::find(std::size_t pool, std::size_t worker) const
{
    if (worker >= positions_.size()) {
        return nullptr;
    }
    const auto& there = positions_[worker];
    return there.index == none || there.pool != pool ? nullptr : &pools_[pool].rows[there.index];
}

bool open_room::may_fit(std::size_t pool, const resources& size)
{
    auto& one = pools_.at(pool);
    if (!one.largest_is_known) {
        one.largest = {};
        for (const auto& row : one.rows) {
            one.largest = max(one.largest, row.free);
        }
        one.largest_is_known = true;
    }
    return tasks_that_fit(size, one.largest) > 0;
}

} // namespace flamingoseam::workflow
