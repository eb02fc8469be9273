#include "flamingoseam/workflow/permission_shares.hpp"

#include <algorithm>
#include <map>

namespace flamingoseam::workflow {

namespace {

/// A queue that asks for a call slot less often than this has no share reserved for it.
constexpr milliseconds want_kept{1'000};
constexpr milliseconds between_forgetting{250};

} // namespace

/// Removes the queues that have no call in flight and have not asked for a call slot recently.
void permission_shares::forget_idle(time_point time)
{
    if (time < next_forget_) {
        return;
    }
    next_forget_ = time + between_forgetting;
    const auto forgotten = std::erase_if(queues_, [time](const auto& row) {
        return row.second.calls == 0 && row.second.kept_until <= time;
    });
    changed_ = changed_ || forgotten > 0;
}

/// Computes the weight of each queue from the number of queues with a more urgent priority.
void permission_shares::weigh()
{
    std::map<int, int> queues_of;
    for (const auto& [name, one] : queues_) {
        ++queues_of[one.priority];
    }
    std::map<int, double> weight_of;
    int before = 0;
    for (const auto& [priority, count] : queues_of) {
        weight_of[priority] = 1.0 / (1 + before);
        before += count;
    }
    whole_ = 0;
    for (auto& [name, one] : queues_) {
        one.weight = weight_of.at(one.priority);
        whole_ += one.weight;
    }
    changed_ = false;
}

bool permission_shares::has_share(const use& one, std::size_t lanes) const
{
    const auto share = static_cast<double>(lanes) * one.weight / whole_;
    return static_cast<double>(one.calls) >= std::max(1.0, share);
}

bool permission_shares::may_begin(const std::string& queue, int priority, std::size_t lanes,
                                  time_point time)
{
    forget_idle(time);
    const auto [place, is_new] = queues_.try_emplace(queue);
    auto& own = place->second;
    changed_ = changed_ || is_new || own.priority != priority;
    own.priority = priority;
    own.kept_until = time + want_kept;
    if (changed_) {
        weigh();
    }
    if (!has_share(own, lanes)) {
        return true;
    }
    return std::ranges::none_of(queues_, [&](const auto& row) {
        const auto& other = row.second;
        return &other != &own && time < other.wants_until && !has_share(other, lanes);
    });
}

void permission_shares::note_refused(const std::string& queue, time_point time)
{
    const auto found = queues_.find(queue);
    if (found != queues_.end()) {
        found->second.wants_until = time + want_kept;
    }
}

void permission_shares::begin(const std::string& queue)
{
    const auto [place, is_new] = queues_.try_emplace(queue);
    changed_ = changed_ || is_new;
    ++place->second.calls;
    place->second.wants_until = {};
}

void permission_shares::end(const std::string& queue)
{
    const auto found = queues_.find(queue);
    if (found != queues_.end() && found->second.calls > 0) {
        --found->second.calls;
    }
}

} // namespace flamingoseam::workflow
