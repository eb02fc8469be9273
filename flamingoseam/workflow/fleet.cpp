#include "flamingoseam/workflow/fleet.hpp"

#include <algorithm>
#include <limits>

namespace flamingoseam::workflow {

int tasks_that_fit(const resources& size, const resources& room)
{
    std::int64_t count = std::numeric_limits<int>::max();
    const auto limit = [&count](std::int64_t need, std::int64_t has) {
        if (need > 0) {
            count = std::min(count, std::max<std::int64_t>(0, has) / need);
        }
    };
    limit(size.milli_cpus, room.milli_cpus);
    limit(size.memory_mb, room.memory_mb);
    limit(size.accelerators, room.accelerators);
    return static_cast<int>(count);
}

bool has_label(const worker_entry& worker, const std::string& label)
{
    return label.empty() ||
           std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

std::size_t fleet::put(const worker_entry& entry)
{
    const auto [found, is_new] = by_id_.try_emplace(entry.id, workers_.size());
    if (is_new) {
        workers_.push_back({.entry = entry});
    } else {
        workers_[found->second].entry = entry;
    }
    workers_[found->second].pool = pools_.try_emplace(entry.service, pools_.size()).first->second;
    return found->second;
}

std::optional<std::size_t> fleet::find_pool(const std::string& service) const
{
    const auto found = pools_.find(service);
    return found == pools_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::size_t> fleet::find(const std::string& id) const
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return std::nullopt;
    }
    return found->second;
}

held_run& fleet::hold(std::size_t worker, const run_name& name, held_run run)
{
    auto& one = workers_.at(worker);
    const auto [found, is_new] = one.runs.try_emplace(name, run);
    if (is_new) {
        one.used += found->second.size;
        one.unsized_runs += found->second.is_sized ? 0 : 1;
    }
    return found->second;
}

held_run* fleet::find_run(std::size_t worker, const run_name& name)
{
    auto& runs = workers_.at(worker).runs;
    const auto found = runs.find(name);
    return found == runs.end() ? nullptr : &found->second;
}

bool fleet::release(std::size_t worker, const run_name& name)
{
    auto& one = workers_.at(worker);
    const auto found = one.runs.find(name);
    if (found == one.runs.end()) {
        return false;
    }
    one.used -= found->second.size;
    one.unsized_runs -= found->second.is_sized ? 0 : 1;
    one.runs.erase(found);
    return true;
}

int fleet::count_of_step(std::size_t worker, const std::string& job, int step) const
{
    const auto& runs = workers_.at(worker).runs;
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const auto& row) {
        return row.first.task.step == step && row.first.task.job == job;
    }));
}

bool fleet::settle_end(std::size_t worker, std::int64_t life, std::int64_t number)
{
    auto& one = workers_.at(worker);
    if (one.entry.life != life) {
        return false;
    }
    const auto end = one.open_ends.find(number);
    if (end == one.open_ends.end()) {
        return false;
    }
    end->second = true;
    bool moved = false;
    while (!one.open_ends.empty() && one.open_ends.begin()->second) {
        one.forget_up_to = one.open_ends.begin()->first;
        one.open_ends.erase(one.open_ends.begin());
        moved = true;
    }
    return moved;
}

} // namespace flamingoseam::workflow
