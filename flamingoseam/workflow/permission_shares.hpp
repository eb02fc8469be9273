#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace flamingoseam::workflow {

/// Shares the lanes for long calls to the permission service among the queues that want them. A
/// queue may use what no other wants; while another one with less than its share finds no lane, a
/// queue that has its share gets no more. So urgent work that asks again and again can't keep the
/// service from everything behind it. The second queue by priority has half as large a share as the
/// first, the third one a third, and so on.
class permission_shares {
public:
    /// Tells whether a queue may begin one more call on one of so many lanes. Complexity: linear in
    /// the queues that have asked lately, n log n when these have changed.
    [[nodiscard]] bool may_begin(const std::string& queue, int priority, std::size_t lanes,
                                 time_point time);

    /// Takes in that a queue wanted to call and found no lane.
    void note_refused(const std::string& queue, time_point time);

    /// Takes in that a call of a queue has begun.
    void begin(const std::string& queue);

    /// Takes in that a call of a queue has ended.
    void end(const std::string& queue);

    /// Returns the number of queues that take part in the sharing.
    [[nodiscard]] std::size_t size() const { return queues_.size(); }

private:
    /// A queue that has calls under way or has asked lately.
    struct use {
        int priority = 0;
        double weight = 0;
        std::size_t calls = 0;    ///< Under way.
        time_point wants_until{}; ///< It has found no lane lately.
        time_point kept_until{};  ///< It has asked lately.
    };

    void forget_idle(time_point time);
    void weigh();
    [[nodiscard]] bool has_share(const use& one, std::size_t lanes) const;

    std::map<std::string, use> queues_;
    double whole_ = 0;     ///< Sum of the weights.
    bool changed_ = false; ///< The weights are to be found anew.
    time_point next_forget_{};
};

} // namespace flamingoseam::workflow
