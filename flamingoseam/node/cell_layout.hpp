#pragma once

#include "flamingoseam/node/worker_directory.hpp"
#include "flamingoseam/store/shared_store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// How a cell is divided into shards. The layout is stored once and does not change afterwards.
struct layout_options {
    std::string store_prefix = "fs/";
    /// A new cell gets so many shards that each has at most this number of workers; 0 for as many
    /// as the processors of its nodes need.
    std::size_t workers_per_shard = 0;
    std::size_t max_shards = 128;
    /// The numbers of workers and nodes are used after they have not changed for this long.
    milliseconds settling_time{600};
};

/// Returns the number of shards for a number of workers: the smallest for which the weakest of the
/// owners, which are the strongest nodes, can drive the workers of a shard. If no number suffices,
/// returns the one with which the owners can drive the most workers. `processor_shares` are those
/// of all nodes. Complexity: n log n in the nodes.
std::size_t shards_for(std::size_t workers, std::vector<double> processor_shares,
                       const layout_options& options);

/// Agreement of the nodes on the layout of their cell. The first node to store a layout decides it
/// for all. A cell that was run before layouts were stored has one shard.
class layout_agreement {
public:
    layout_agreement(layout_options options, std::unique_ptr<shared_store> store,
                     std::unique_ptr<worker_directory> workers);

    /// Returns the number of shards of the cell, or no value while the platform lists no workers
    /// yet or the number of workers or nodes still changes; to be called again after a pause then.
    /// `processor_shares` are those of the nodes. Each call reads the store. Throws transport_error
    /// if the store does not answer, and parse_error (id 141) if the stored layout can't be read.
    std::optional<std::size_t> try_agree(const std::vector<double>& processor_shares,
                                         time_point time);

private:
    std::optional<std::size_t> read_layout();
    std::optional<std::size_t> choose(const std::vector<double>& processor_shares, time_point time);

    layout_options options_;
    std::unique_ptr<shared_store> store_;
    std::unique_ptr<worker_directory> workers_;
    std::size_t listed_ = 0; ///< Number of workers listed last.
    std::size_t nodes_ = 0;  ///< Number of nodes at the last call.
    time_point unchanged_since_{};
};

} // namespace flamingoseam::node
