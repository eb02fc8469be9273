#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

using detail::fits_in;
using detail::max_wait_beside_idle;
using detail::wants_rack;

namespace {

/// How long a step waits for room in its rack, in estimated run times.
constexpr double rack_wait_factor = 2.0;

} // namespace

/// Returns for how much longer a step waits for room in a rack in which its tasks run faster, zero
/// if it may run anywhere. It doesn't wait for a rack that couldn't run it even without any other
/// work. Complexity: linear in the workers of the rack, or in all workers if the step has no
/// preferred one.
time_point::duration workflow_state::rack_wait_left(const ready_step& step, time_point time)
{
    const auto& spec = step.spec();
    if (!wants_rack(spec)) {
        return time_point::duration::zero();
    }
    auto limit = scaled(spec.estimate, rack_wait_factor);
    if (is_service_idle(step)) {
        limit = std::min(limit, max_wait_beside_idle);
    }
    const auto left = step.record().turn_since + limit - time;
    if (left <= time_point::duration::zero() || !has_suitable_rack(step, time)) {
        return time_point::duration::zero();
    }
    return left;
}

/// Checks whether some rack that a step wants could run it if no other tasks ran there.
bool workflow_state::has_suitable_rack(const ready_step& step, time_point time)
{
    const int needed = step.needed_places();
    const auto& preferred = step.spec().preferred_rack;
    if (!preferred.empty()) {
        const auto found = fleet_.racks().find(preferred);
        return found != fleet_.racks().end() &&
               places_if_empty(step, found->second, time) >= needed;
    }
    return std::ranges::any_of(fleet_.racks(), [&](const auto& rack) {
        return places_if_empty(step, rack.second, time) >= needed;
    });
}

/// Returns how many tasks of a step would fit on usable workers if no other tasks ran there.
/// Workers about which the permission service has not been asked count as permitted.
int workflow_state::places_if_empty(const ready_step& step, const std::vector<std::size_t>& workers,
                                    time_point time)
{
    counts_.examined += static_cast<std::int64_t>(workers.size());
    const auto& permission = step.record().permission;
    int places = 0;
    for (const auto worker : workers) {
        const bool may_be_permitted =
            is_permitted(step, worker) || !permission.has_answer_for(worker);
        if (may_be_permitted && can_run(step, worker, time)) {
            places += fits_in(step.spec(), fleet_.at(worker).entry.capacity);
        }
    }
    return places;
}

/// Removes the candidates outside a step's preferred rack and returns them.
std::vector<workflow_state::candidate>
workflow_state::take_other_racks(const ready_step& step, std::vector<candidate>& candidates) const
{
    const auto& rack = step.spec().preferred_rack;
    const auto others =
        std::stable_partition(candidates.begin(), candidates.end(), [&](const candidate& option) {
            return fleet_.at(option.worker).entry.rack == rack;
        });
    std::vector<candidate> taken(others, candidates.end());
    candidates.erase(others, candidates.end());
    return taken;
}

/// Checks whether a step that waits for a rack should ask for permissions elsewhere, so that it has
/// them when the wait ends.
bool workflow_state::is_rack_wait_ending(const ready_step& step, time_point::duration left) const
{
    const auto& permission = step.job->terms.permission;
    const auto workers = static_cast<std::size_t>(step.record().waiting());
    return permission && left <= permission->service_time(workers);
}

} // namespace flamingoseam::workflow
