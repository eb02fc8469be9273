#include "flamingoseam/workflow/worker_lending.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace flamingoseam::workflow {

namespace {

/// A shard that uses less of its workers than this does not ask for more.
constexpr double min_load = 0.75;
/// A shard keeps at least this share of an equal share of the workers, so that it can start urgent
/// work at once.
constexpr double min_kept_share = 0.25;
/// Most of its workers that a shard gives away at a time, since its demand may change.
constexpr double max_lent_share = 0.2;
/// Smallest share of its workers that is worth a transfer; prevents transfers back and forth.
constexpr double min_lent_share = 0.05;
/// Share of its workers that may be drained at a time, as they serve nobody meanwhile.
constexpr double max_drained_share = 0.04;
/// For work beyond the demand, a shard gives away what exceeds its own demand times this.
constexpr double own_demand_allowance = 1.25;
/// A shard without demand for this long keeps no workers for urgent work.
constexpr milliseconds min_unused_time{3'000};
/// Requests with a longer gap between them do not belong together.
constexpr milliseconds max_request_gap{1'500};
/// A shard that has wanted workers for this long gets turns.
constexpr milliseconds min_wanted_time{5'000};
constexpr milliseconds turn_time{4'000}; ///< Of a turn, and of the pause after it.

/// Returns how many workers are needed so that a number of a step's tasks fit on the eligible ones
/// among them, infinity if none fits.
double workers_needed(const waiting_step& step, int tasks)
{
    if (step.tasks_per_worker <= 0 || step.eligible_share <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return std::ceil(std::ceil(static_cast<double>(tasks) / step.tasks_per_worker) /
                     step.eligible_share);
}

/// Returns how many workers the own shard should give so that both shards have workers in
/// proportion to their demands.
double proportional_share(const worker_request& request, double own_demand, double own_workers)
{
    const double sum = request.demand.total + own_demand;
    if (sum <= 0) {
        return 0;
    }
    const auto theirs = static_cast<double>(request.workers);
    return (request.demand.total * own_workers - own_demand * theirs) / sum;
}

/// Returns how many workers the shard that asks lacks of the share that each keeps.
double missing_of_kept(const worker_request& request, double kept)
{
    return std::min(kept, std::ceil(request.demand.desired)) - static_cast<double>(request.workers);
}

std::size_t whole_workers(double count)
{
    return count <= 0 ? 0 : static_cast<std::size_t>(count);
}

} // namespace

void lending_turns::note(std::size_t shard, time_point time)
{
    auto& wanted = wanted_[shard];
    const bool goes_on = wanted.last != time_point{} && time - wanted.last < max_request_gap;
    wanted = {.since = goes_on ? wanted.since : time, .last = time};
}

bool lending_turns::wants(std::size_t shard, time_point time) const
{
    const auto found = wanted_.find(shard);
    return found != wanted_.end() && time - found->second.last < max_request_gap;
}

std::optional<std::size_t> lending_turns::holder(time_point time) const
{
    std::vector<std::size_t> shards;
    auto first = time;
    for (const auto& [shard, wanted] : wanted_) {
        const auto begin = wanted.since + min_wanted_time;
        if (wants(shard, time) && begin <= time) {
            shards.push_back(shard);
            first = std::min(first, begin);
        }
    }
    const auto turn = static_cast<std::size_t>((time - first) / turn_time);
    const bool is_pause = turn % 2 == 1;
    return shards.empty() || is_pause ? std::nullopt
                                      : std::optional(shards[turn / 2 % shards.size()]);
}

bool unused_time::update(const worker_demand& demand, time_point time)
{
    const bool is_known = since_ != time_point{} && time - last_request_ < max_request_gap;
    last_request_ = time;
    if (demand.total > 0) {
        since_ = {};
        return false;
    }
    since_ = is_known ? since_ : time;
    return time - since_ >= min_unused_time;
}

lending_limits lending_limits::of_service(const std::string& service) const
{
    auto limits = *this;
    const auto found = service_workers.find(service);
    if (found != service_workers.end()) {
        limits.cell_workers = found->second;
    }
    return limits;
}

worker_demand demand_of(const worker_stock& own, const std::vector<waiting_step>& steps,
                        const lending_limits& limits)
{
    worker_demand demand{.total = own.filled, .desired = own.filled};
    const auto other_workers =
        static_cast<double>(limits.cell_workers - std::min(limits.cell_workers, own.workers));
    double widest_gang = 0;
    double further_workers = 0;
    for (const auto& step : steps) {
        const double further = workers_needed(step, step.stranded_tasks);
        if (std::isfinite(further)) {
            further_workers = std::max(further_workers, std::min(further, other_workers));
        }
        const double needed = workers_needed(step, step.tasks);
        if (needed > static_cast<double>(limits.cell_workers)) {
            continue;
        }
        const double filled = static_cast<double>(step.tasks) / step.tasks_per_worker;
        demand.total += step.is_obsolete ? 0 : filled;
        demand.desired += filled;
        widest_gang = std::max(widest_gang, step.gang ? needed : 0);
    }
    demand.desired = std::max(demand.desired, widest_gang);
    if (further_workers > 0) {
        demand.desired =
            std::max(demand.desired, static_cast<double>(own.workers) + further_workers);
    }
    return demand;
}

bool needs_workers(const worker_demand& demand, const worker_stock& own)
{
    const auto workers = static_cast<double>(own.workers);
    return demand.total > min_load * workers || demand.desired > workers;
}

lending_decision decide_lending(const worker_request& request, const worker_demand& own_demand,
                                const worker_stock& own, const lending_limits& limits)
{
    const auto workers = static_cast<double>(own.workers);
    const double equal_share =
        static_cast<double>(limits.cell_workers) / static_cast<double>(limits.shards);
    const double share = std::ceil(min_kept_share * equal_share);
    const double kept = own.keeps_none ? 0 : share;
    const double most = std::min(workers - kept, std::ceil(max_lent_share * workers));

    double balanced = std::min(proportional_share(request, own_demand.total, workers), most);
    if (balanced < std::max(1.0, min_lent_share * workers)) {
        balanced = 0;
    }
    if (own.held < own.workers) {
        balanced = std::max(balanced, std::min(missing_of_kept(request, share), most));
    }
    const double missing = request.demand.desired - static_cast<double>(request.workers);
    const double needed = std::ceil(own_demand_allowance * own_demand.total);
    const double surplus = workers - std::max(needed, static_cast<double>(own.held));
    const double beyond_demand = std::min({missing, surplus, most});

    const auto wanted = whole_workers(std::max(balanced, beyond_demand));
    const auto idle = std::min(wanted, own.idle);
    const auto undrained = whole_workers(balanced) - std::min(whole_workers(balanced), idle);
    const auto max_drained = whole_workers(std::ceil(max_drained_share * workers));
    return {.idle = idle, .drain = std::min(undrained, max_drained)};
}

} // namespace flamingoseam::workflow
