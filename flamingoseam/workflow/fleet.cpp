#include "flamingoseam/workflow/fleet.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// Above the number of tasks of any step. Sums over all workers stay representable.
constexpr std::int64_t max_fitting_tasks = 100'000;

} // namespace

int tasks_that_fit(const resources& size, const resources& free_capacity)
{
    auto count = max_fitting_tasks;
    const auto limit = [&count](std::int64_t need, std::int64_t has) {
        if (need > 0) {
            count = std::min(count, std::max<std::int64_t>(0, has) / need);
        }
    };
    limit(size.milli_cpus, free_capacity.milli_cpus);
    limit(size.memory_mb, free_capacity.memory_mb);
    limit(size.accelerators, free_capacity.accelerators);
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
        racks_[entry.rack].push_back(found->second);
    } else {
        set_rack(found->second, entry.rack);
        workers_[found->second].entry = entry;
    }
    workers_[found->second].pool = pools_.try_emplace(entry.service, pools_.size()).first->second;
    return found->second;
}

void fleet::set_rack(std::size_t worker, const std::string& rack)
{
    const auto& earlier = workers_[worker].entry.rack;
    if (earlier != rack) {
        std::erase(racks_[earlier], worker);
        racks_[rack].push_back(worker);
    }
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

resources fleet::worker_capacity() const
{
    const auto found = std::ranges::find_if(workers_, &fleet_worker::listed);
    return found == workers_.end() ? resources{} : found->entry.capacity;
}

assigned_run& fleet::assign(std::size_t worker, const run_name& name, assigned_run run)
{
    auto& worker_state = workers_.at(worker);
    const auto [found, is_new] = worker_state.runs.try_emplace(name, run);
    if (is_new) {
        worker_state.used += found->second.size;
        worker_state.exclusive_runs += found->second.shares_worker ? 0 : 1;
    }
    return found->second;
}

assigned_run* fleet::find_run(std::size_t worker, const run_name& name)
{
    auto& runs = workers_.at(worker).runs;
    const auto found = runs.find(name);
    return found == runs.end() ? nullptr : &found->second;
}

bool fleet::release(std::size_t worker, const run_name& name)
{
    auto& worker_state = workers_.at(worker);
    const auto found = worker_state.runs.find(name);
    if (found == worker_state.runs.end()) {
        return false;
    }
    worker_state.used -= found->second.size;
    worker_state.exclusive_runs -= found->second.shares_worker ? 0 : 1;
    worker_state.runs.erase(found);
    return true;
}

int fleet::count_of_step(std::size_t worker, const std::string& job, int step) const
{
    const auto& runs = workers_.at(worker).runs;
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const auto& assigned) {
        return assigned.first.task.step == step && assigned.first.task.job == job;
    }));
}

bool fleet::mark_end_stored(std::size_t worker, std::int64_t incarnation, std::int64_t number)
{
    auto& worker_state = workers_.at(worker);
    if (worker_state.entry.incarnation != incarnation) {
        return false;
    }
    const auto end = worker_state.unacknowledged_ends.find(number);
    if (end == worker_state.unacknowledged_ends.end()) {
        return false;
    }
    end->second = true;
    return advance_forgotten(worker_state);
}

bool fleet::settle_ends(std::size_t worker, std::int64_t newest_listed)
{
    auto& worker_state = workers_.at(worker);
    worker_state.settled_end = std::max(worker_state.settled_end, worker_state.listed_end);
    worker_state.listed_end = newest_listed;
    return advance_forgotten(worker_state);
}

/// Lets a worker discard the ends that are stored. An end is kept as long as one with a lower
/// number may not have been listed yet, which the worker would discard unread.
bool fleet::advance_forgotten(fleet_worker& worker)
{
    bool has_advanced = false;
    auto& ends = worker.unacknowledged_ends;
    while (!ends.empty() && ends.begin()->second && worker.is_next_end(ends.begin()->first)) {
        worker.forget_up_to = std::max(worker.forget_up_to, ends.begin()->first);
        ends.erase(ends.begin());
        has_advanced = true;
    }
    return has_advanced;
}

} // namespace flamingoseam::workflow
