#include "flamingoseam/workflow/order_window.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

constexpr std::size_t min_window = 64;
constexpr std::size_t late_work_divisor = 4; ///< Late work may use a quarter of the window.
constexpr int smoothing = 64; ///< Number of answers over which the answer time is averaged.
constexpr milliseconds measured_span{1'000};
/// Orders in flight should all be answered within this.
constexpr milliseconds target_answer_time{200};
/// An order that is unanswered for longer waits for an unresponsive worker, not in a queue, and no
/// longer counts as in flight.
constexpr milliseconds max_answer_time{1'000};

} // namespace

void order_window::record_sent(const run_name& name, time_point time)
{
    if (in_flight_.emplace(name, time).second) {
        by_age_.emplace(time, name);
    }
}

void order_window::record_answered(const run_name& name, time_point time)
{
    answered_.record({.tasks = 1}, time);
    const auto found = in_flight_.find(name);
    if (found == in_flight_.end()) {
        return;
    }
    answer_time_ += (time - found->second - answer_time_) / smoothing;
    const auto [first, last] = by_age_.equal_range(found->second);
    by_age_.erase(
        std::find_if(first, last, [&](const auto& entry) { return entry.second == name; }));
    in_flight_.erase(found);
}

bool order_window::has_capacity(bool is_on_time, std::size_t workers, time_point time)
{
    while (!by_age_.empty() && time - by_age_.begin()->first > max_answer_time) {
        in_flight_.erase(by_age_.begin()->second);
        by_age_.erase(by_age_.begin());
    }
    const auto answered_in_time = answered_.sum(measured_span, time).tasks *
                                  std::chrono::duration<double>(target_answer_time) / measured_span;
    const auto limit = std::max({min_window, workers, static_cast<std::size_t>(answered_in_time)});
    return in_flight_.size() < (is_on_time ? limit : limit / late_work_divisor);
}

} // namespace flamingoseam::workflow
