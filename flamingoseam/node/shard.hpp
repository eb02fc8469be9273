#pragma once

#include "flamingoseam/node/worker_directory.hpp"

#include <memory>
#include <string>

namespace flamingoseam::node {

/// One of the shards into which a cell is divided. Each shard has an owner of its own, which
/// schedules the shard's jobs on the shard's workers.
struct shard_identity {
    std::size_t index = 0; ///< From 0 to count - 1.
    std::size_t count = 1; ///< Number of shards of the cell.

    bool operator==(const shard_identity&) const = default;
};

/// Returns the index of the shard to which the job or the worker with this id belongs.
/// Complexity: linear in the id.
std::size_t shard_of(const std::string& id, std::size_t count);

/// Returns " of shard N of M" for log lines; empty if the cell has one shard only.
std::string to_text(const shard_identity& shard);

/// Restricts a list of workers to those of one shard.
class shard_directory final : public worker_directory {
public:
    shard_directory(std::unique_ptr<worker_directory> all, shard_identity shard)
        : all_(std::move(all)), shard_(shard)
    {
    }

    std::optional<std::vector<workflow::worker_entry>> next() override;

    [[nodiscard]] time_point confirmed_at() const override { return all_->confirmed_at(); }

private:
    std::unique_ptr<worker_directory> all_;
    shard_identity shard_;
};

} // namespace flamingoseam::node
