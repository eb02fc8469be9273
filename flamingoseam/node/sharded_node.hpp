#pragma once

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/node/cell_layout.hpp"
#include "flamingoseam/node/node.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// Settings of a sharded node.
struct sharded_node_options {
    /// Settings for each shard. Its address is that of the first shard; the others use the ports
    /// after it. The keys of the shards of a divided cell are stored under the prefix and the
    /// shard's number.
    node_options node;
    std::size_t workers_per_shard = 0; ///< See layout_options.
};

/// The parts of a node that handle the shards of its cell.
struct shard_group {
    std::atomic<bool> is_complete{false};
    std::vector<std::weak_ptr<node>> shards; ///< Not changed any more once `is_complete` is set.
};

/// One node of a cell that may be divided into shards. Passes each call about a job to the shard of
/// the job's id. Until the layout of the cell is known, all calls end without an owner.
class sharded_node {
public:
    /// Throws resource_error if the system has no threads left.
    sharded_node(sharded_node_options options, node_dependencies dependencies);
    ~sharded_node();
    sharded_node(const sharded_node&) = delete;
    sharded_node& operator=(const sharded_node&) = delete;

    /// Handlers of calls from this node's own clients; each waits up to `timeout`.
    owner_answer submit_job(const workflow::job_spec& job, const workflow::queue_terms& terms,
                            milliseconds timeout);
    owner_answer cancel_job(const std::string& job, milliseconds timeout);
    owner_answer find_job(const std::string& job, milliseconds timeout);

    /// Returns the sum over all shards, or the answer of a shard that does not know.
    owner_answer count_pending_jobs(const std::string& queue, milliseconds timeout);

    /// Checks whether calls about all jobs can be served now.
    [[nodiscard]] bool is_ready() const;

    /// Hands over the ownership of all shards and ends this node's membership; calls are still
    /// forwarded, but do not wait for an owner any more.
    void leave(const shutdown_schedule& schedule);

private:
    void run_forming();
    void form_shards();
    std::size_t agree_on_layout();
    bool form_shard(const shard_identity& shard);
    void leave_shards(const shutdown_schedule& schedule);
    void add_shard(const shard_identity& shard);
    [[nodiscard]] std::vector<std::size_t> owned_shards() const;
    [[nodiscard]] borrow_call borrow_call_of(const shard_identity& shard) const;
    using job_call = std::function<owner_answer(node& shard, milliseconds timeout)>;
    owner_answer ask_for_job(const std::string& job, milliseconds timeout, const job_call& call);

    sharded_node_options options_;
    node_dependencies dependencies_;
    std::shared_ptr<membership> membership_;
    /// Not changed any more once `is_formed_` is set.
    std::vector<std::shared_ptr<node>> shards_;
    std::atomic<bool> is_formed_{false};
    /// The same shards for the owners' requests, which may outlast this object.
    std::shared_ptr<shard_group> group_ = std::make_shared<shard_group>();
    std::atomic<bool> stopping_{false};
    service_thread forming_thread_;
};

} // namespace flamingoseam::node
