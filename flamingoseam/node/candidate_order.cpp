#include "flamingoseam/node/candidate_order.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace flamingoseam::node {

namespace {

/// How many times larger a member's processor share must be to replace the owner, since a change of
/// ownership briefly interrupts service.
constexpr double min_share_ratio = 1.5;

} // namespace

std::vector<member> candidate_order(const membership_view& view, std::uint64_t epoch,
                                    const shard_identity& shard)
{
    using rank = std::tuple<double, bool, std::size_t>;
    std::vector<std::pair<rank, member>> ranked;
    ranked.reserve(view.members.size());
    std::map<double, std::size_t> positions; ///< Number of members so far, by processor share.
    for (const auto& [name, candidate] : view.members) {
        const auto position = positions[candidate.processor_share]++;
        const bool is_for_other_shard = position % shard.count != shard.index;
        const auto tie_breaker = std::hash<std::string>{}(name + "#" + std::to_string(epoch));
        ranked.emplace_back(rank{-candidate.processor_share, is_for_other_shard, tie_breaker},
                            candidate);
    }
    std::ranges::sort(ranked, {}, [](const auto& entry) { return entry.first; });
    std::vector<member> order;
    order.reserve(ranked.size());
    for (auto& [position, candidate] : ranked) {
        order.push_back(std::move(candidate));
    }
    return order;
}

std::optional<member> find_stronger(const membership_view& view, const member& owner,
                                    std::uint64_t epoch, const shard_identity& shard)
{
    const auto order = candidate_order(view, epoch, shard);
    if (order.empty() || order.front().processor_share < min_share_ratio * owner.processor_share) {
        return std::nullopt;
    }
    return order.front();
}

} // namespace flamingoseam::node
