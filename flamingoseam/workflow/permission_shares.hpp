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
    /// Tells whether a queue may begin one more call on one of so many lanes. Complexity: quadratic
    /// in the queues that call or want to.
    [[nodiscard]] bool may_begin(const std::string& queue, int priority, std::size_t lanes,
                                 time_point time);

    /// Takes in that a queue wanted to call and found no lane.
    void note_refused(const std::string& queue, time_point time);

    /// Takes in that a call of a queue has begun.
    void begin(const std::string& queue);

    /// Takes in that a call of a queue has ended.
    void end(const std::string& queue);

private:
    struct use {
        int priority = 0;
        std::size_t calls = 0;    ///< Under way.
        time_point wants_until{}; ///< It has found no lane lately.

        [[nodiscard]] bool is_active(time_point time) const
        {
            return calls > 0 || time < wants_until;
        }
    };

    [[nodiscard]] double weight_of(const use& one, time_point time) const;
    [[nodiscard]] bool has_share(const use& one, double whole, std::size_t lanes,
                                 time_point time) const;

    std::map<std::string, use> queues_;
};

} // namespace flamingoseam::workflow
