#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// A request for workers of another shard, because work has waited in this shard for a while.
struct worker_request {
    std::size_t shard = 0; ///< The shard that asks.
    std::string service;
    std::size_t workers = 0; ///< Number of workers that the waiting work can use.
    /// When the oldest waiting job was accepted. Of two shards that both need workers, the one with
    /// the older job gets them.
    wall_time oldest{0};
};

/// A step that waits for workers.
struct starved_step {
    std::string service;
    int tasks = 0;                ///< Tasks that wait.
    int tasks_per_worker = 0;     ///< Tasks that fit on an empty worker.
    double eligible_share = 1;    ///< Share of the workers that may run the step.
    bool gang = false;            ///< All tasks must run at the same time.
    wall_time accepted{0};        ///< When its job was accepted.
    time_point::duration waits{}; ///< How long it has been ready to run.
};

/// The workers of a shard that run one service.
struct worker_stock {
    std::size_t workers = 0; ///< Workers that can be used.
    std::size_t idle = 0;    ///< Of these, the ones without runs and reservations.
};

/// Sizes of a divided cell, for the lending of workers.
struct lending_limits {
    std::size_t shard = 0; ///< Index of the own shard.
    std::size_t shards = 1;
    std::size_t cell_workers = 0; ///< Workers of all shards.
};

/// Checks whether a step should ask for workers now. A gang that does not fit on the shard's
/// workers asks soon, other steps only after the time in which runs usually end and make room for
/// them. A step that can never run pauses in between, so that it does not keep workers from other
/// shards' work for good. Complexity: constant.
bool may_borrow(const starved_step& step, const worker_stock& own);

/// Returns the request for the steps of one service, or none if the shard has enough idle workers.
/// Steps that would need more workers than the cell has are left out. Complexity: linear.
std::optional<worker_request> request_workers(const std::vector<starved_step>& steps,
                                              const worker_stock& own,
                                              const lending_limits& limits);

/// Returns how many idle workers a shard gives away for a request. `own_oldest` is when the oldest
/// job was accepted that itself waits for workers in this shard, none if no job does.
/// Complexity: constant.
std::size_t workers_to_lend(const worker_request& request, const worker_stock& own,
                            std::optional<wall_time> own_oldest, const lending_limits& limits);

} // namespace flamingoseam::workflow
