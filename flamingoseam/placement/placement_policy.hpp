#pragma once

#include "flamingoseam/placement/worker_pool.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace flamingoseam {

/// How many tasks of one job each rack and zone holds already.
struct job_spread {
    std::map<std::string, int> per_rack;
    std::map<std::string, int> per_zone;
};

/// What is to be placed.
struct placement_query {
    resources size;
    std::vector<std::string> zones;        ///< Allowed zones; empty allows all.
    const job_spread* spread = nullptr;    ///< For services; may be null.
    std::function<bool(std::size_t)> skip; ///< Workers to pass over; may be empty.
};

/// Chooses a worker for one task.
class placement_policy {
public:
    virtual ~placement_policy() = default;

    /// Returns the index of a worker that accepts tasks and has room for the query's size, none
    /// when there is no such worker. Complexity: linear in the number of workers.
    virtual std::optional<std::size_t> choose(const worker_pool& pool,
                                              const placement_query& query) = 0;
};

/// Calls: the worker with the lowest dominant share in use, so that no queue forms at a worker.
std::unique_ptr<placement_policy> make_least_loaded_policy();

/// Batch and gangs: the worker that is left with the least; workers with accelerators last unless
/// the task needs one.
std::unique_ptr<placement_policy> make_best_fit_policy();

/// Services: the rack with the fewest tasks of the job, then the zone, then the best fit.
std::unique_ptr<placement_policy> make_spread_policy();

/// Baseline: the first worker with room.
std::unique_ptr<placement_policy> make_first_fit_policy();

/// Baseline: a random worker with room.
std::unique_ptr<placement_policy> make_random_policy(std::uint64_t seed);

/// Places `count` tasks of one size or none at all. The workers chosen are reserved in `pool` on
/// success and untouched on failure. Complexity: linear in count times workers.
std::vector<std::size_t> place_all_or_none(worker_pool& pool, placement_policy& policy,
                                           const placement_query& query, int count);

} // namespace flamingoseam
