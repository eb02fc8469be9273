#include "flamingoseam/workflow/permission_shares.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// A queue whose turn to look for a lane comes less often than this has no share kept for it.
constexpr milliseconds want_kept{1'000};

} // namespace

/// Returns the weight of a queue that stands behind the active ones of lower priority numbers.
double permission_shares::weight_of(const use& one, time_point time) const
{
    const auto before = std::ranges::count_if(queues_, [&](const auto& row) {
        return row.second.is_active(time) && row.second.priority < one.priority;
    });
    return 1.0 / static_cast<double>(1 + before);
}

bool permission_shares::has_share(const use& one, double whole, std::size_t lanes,
                                  time_point time) const
{
    const auto share = static_cast<double>(lanes) * weight_of(one, time) / whole;
    return static_cast<double>(one.calls) >= std::max(1.0, share);
}

bool permission_shares::may_begin(const std::string& queue, int priority, std::size_t lanes,
                                  time_point time)
{
    auto& own = queues_[queue];
    own.priority = priority;
    double whole = 0;
    for (const auto& [name, one] : queues_) {
        whole += &one == &own || one.is_active(time) ? weight_of(one, time) : 0;
    }
    if (!has_share(own, whole, lanes, time)) {
        return true;
    }
    return std::ranges::none_of(queues_, [&](const auto& row) {
        const auto& other = row.second;
        return &other != &own && time < other.wants_until && !has_share(other, whole, lanes, time);
    });
}

void permission_shares::note_refused(const std::string& queue, time_point time)
{
    queues_[queue].wants_until = time + want_kept;
}

void permission_shares::begin(const std::string& queue)
{
    auto& one = queues_[queue];
    ++one.calls;
    one.wants_until = {};
}

void permission_shares::end(const std::string& queue)
{
    const auto found = queues_.find(queue);
    if (found != queues_.end() && found->second.calls > 0) {
        --found->second.calls;
    }
}

} // namespace flamingoseam::workflow
