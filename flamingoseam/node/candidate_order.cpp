#include "flamingoseam/node/candidate_order.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace flamingoseam::node {

namespace {

/// How many times larger a member's processor share must be to replace the owner, since a change of
/// ownership briefly interrupts service.
constexpr double min_share_ratio = 1.5;

} // namespace

std::vector<member> candidate_order(const membership_view& view, std::uint64_t epoch)
{
    const auto rank_of = [epoch](const member& candidate) {
        const auto tie_breaker =
            std::hash<std::string>{}(candidate.name + "#" + std::to_string(epoch));
        return std::tuple(-candidate.processor_share, tie_breaker);
    };
    std::vector<member> order;
    order.reserve(view.members.size());
    for (const auto& [name, candidate] : view.members) {
        order.push_back(candidate);
    }
    std::ranges::sort(order, {}, rank_of);
    return order;
}

std::optional<member> find_stronger(const membership_view& view, const member& owner,
                                    std::uint64_t epoch)
{
    const auto order = candidate_order(view, epoch);
    if (order.empty() || order.front().processor_share < min_share_ratio * owner.processor_share) {
        return std::nullopt;
    }
    return order.front();
}

} // namespace flamingoseam::node
