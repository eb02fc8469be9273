#include "flamingoseam/node/candidate_order.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace flamingoseam::node {

namespace {

/// A move of the ownership interrupts service for a moment, so it must be worth it.
constexpr double much_larger = 1.5;

} // namespace

std::vector<member> candidate_order(const membership_view& view, std::uint64_t epoch)
{
    const auto rank_of = [epoch](const member& one) {
        const auto turn = std::hash<std::string>{}(one.name + "#" + std::to_string(epoch));
        return std::tuple(-one.processor_share, turn);
    };
    std::vector<member> order;
    order.reserve(view.members.size());
    for (const auto& [name, one] : view.members) {
        order.push_back(one);
    }
    std::ranges::sort(order, {}, rank_of);
    return order;
}

std::optional<member> find_stronger(const membership_view& view, const member& owner,
                                    std::uint64_t epoch)
{
    const auto order = candidate_order(view, epoch);
    if (order.empty() || order.front().processor_share < much_larger * owner.processor_share) {
        return std::nullopt;
    }
    return order.front();
}

} // namespace flamingoseam::node
