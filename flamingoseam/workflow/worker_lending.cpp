#include "flamingoseam/workflow/worker_lending.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds min_wait{2'500};
constexpr milliseconds min_wait_without_room{500}; ///< For a gang that the shard can't hold.
/// A step borrows for this long, then pauses.
constexpr milliseconds borrowing_time{8'000};
constexpr milliseconds borrowing_pause{12'000};
constexpr std::size_t max_workers_per_request = 300;
/// A shard keeps at least this share of an equal share of the workers, so that it can start urgent
/// work at once.
constexpr double min_kept_share = 0.25;
/// Share of its workers that a shard keeps idle for the work that arrives next.
constexpr double idle_reserve = 0.05;

/// Returns how many workers are needed so that a step fits on the eligible ones among them.
/// Returns infinity for a step that can run on no worker.
double workers_needed(const starved_step& step)
{
    if (step.tasks_per_worker <= 0 || step.eligible_share <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return std::ceil(static_cast<double>(step.tasks) / step.tasks_per_worker / step.eligible_share);
}

} // namespace

bool may_borrow(const starved_step& step, const worker_stock& own)
{
    const bool fits_when_empty =
        !step.gang || workers_needed(step) <= static_cast<double>(own.workers);
    const auto wait = fits_when_empty ? min_wait : min_wait_without_room;
    return step.waits >= wait &&
           (step.waits - wait) % (borrowing_time + borrowing_pause) < borrowing_time;
}

std::optional<worker_request> request_workers(const std::vector<starved_step>& steps,
                                              const worker_stock& own, const lending_limits& limits)
{
    worker_request request{.shard = limits.shard};
    double needed = 0;
    for (const auto& step : steps) {
        const double workers = workers_needed(step);
        if (workers > static_cast<double>(limits.cell_workers) || !may_borrow(step, own)) {
            continue;
        }
        if (needed == 0 || step.accepted < request.oldest) {
            request.oldest = step.accepted;
        }
        request.service = step.service;
        needed += workers;
    }
    const double missing = needed - static_cast<double>(own.idle);
    if (missing < 1) {
        return std::nullopt;
    }
    request.workers =
        static_cast<std::size_t>(std::min(missing, static_cast<double>(max_workers_per_request)));
    return request;
}

std::size_t workers_to_lend(const worker_request& request, const worker_stock& own,
                            std::optional<wall_time> own_oldest, const lending_limits& limits)
{
    const bool is_turn = !own_oldest || std::pair(request.oldest, request.shard) <
                                            std::pair(*own_oldest, limits.shard);
    if (!is_turn) {
        return 0;
    }
    const auto equal_share =
        static_cast<double>(limits.cell_workers) / static_cast<double>(limits.shards);
    const auto kept = static_cast<std::size_t>(std::ceil(min_kept_share * equal_share));
    const auto reserve =
        static_cast<std::size_t>(std::ceil(idle_reserve * static_cast<double>(own.workers)));
    const auto spare = own.workers - std::min(own.workers, kept);
    const auto idle = own.idle - std::min(own.idle, reserve);
    return std::min({request.workers, spare, idle});
}

} // namespace flamingoseam::workflow
