#include "flamingoseam/node/shard.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/hash.hpp"

namespace flamingoseam::node {

std::size_t shard_of(const std::string& id, std::size_t count)
{
    return count <= 1 ? 0 : static_cast<std::size_t>(short_hash(id) % count);
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
        if (!was_transferred && shard_of(worker.id, own_.count) == own_.index) {
            own.push_back(worker);
        } else if (was_transferred && found->second && found->second->shard == own_.index) {
            own.push_back(worker);
            own.back().token_base = found->second->token_base;
        }
    }
    return own;
}

} // namespace flamingoseam::node
