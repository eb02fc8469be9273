#pragma once

#include "flamingoseam/workflow/admission.hpp"
#include "flamingoseam/workflow/messages.hpp"

#include <cstddef>
#include <map>

namespace flamingoseam::workflow {

/// Bounds the orders to start that are under way at one time. What waits beyond that stays in the
/// order of work, where urgent work still goes first, instead of in a line of orders in front of
/// the workers. Not safe from two threads.
class order_window {
public:
    /// Takes in that an order was sent. Complexity: logarithmic.
    void note_ordered(const run_name& name, time_point time);

    /// Takes in that an order was answered in any way. Complexity: logarithmic.
    void note_answered(const run_name& name, time_point time);

    /// Tells whether further orders may be sent to so many workers; those for late work only while
    /// most of the window is free, so that the others find a short line. Complexity: linear in the
    /// orders that have had no answer for too long.
    [[nodiscard]] bool has_room(bool is_on_time, std::size_t workers, time_point time);

    /// Returns how long orders have taken to be answered lately.
    [[nodiscard]] milliseconds answer_time() const
    {
        return std::chrono::duration_cast<milliseconds>(answer_time_);
    }

private:
    std::map<run_name, time_point> under_way_;
    std::multimap<time_point, run_name> by_age_;
    start_meter answered_;
    time_point::duration answer_time_{};
};

} // namespace flamingoseam::workflow
