#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// The work of a shard, in workers that it would fill.
struct worker_demand {
    double total = 0; ///< Of the running work, and of the waiting work that is still of use.
    /// Number of workers with which all waiting work can run: also the work that is too late to be
    /// of use, the widest gang, which needs many workers to find enough eligible ones, and steps
    /// that need further workers to start at all.
    double desired = 0;
};

/// A request for workers of other shards. It tells the demand of the shard that asks, so that the
/// workers can be divided in proportion to the demands.
struct worker_request {
    std::size_t shard = 0; ///< The shard that asks.
    std::string service;
    std::size_t workers = 0; ///< Workers that the shard has.
    worker_demand demand;
};

/// A step whose tasks wait to be placed.
struct waiting_step {
    int tasks = 0;             ///< Tasks that wait.
    int tasks_per_worker = 0;  ///< Tasks that fit on an empty worker.
    double eligible_share = 1; ///< Share of the workers that may run the step.
    bool gang = false;         ///< All tasks must run at the same time.
    bool is_obsolete = false;  ///< Its result comes too late to be of use.
    /// Tasks that can't run on the own workers, even if these were empty, and without which nothing
    /// of the step can start.
    int stranded_tasks = 0;
};

/// The workers of a shard that run one service.
struct worker_stock {
    std::size_t workers = 0; ///< Workers that can be used.
    std::size_t idle = 0;    ///< Of these, the ones without runs and reservations.
    double filled = 0;       ///< Workers that the running tasks would fill.
    std::size_t held = 0;    ///< Not given for work beyond the demand of others.
    /// Whether no worker is kept for urgent work.
    bool keeps_none = false;
};

/// Divides the time between shards that have wanted workers beyond their demand for long, as their
/// steps may need the same ones. Each shard decides by the requests that it sees itself.
class lending_turns {
public:
    /// Notes that a shard wants workers. Complexity: logarithmic.
    void note(std::size_t shard, time_point time);

    /// Checks whether a shard has wanted workers lately. Complexity: logarithmic.
    [[nodiscard]] bool wants(std::size_t shard, time_point time) const;

    /// Returns the shard whose turn it is, if any. There are pauses between the turns. Complexity:
    /// linear in the shards.
    [[nodiscard]] std::optional<std::size_t> holder(time_point time) const;

private:
    struct period {
        time_point since{};
        time_point last{};
    };

    std::map<std::size_t, period> wanted_;
};

/// Tells whether a shard has been without demand for a while, by the requests of others.
class unused_time {
public:
    /// Notes the demand at the time of a request, and returns whether there has been none for a
    /// while. Complexity: constant.
    bool update(const worker_demand& demand, time_point time);

private:
    time_point since_{}; ///< Zero if there was demand at the last request.
    time_point last_request_{};
};

/// Sizes of a divided cell, for the lending of workers.
struct lending_limits {
    std::size_t shard = 0; ///< Index of the own shard.
    std::size_t shards = 1;
    std::size_t cell_workers = 0; ///< Workers of all shards.
    /// The same for each service; empty if all run the same one.
    std::map<std::string, std::size_t> service_workers = {};

    /// Returns the limits for the workers of one service. Complexity: logarithmic.
    [[nodiscard]] lending_limits of_service(const std::string& service) const;
};

/// Returns the demand of a shard. Leaves out steps that no worker, or not all workers together, can
/// run. Complexity: linear in the steps.
worker_demand demand_of(const worker_stock& own, const std::vector<waiting_step>& steps,
                        const lending_limits& limits);

/// Checks whether a shard with this demand should ask the others for workers. Complexity: constant.
bool needs_workers(const worker_demand& demand, const worker_stock& own);

/// How many workers a shard gives away for a request.
struct lending_decision {
    std::size_t idle = 0;  ///< Workers that are idle now.
    std::size_t drain = 0; ///< Workers that get no new work until they are idle and then follow.

    bool operator==(const lending_decision&) const = default;
};

/// Decides on a request of another shard. Workers are divided in proportion to the demands of the
/// two shards. A shard with very few workers gets some in any case. For work beyond the demand, the
/// shard gets idle workers that the own work does not need; all of them if there has been no own
/// work for a while. Complexity: constant.
lending_decision decide_lending(const worker_request& request, const worker_demand& own_demand,
                                const worker_stock& own, const lending_limits& limits);

} // namespace flamingoseam::workflow
