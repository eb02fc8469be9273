#pragma once

#include "flamingoseam/node/coordinator_rpc.hpp"
#include "flamingoseam/node/job_owner.hpp"
#include "flamingoseam/node/membership.hpp"
#include "flamingoseam/node/owner_claim.hpp"
#include "flamingoseam/node/owner_path.hpp"
#include "flamingoseam/node/owner_suspicion.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace flamingoseam::node {

/// How a node is made.
struct node_options {
    std::string name;
    endpoint rpc;                     ///< Where other nodes reach it.
    double processor_share = 1;       ///< Of one processor, that the machine has.
    std::string store_prefix = "fs/"; ///< Of all keys.
    milliseconds worker_lease{6'000};
    milliseconds ended_kept{150'000};  ///< How long an ended job can be asked for.
    milliseconds take_over_grace{250}; ///< A missing owner may come back within this.
    milliseconds take_over_step{60};   ///< Each further candidate waits this much longer.
    milliseconds hand_over_limit{1'500};
    std::size_t streams = 6;      ///< Chains of transactions that an owner may use.
    milliseconds owner_wait{700}; ///< A call waits so long for the next owner.
};

/// What a node reaches the platform with.
struct node_parts {
    shared_store_factory stores;
    worker_channel_factory channels;
    worker_directory_factory directory;
    permission_call permission; ///< From this node itself.
    event_log* log = nullptr;
    node_metrics* metrics = nullptr;
};

/// One node of the cell. Every node answers calls about jobs by passing them to the owner; one of
/// them is the owner, and any of them takes over when it is gone.
class node final : public owner_service {
public:
    node(node_options options, node_parts parts);
    ~node() override;
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Calls of this node's own clients; each waits up to `timeout`.
    owner_answer submit_job(const workflow::job_spec& job, const workflow::queue_terms& terms,
                            milliseconds timeout);
    owner_answer cancel_job(const std::string& job, milliseconds timeout);
    owner_answer find_job(const std::string& job, milliseconds timeout);
    owner_answer count_pending_jobs(const std::string& queue, milliseconds timeout);

    /// Tells whether calls can be served now: an owner is known and answers, and this node is a
    /// member.
    [[nodiscard]] bool is_ready() const;

    /// Hands ownership over and stops counting as a member; calls are still passed on.
    void leave();

    // Calls of other nodes.
    void submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                reply_owner reply) override;
    void cancel(const std::string& job, reply_owner reply) override;
    void find(const std::string& job, reply_owner reply) override;
    void count_pending(const std::string& queue, reply_owner reply) override;
    void ask_permission(const workflow::permission_request& request,
                        reply_permission reply) override;
    void offer_ownership(const ownership_offer& offer, reply_flag reply) override;
    void confirm_owner_gone(std::uint64_t epoch, reply_flag reply) override;

private:
    /// What the election thread has to look at.
    struct election_events {
        bool owner_lost = false;
        bool store_is_away = false;
        std::uint64_t offered_epoch = 0; ///< Of an owner that asks this node to go on.
    };

    std::shared_ptr<job_owner> local_owner() const;
    void on_view_changed();
    void update_lanes(const membership_view& view);
    void run_election();
    bool wants_to_take_over(const membership_view& view, time_point time);
    milliseconds own_delay(const membership_view& view) const;
    std::optional<election_events> next_events();
    bool is_replaced(const membership_view& view) const;
    bool has_ended(const membership_view& view) const;
    bool is_served(const membership_view& view) const;
    bool is_gone(std::uint64_t epoch) const;
    void note_refused_by(std::uint64_t epoch);
    void confirm_suspicion(const membership_view& view);
    void take_over(const membership_view& view);
    void log_members(const membership_view& view);
    bool offer_to_others(const membership_view& view, bool is_leaving);
    bool offer_to(const member& other, const ownership_offer& offer);
    void offer_in_place_of(const membership_view& view);
    bool outranks_owner(const membership_view& view, time_point time);
    void note_owner_gone(const membership_view& view, const std::string& witness);
    void begin_ownership(const claimed_head& claimed);
    bool hand_over_to_another();
    void drop_owner();
    permission_call lane_call(const std::string& name);
    std::string head_prefix() const { return options_.store_prefix + "head/"; }
    std::vector<std::string> head_keys() const;
    workflow::record_keys keys() const { return {.prefix = options_.store_prefix}; }

    /// Passes a call to the owner, again when ownership changes meanwhile; a call that found no
    /// owner had no effect.
    template <typename LocalCall, typename RemoteCall>
    owner_answer pass_on(milliseconds timeout, const LocalCall& local, const RemoteCall& remote);
    template <typename LocalCall, typename RemoteCall>
    owner_answer pass_once(milliseconds timeout, const LocalCall& local, const RemoteCall& remote);
    void wait_for_change(milliseconds limit);

    /// Returns the owner's process if it is another one than this.
    std::optional<owner_process> other_owner() const;

    /// Tells whether this node's calls can't reach the owner at present.
    bool is_owner_silent() const;
    void note_owner_answered(const owner_process& owner);
    void watch_owner_path();
    void ping_owner(const owner_process& owner);

    node_options options_;
    node_parts parts_;
    std::string incarnation_;
    coordinator_client client_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<job_owner> owner_;
    bool owner_lost_ = false;
    bool view_changed_ = false;
    std::uint64_t changes_ = 0; ///< Counts what may have changed the owner.
    owner_suspicion suspicion_;
    owner_path path_;
    bool store_is_away_ = false;
    std::uint64_t offered_epoch_ = 0; ///< Of the owner that asks this node to go on; 0 for none.
    std::atomic<bool> leaving_{false};
    bool stopping_ = false;
    std::optional<time_point> owner_missing_since_;
    time_point next_offer_{};                  ///< Of the election thread.
    std::optional<time_point> outranks_since_; ///< Of the election thread.
    time_point may_outrank_from_{};            ///< Of the election thread.
    std::set<std::string> logged_members_;     ///< Of the election thread.
    std::unique_ptr<membership> membership_;
    std::unique_ptr<coordinator_server> server_;
    std::thread election_thread_;
    std::thread path_thread_;
};

} // namespace flamingoseam::node
