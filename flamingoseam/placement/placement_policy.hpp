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

/// Number of tasks of one job that are already placed in each rack and zone.
struct job_spread {
    std::map<std::string, int> per_rack;
    std::map<std::string, int> per_zone;
};

/// Size and constraints of a task to be placed.
struct placement_query {
    resources size;
    std::vector<std::string> zones;        ///< Allowed zones; empty allows all.
    const job_spread* spread = nullptr;    ///< Used for services; may be null.
    std::function<bool(std::size_t)> skip; ///< Returns true for a worker to ignore; may be empty.
};

/// Chooses a worker for one task.
class placement_policy {
public:
    virtual ~placement_policy() = default;

    /// Returns the index of a worker that accepts tasks and has enough free capacity for the
    /// query's size, or none if there is no such worker. Complexity: linear in the number of
    /// workers.
    virtual std::optional<std::size_t> choose(const worker_pool& pool,
                                              const placement_query& query) = 0;
};

/// Returns the policy for calls: chooses the worker with the lowest dominant share in use, so that
/// no queue forms at a single worker.
std::unique_ptr<placement_policy> make_least_loaded_policy();

/// Returns the policy for batch jobs and gangs: chooses the worker that has the least free capacity
/// left after the placement. Workers with accelerators come last unless the task needs one.
std::unique_ptr<placement_policy> make_best_fit_policy();

/// Returns the policy for services: chooses by the fewest tasks of the job in the rack, then by the
/// fewest in the zone, then by best fit.
std::unique_ptr<placement_policy> make_spread_policy();

/// Returns a baseline policy for comparisons: chooses the first worker with enough free capacity.
std::unique_ptr<placement_policy> make_first_fit_policy();

/// Returns a baseline policy for comparisons: chooses a random worker with enough free capacity.
std::unique_ptr<placement_policy> make_random_policy(std::uint64_t seed);

/// Places `count` tasks of one size, or none at all. On success, capacity is reserved in `pool` and
/// the chosen workers are returned, one entry per task; on failure, the pool is unchanged and the
/// result is empty. Complexity: linear in count times workers.
std::vector<std::size_t> place_all_or_none(worker_pool& pool, placement_policy& policy,
                                           const placement_query& query, int count);

} // namespace flamingoseam
