#include "flamingoseam/node/shard.hpp"

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

std::optional<std::vector<workflow::worker_entry>> shard_directory::next()
{
    auto workers = all_->next();
    if (workers) {
        std::erase_if(*workers, [this](const workflow::worker_entry& worker) {
            return shard_of(worker.id, shard_.count) != shard_.index;
        });
    }
    return workers;
}

} // namespace flamingoseam::node
