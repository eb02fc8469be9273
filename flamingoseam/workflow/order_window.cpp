#include "flamingoseam/workflow/order_window.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

constexpr std::size_t least_orders = 64;
constexpr std::size_t share_of_late_work = 4; ///< Late work may use this fraction of the window.
constexpr int smoothing = 64; ///< Number of answers over which the answer time is averaged.
constexpr milliseconds measured_span{1'000};
constexpr milliseconds longest_line{200}; ///< Orders in flight should all be answered within this.
/// An order that is unanswered for longer waits for an unresponsive worker, not in a queue, and no
/// longer counts as in flight.
constexpr milliseconds longest_turn{1'000};

} // namespace

void order_window::note_ordered(const run_name& name, time_point time)
{
    if (under_way_.emplace(name, time).second) {
        by_age_.emplace(time, name);
    }
}

void order_window::note_answered(const run_name& name, time_point time)
{
    answered_.note({.tasks = 1}, time);
    const auto found = under_way_.find(name);
    if (found == under_way_.end()) {
        return;
    }
    answer_time_ += (time - found->second - answer_time_) / smoothing;
    const auto [first, last] = by_age_.equal_range(found->second);
    by_age_.erase(std::find_if(first, last, [&](const auto& row) { return row.second == name; }));
    under_way_.erase(found);
}

bool order_window::has_room(bool is_on_time, std::size_t workers, time_point time)
{
    while (!by_age_.empty() && time - by_age_.begin()->first > longest_turn) {
        under_way_.erase(by_age_.begin()->second);
        by_age_.erase(by_age_.begin());
    }
    const auto in_time = answered_.sum(measured_span, time).tasks *
                         std::chrono::duration<double>(longest_line) / measured_span;
    const auto most = std::max({least_orders, workers, static_cast<std::size_t>(in_time)});
    return under_way_.size() < (is_on_time ? most : most / share_of_late_work);
}

} // namespace flamingoseam::workflow
