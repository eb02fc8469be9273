#pragma once

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/core/task_threads.hpp"
#include "flamingoseam/node/coordinator_rpc.hpp"
#include "flamingoseam/node/job_owner.hpp"
#include "flamingoseam/node/membership.hpp"
#include "flamingoseam/node/owner_claim.hpp"
#include "flamingoseam/node/owner_path.hpp"
#include "flamingoseam/node/owner_suspicion.hpp"
#include "flamingoseam/node/shard.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace flamingoseam::node {

/// Settings of a node.
struct node_options {
    std::string name;
    std::string incarnation;          ///< Differs with each start of the process.
    endpoint rpc;                     ///< Address at which other nodes call this node.
    double processor_share = 1;       ///< Processor time of the machine; 1 is one whole processor.
    std::string store_prefix = "fs/"; ///< Prefix of all keys in the store.
    milliseconds worker_lease{6'000};
    milliseconds ended_kept{150'000}; ///< How long the state of an ended job can be queried.
    milliseconds takeover_grace{250}; ///< A missing owner may return within this time.
    milliseconds takeover_step{60};   ///< Additional delay of each further candidate.
    milliseconds handover_timeout{1'500};
    std::size_t commit_streams = 6; ///< Number of commit streams that an owner may use.
    milliseconds owner_wait{700};   ///< How long a call waits until there is an owner.
    shard_identity shard;           ///< The shard whose jobs this object handles.
    /// Returns the indices of the shards that this process owns; null if there is one shard only.
    std::function<std::vector<std::size_t>()> owned_shards = nullptr;
    /// Asks the other shards for workers; null if there is one shard only.
    borrow_call borrow_workers = nullptr;
    std::string cell_prefix = "fs/"; ///< Prefix of the keys that all shards share.
};

/// The interfaces through which a node uses the platform.
struct node_dependencies {
    shared_store_factory stores;
    worker_channel_factory channels;
    worker_directory_factory directory;
    permission_call permission; ///< Calls the permission service from this node; null if none.
    queue_configuration_source* queues = nullptr; ///< Null if the queues never change.
    event_log* log = nullptr;
    node_metrics* metrics = nullptr;
    usage_log* usage = nullptr;              ///< Logs what the process uses; null if nothing does.
    std::shared_ptr<worker_io> io = nullptr; ///< For the sessions with workers.
};

/// Times of an orderly shutdown.
struct shutdown_schedule {
    time_point handover_end; ///< Until then an owner waits for a node that takes over.
    time_point calls_end;    ///< All calls of this node's own clients are answered by then.
};

/// One node of the cell, for one shard. Every node accepts calls about jobs and forwards them to
/// the shard's owner. One of the nodes is the owner, and any other can take over when it fails.
class node final : public owner_service {
public:
    /// `members` must have joined the cell with the options' name and address. Throws
    /// transport_error if the address can't be used, resource_error if the system has no threads
    /// left.
    node(node_options options, node_dependencies dependencies, std::shared_ptr<membership> members);

    /// Waits for the calls in flight, as the destructor of job_owner does.
    ~node() override;

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Handlers of calls from this node's own clients; each waits up to `timeout`.
    owner_answer submit_job(const workflow::job_spec& job, const workflow::queue_terms& terms,
                            milliseconds timeout);
    owner_answer cancel_job(const std::string& job, milliseconds timeout);
    owner_answer find_job(const std::string& job, milliseconds timeout);
    owner_answer count_pending_jobs(const std::string& queue, milliseconds timeout);

    /// Asks this shard's owner to give idle workers to another shard. Returns how many it gives.
    std::size_t request_workers(const workflow::worker_request& request, milliseconds timeout);

    /// Checks whether calls can be served now: there is an owner that answers, this node's lease is
    /// valid, and the node is not leaving.
    [[nodiscard]] bool is_ready() const;

    /// Checks whether this process owns the shard.
    [[nodiscard]] bool is_owner() const { return local_owner() != nullptr; }

    /// Hands over ownership; calls are still forwarded, but do not wait for an owner any more.
    void leave(const shutdown_schedule& schedule);

    // Handlers of calls from other nodes.
    void submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                owner_reply reply) override;
    void cancel(const std::string& job, owner_reply reply) override;
    void find(const std::string& job, owner_reply reply) override;
    void count_pending(const std::string& queue, owner_reply reply) override;
    void ask_permission(const workflow::permission_request& request,
                        permission_reply reply) override;
    void offer_ownership(const ownership_offer& offer, flag_reply reply) override;
    void confirm_owner_gone(std::uint64_t epoch, flag_reply reply) override;
    void lend_workers(const workflow::worker_request& request, count_reply reply) override;
    void stop_owner(std::uint64_t epoch, stop_reply reply) override;

private:
    /// Events that the election thread has to handle.
    struct election_events {
        bool owner_lost = false;
        bool store_unreachable = false;
        std::uint64_t offered_epoch = 0; ///< Epoch of an owner that asks this node to take over.
    };

    std::shared_ptr<job_owner> local_owner() const;
    bool is_owner_superseded() const;
    [[nodiscard]] membership_view view() const { return membership_->view(options_.shard); }
    void on_view_changed();
    void update_call_slots(const membership_view& view);
    std::vector<std::string> calling_nodes(const membership_view& view) const;
    void start_threads();
    void request_stop();
    void run_election();
    void handle_events(const election_events& events);
    void record_failed_owner(std::uint64_t epoch);
    void release_failed_ownership(const membership_view& view);
    bool write_released_ownership(const membership_view& view);
    bool abstains() const { return now() < abstains_until_.load(); }
    bool is_takeover_due(const membership_view& view, time_point time);
    milliseconds takeover_delay(const membership_view& view) const;
    std::optional<election_events> wait_for_events();
    bool is_superseded(const membership_view& view) const;
    bool has_owner_ended(const membership_view& view) const;
    bool is_owner_serving(const membership_view& view) const;
    bool is_owner_gone(std::uint64_t epoch) const;
    void record_refused_connection(std::uint64_t epoch);
    void confirm_suspicion(const membership_view& view);
    void take_over(const membership_view& view);
    std::string key_absent_at_takeover(const membership_view& view) const;
    void log_member_changes(const membership_view& view);
    bool offer_to_others(const membership_view& view, bool is_leaving);
    bool offer_to(const member& other, const ownership_offer& offer);
    void offer_for_gone_owner(const membership_view& view);
    bool should_replace_owner(const membership_view& view, time_point time);
    bool owns_other_shard() const;
    bool should_give_up_shard() const;
    void offer_to_idle_node(const membership_view& view, time_point time);
    void record_owner_gone(const membership_view& view, const std::string& confirming_node);
    void refresh_queues();
    void begin_ownership(const claimed_head& claimed, const membership_view& earlier);
    void confirm_stop_of_earlier_owner(const membership_view& view);
    stop_confirmation ask_owner_to_stop(const owner_record& earlier);
    bool hand_over_to_member(time_point handover_end);
    void stop_local_owner();
    void destroy_in_background(job_owner* owner);
    std::optional<permission_answer>
    call_permission_service(const workflow::permission_request& request) const;
    permission_call permission_call_through(const std::string& name);
    std::string head_prefix() const { return options_.store_prefix + "head/"; }
    std::vector<std::string> head_keys() const;
    workflow::record_keys keys() const
    {
        return {.prefix = options_.store_prefix, .cell_prefix = options_.cell_prefix};
    }

    /// Forwards a call to the owner and retries when ownership changes meanwhile. A call that ends
    /// without an owner had no effect.
    template <typename LocalCall, typename RemoteCall>
    owner_answer forward_call(milliseconds timeout, const LocalCall& local,
                              const RemoteCall& remote);
    template <typename LocalCall, typename RemoteCall>
    owner_answer forward_once(milliseconds timeout, const LocalCall& local,
                              const RemoteCall& remote);
    void wait_for_change(milliseconds limit);

    /// Returns the owner's process, none if it is this process or there is none.
    std::optional<owner_process> remote_owner() const;

    /// Checks whether this node's calls currently can't reach the owner.
    bool is_owner_unreachable() const;
    void record_owner_answer(const owner_process& owner);
    void monitor_owner_path();
    void ping_owner(const owner_process& owner);

    node_options options_;
    node_dependencies dependencies_;
    coordinator_client client_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<job_owner> owner_;
    /// Epoch of the newest owner of this process that another owner has superseded; 0 if none.
    std::uint64_t superseded_epoch_ = 0;
    /// Epoch of an owner of this process that has failed and is still recorded in the store; 0 if
    /// there is none.
    std::uint64_t failed_epoch_ = 0;
    std::uint64_t last_claim_ =
        0; ///< Number of the newest claim; used by the election thread only.
    /// Epoch of the newest owner of this process that has stopped and was certain that no earlier
    /// one started runs any more; 0 if none.
    std::uint64_t stopped_epoch_ = 0;
    stop_confirmation stopped_; ///< What that owner says.
    bool view_changed_ = false;
    std::uint64_t change_count_ = 0; ///< Number of events that may have changed the owner.
    owner_suspicion suspicion_;
    owner_path path_;
    bool store_unreachable_ = false;
    std::uint64_t offered_epoch_ = 0; ///< Epoch of an owner that offers ownership; 0 if none.
    std::atomic<bool> leaving_{false};
    std::atomic<time_point> calls_end_{time_point::max()};
    std::atomic<time_point> abstains_until_{}; ///< This node takes over no ownership before.
    bool stopping_ = false;
    std::optional<time_point> owner_missing_since_;
    time_point next_release_{};                        ///< Used by the election thread only.
    time_point next_offer_{};                          ///< Used by the election thread only.
    time_point next_balancing_{};                      ///< Used by the election thread only.
    std::optional<time_point> stronger_since_;         ///< Used by the election thread only.
    std::atomic<time_point> may_replace_owner_from_{}; ///< This node replaces no owner before.
    std::set<std::string> logged_members_;             ///< Used by the election thread only.
    std::shared_ptr<membership> membership_;
    int listener_ = 0;
    std::unique_ptr<coordinator_server> server_;
    service_thread election_thread_;
    service_thread path_thread_;
    /// Calls for other nodes and the ends of owners, which use this object. Destroyed first.
    task_threads background_tasks_;
};

} // namespace flamingoseam::node
