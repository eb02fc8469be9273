#pragma once

#include "flamingoseam/workflow/admission.hpp"
#include "flamingoseam/workflow/messages.hpp"

#include <cstddef>
#include <map>

namespace flamingoseam::workflow {

/// Limits the number of start orders in flight. Work beyond the limit stays in the ready queue,
/// where urgent work is still scheduled first, instead of in a queue of orders at the workers. Not
/// thread-safe.
class order_window {
public:
    /// Records that an order was sent. Complexity: logarithmic.
    void record_sent(const run_name& name, time_point time);

    /// Records that an order was answered, with success or failure. Complexity: logarithmic.
    void record_answered(const run_name& name, time_point time);

    /// Checks whether another order may be sent, given the number of workers. An order for late
    /// work may be sent only while most of the window is free, so that other orders find a short
    /// queue. Complexity: linear in the number of orders whose answer is overdue.
    [[nodiscard]] bool has_capacity(bool is_on_time, std::size_t workers, time_point time);

    /// Returns the moving average of the time until an order is answered.
    [[nodiscard]] milliseconds answer_time() const
    {
        return std::chrono::duration_cast<milliseconds>(answer_time_);
    }

private:
    std::map<run_name, time_point> in_flight_;
    std::multimap<time_point, run_name> by_age_;
    start_meter answered_;
    time_point::duration answer_time_{};
};

} // namespace flamingoseam::workflow
