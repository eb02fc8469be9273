#pragma once

#include "flamingoseam/workflow/job_spec.hpp"
#include "flamingoseam/workflow/messages.hpp"
#include "flamingoseam/workflow/worker_assignment.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// One of the shards into which a cell is divided. Each shard has an owner of its own, which
/// schedules the shard's jobs on the shard's workers.
struct shard_identity {
    std::size_t index = 0; ///< From 0 to count - 1.
    std::size_t count = 1; ///< Number of shards of the cell.

    bool operator==(const shard_identity&) const = default;
};

/// Returns the index of the shard to which the worker with this id belongs if it was never
/// transferred. Shards with wide gangs get twice as many workers as the others. Complexity: linear
/// in the id.
std::size_t shard_of_worker(const std::string& id, std::size_t count);

/// Returns how many shards of a cell have the jobs with wide gangs. These are the first ones. Wide
/// gangs need a large pool of workers, in which smaller tasks don't occupy parts of many workers.
std::size_t wide_shards(std::size_t count);

/// Returns the index of the shard to which a job belongs. Complexity: linear in the id and the
/// steps.
std::size_t shard_of(const workflow::job_spec& job, std::size_t count);

/// Checks whether the node at a position in the list of members calls the permission service for a
/// shard. Each node calls it for one shard; those with wide gangs have twice as many, since a wide
/// gang asks about many workers. Complexity: constant.
bool serves_shard(std::size_t position, const shard_identity& shard);

/// Returns the indices of the shards to which a job with this id may belong.
std::vector<std::size_t> possible_shards(const std::string& job, std::size_t count);

/// Returns " of shard N of M" for log lines; empty if the cell has one shard only.
std::string to_text(const shard_identity& shard);

/// The shards to which the workers of a cell belong. A worker that was never transferred belongs to
/// the shard of its id.
class worker_assignments {
public:
    explicit worker_assignments(shard_identity own) : own_(own) {}

    /// Records the stored assignment of a worker. Throws parse_error (id 142 or 143) if the record
    /// can't be read or names a shard that does not exist; the worker belongs to no shard then,
    /// until its record changes.
    void assign(const std::string& worker, const std::string& record);

    /// Records that a worker has no stored assignment.
    void remove(const std::string& worker) { assigned_.erase(worker); }

    /// Forgets all assignments, before they are read again.
    void clear() { assigned_.clear(); }

    /// Returns those of the workers that belong to the own shard, with their token bases.
    /// Complexity: n log n.
    [[nodiscard]] std::vector<workflow::worker_entry>
    select_own(const std::vector<workflow::worker_entry>& workers) const;

private:
    shard_identity own_;
    /// Stored assignments by worker; none for a record that can't be used.
    std::map<std::string, std::optional<workflow::worker_assignment>> assigned_;
};

} // namespace flamingoseam::node
