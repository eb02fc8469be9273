#include "flamingoseam/workflow/permission_shares.hpp"

#include <algorithm>
#include <map>

namespace flamingoseam::workflow {

namespace {

/// A queue that asks for a call slot less often than this has no share reserved for it.
constexpr milliseconds demand_retention{1'000};
constexpr milliseconds cleanup_interval{250};

} // namespace

/// Removes the queues that have no call in flight and have not asked for a call slot recently.
void permission_shares::remove_idle(time_point time)
{
    if (time < next_cleanup_) {
        return;
    }
    next_cleanup_ = time + cleanup_interval;
    const auto removed = std::erase_if(queues_, [time](const auto& entry) {
        return entry.second.calls == 0 && entry.second.kept_until <= time;
    });
    weights_outdated_ = weights_outdated_ || removed > 0;
}

/// Computes the weight of each queue from the number of queues with a more urgent priority.
void permission_shares::update_weights()
{
    std::map<int, int> queue_counts;
    for (const auto& [name, usage] : queues_) {
        ++queue_counts[usage.priority];
    }
    std::map<int, double> weights;
    int more_urgent = 0;
    for (const auto& [priority, count] : queue_counts) {
        weights[priority] = 1.0 / (1 + more_urgent);
        more_urgent += count;
    }
    total_weight_ = 0;
    for (auto& [name, usage] : queues_) {
        usage.weight = weights.at(usage.priority);
        total_weight_ += usage.weight;
    }
    weights_outdated_ = false;
}

bool permission_shares::has_reached_share(const queue_usage& usage, std::size_t call_slots) const
{
    const auto share = static_cast<double>(call_slots) * usage.weight / total_weight_;
    return static_cast<double>(usage.calls) >= std::max(1.0, share);
}

bool permission_shares::may_begin(const std::string& queue, int priority, std::size_t call_slots,
                                  time_point time)
{
    remove_idle(time);
    const auto [position, is_new] = queues_.try_emplace(queue);
    auto& own = position->second;
    weights_outdated_ = weights_outdated_ || is_new || own.priority != priority;
    own.priority = priority;
    own.kept_until = time + demand_retention;
    if (weights_outdated_) {
        update_weights();
    }
    if (!has_reached_share(own, call_slots)) {
        return true;
    }
    return std::ranges::none_of(queues_, [&](const auto& entry) {
        const auto& other = entry.second;
        return &other != &own && time < other.needs_until && !has_reached_share(other, call_slots);
    });
}

void permission_shares::record_refused(const std::string& queue, time_point time)
{
    const auto found = queues_.find(queue);
    if (found != queues_.end()) {
        found->second.needs_until = time + demand_retention;
    }
}

void permission_shares::begin(const std::string& queue)
{
    const auto [position, is_new] = queues_.try_emplace(queue);
    weights_outdated_ = weights_outdated_ || is_new;
    ++position->second.calls;
    position->second.needs_until = {};
}

void permission_shares::end(const std::string& queue)
{
    const auto found = queues_.find(queue);
    if (found != queues_.end() && found->second.calls > 0) {
        --found->second.calls;
    }
}

} // namespace flamingoseam::workflow
