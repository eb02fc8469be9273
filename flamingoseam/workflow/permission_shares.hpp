#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace flamingoseam::workflow {

/// Divides the call slots for long calls to the permission service among the queues that need them.
/// A queue may use call slots that no other queue needs. While another queue that is below its
/// share finds no call slot, a queue that has reached its share gets no more of them. Without this,
/// urgent work that sends requests continuously would starve all work of lower priority. The second
/// queue by priority has half the share of the first, the third one third of it, and so on.
class permission_shares {
public:
    /// Checks whether a queue may begin another call, given the number of call slots for long
    /// calls. Complexity: linear in the number of queues that have asked recently, n log n when
    /// that set has changed.
    [[nodiscard]] bool may_begin(const std::string& queue, int priority, std::size_t call_slots,
                                 time_point time);

    /// Records that a queue needed a call slot and found none.
    void record_refused(const std::string& queue, time_point time);

    /// Records that a call of a queue has begun.
    void begin(const std::string& queue);

    /// Records that a call of a queue has ended.
    void end(const std::string& queue);

    /// Returns the number of queues among which the call slots are divided.
    [[nodiscard]] std::size_t size() const { return queues_.size(); }

private:
    /// Usage of a queue that has calls in flight or has asked for a call slot recently.
    struct queue_usage {
        int priority = 0;
        double weight = 0;
        std::size_t calls = 0;    ///< Number of calls in flight.
        time_point needs_until{}; ///< Until then, the queue counts as in need of a call slot.
        time_point kept_until{};  ///< When the queue is removed if it has no calls in flight.
    };

    void remove_idle(time_point time);
    void update_weights();
    [[nodiscard]] bool has_reached_share(const queue_usage& usage, std::size_t call_slots) const;

    std::map<std::string, queue_usage> queues_;
    double total_weight_ = 0;       ///< Sum of the weights of all queues.
    bool weights_outdated_ = false; ///< The weights must be computed again.
    time_point next_cleanup_{};
};

} // namespace flamingoseam::workflow
