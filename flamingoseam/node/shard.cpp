#include "flamingoseam/node/shard.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/hash.hpp"

#include <algorithm>

namespace flamingoseam::node {

namespace {

constexpr int min_wide_gang_tasks = 9;
constexpr std::size_t shards_per_wide_shard = 3;

bool has_wide_gang(const workflow::job_spec& job)
{
    return std::ranges::any_of(job.steps, [](const workflow::step_spec& step) {
        return step.gang && step.tasks >= min_wide_gang_tasks;
    });
}

/// Returns a shard for a number, such that equally distributed numbers give each wide shard twice
/// as much as each of the others.
std::size_t shard_at(std::uint64_t number, std::size_t count)
{
    const auto turn = static_cast<std::size_t>(number % (count + wide_shards(count)));
    return turn < count ? turn : turn - count;
}

/// Returns one of `count` shards by a job's id.
std::size_t shard_by_hash(const std::string& job, std::size_t count)
{
    return static_cast<std::size_t>(short_hash(job) % count);
}

std::size_t wide_shard_of(const std::string& job, std::size_t count)
{
    return shard_by_hash(job, wide_shards(count));
}

std::size_t other_shard_of(const std::string& job, std::size_t count)
{
    const auto wide = wide_shards(count);
    return count <= 1 ? 0 : wide + shard_by_hash(job, count - wide);
}

} // namespace

std::size_t shard_of_worker(const std::string& id, std::size_t count)
{
    return count <= 1 ? 0 : shard_at(short_hash(id), count);
}

std::size_t wide_shards(std::size_t count)
{
    return std::max<std::size_t>(1, count / shards_per_wide_shard);
}

std::size_t shard_of(const workflow::job_spec& job, std::size_t count)
{
    return has_wide_gang(job) ? wide_shard_of(job.id, count) : other_shard_of(job.id, count);
}

bool serves_shard(std::size_t position, const shard_identity& shard)
{
    return shard.count <= 1 || shard_at(position, shard.count) == shard.index;
}

std::vector<std::size_t> possible_shards(const std::string& job, std::size_t count)
{
    if (count <= 1) {
        return {0};
    }
    return {other_shard_of(job, count), wide_shard_of(job, count)};
}

std::string to_text(const shard_identity& shard)
{
    if (shard.count == 1) {
        return "";
    }
    return " of shard " + std::to_string(shard.index) + " of " + std::to_string(shard.count);
}

void worker_assignments::assign(const std::string& worker, const std::string& record)
{
    auto& assigned = assigned_[worker];
    assigned.reset();
    const auto read = workflow::read_assignment(record);
    if (read.shard >= own_.count) {
        throw parse_error(143, "worker " + worker + " is assigned to shard " +
                                   std::to_string(read.shard) + ", but the cell has " +
                                   std::to_string(own_.count) + " shards");
    }
    assigned = read;
}

std::vector<workflow::worker_entry>
worker_assignments::select_own(const std::vector<workflow::worker_entry>& workers) const
{
    std::vector<workflow::worker_entry> own;
    for (const auto& worker : workers) {
        const auto found = assigned_.find(worker.id);
        const bool was_transferred = found != assigned_.end();
        if (!was_transferred && shard_of_worker(worker.id, own_.count) == own_.index) {
            own.push_back(worker);
        } else if (was_transferred && found->second && found->second->shard == own_.index) {
            own.push_back(worker);
            own.back().token_base = found->second->token_base;
        }
    }
    return own;
}

} // namespace flamingoseam::node
