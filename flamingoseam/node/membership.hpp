#pragma once

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/node/shard.hpp"
#include "flamingoseam/store/record_watch.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// A node of the cell, as recorded in the store for other nodes.
struct member {
    std::string name;
    std::string incarnation; ///< Changes with each start of the node's process.
    /// Address of the RPC interface that serves the first shard; the others use the ports after it.
    endpoint address;
    double processor_share = 1; ///< Processor time of the machine; 1 is one whole processor.
};

/// The owner of the jobs as recorded in the store; its name is empty after a handover.
struct owner_record {
    std::uint64_t epoch = 0;
    member owner;
    std::uint64_t claim = 0; ///< See owner_claim::number.
};

/// Returns a member as JSON text.
std::string write_member(const member& value);

/// Parses a member from JSON text. Throws parse_error (id 129).
member read_member(const std::string& text);

/// Returns an owner as JSON text.
std::string write_owner(const owner_record& value);

/// Parses an owner from JSON text. Throws parse_error (id 129).
owner_record read_owner(const std::string& text);

/// The live members and the owner of one shard, as this node has last read them from the store.
struct membership_view {
    std::map<std::string, member> members; ///< By name, with the addresses that serve the shard.
    std::optional<owner_record> owner;
    std::uint64_t owner_revision = 0; ///< Revision of the owner's record; 0 if there is none.

    /// Returns the owner if its process is a live member, none otherwise.
    [[nodiscard]] std::optional<owner_record> live_owner() const;
};

/// Identity of this node, and the timing of its lease and its watch.
struct membership_options {
    std::string prefix = "fs/m/";
    member self;
    milliseconds time_to_live{1'000}; ///< Lease duration; a node counts as dead after it.
    milliseconds renew_interval{200};
    watch_times watch; ///< They limit how long a change of the owner can stay unheard.
    /// No other node can have taken over within this time after a renewal.
    milliseconds max_renewal_age{800};
    /// An owner that has seen no newer view within this time is not certain to be the only one.
    /// Above the time between two answers of a watch without changes.
    milliseconds max_view_age{3'000};
    std::function<void(const log_event&)> report = nullptr; ///< Called for each event to log.
};

/// Maintains this node's lease in the store and its view of the other nodes and of the owners of
/// all shards, on two threads.
class membership {
public:
    /// Starts both threads. Throws resource_error if the system has no threads left.
    membership(membership_options options, const shared_store_factory& stores);
    ~membership();
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Calls `on_change` from the watch thread after each change of a view. An exception that
    /// leaves it is logged. Returns a number for remove_listener().
    int add_listener(std::function<void()> on_change);

    /// Removes a listener, which is not called any more afterwards.
    void remove_listener(int number);

    /// Returns the members and the owner of a shard. Complexity: linear in the members.
    [[nodiscard]] membership_view view(const shard_identity& shard) const;

    /// Returns the owner of a shard if its process is a live member, none otherwise. Complexity:
    /// logarithmic.
    [[nodiscard]] std::optional<owner_record> live_owner(const shard_identity& shard) const;

    /// Returns the processor shares of all members, in no order. Complexity: linear.
    [[nodiscard]] std::vector<double> processor_shares() const;

    /// Checks whether this node's lease was renewed so recently that no other node can have
    /// regarded it as expired.
    [[nodiscard]] bool has_valid_lease() const;

    /// Checks whether this node's lease was renewed within the last `length`.
    [[nodiscard]] bool was_renewed_within(milliseconds length) const;

    /// Checks whether nothing that this node knows speaks against its still being the owner of a
    /// shard with `epoch`: its lease is valid, and the store has shown no newer owner since the
    /// process joined last, nor lately been silent. That is no proof, since a watch may miss
    /// changes for a while; see ownership_proof. A node whose lease has ended is certain again only
    /// after it has rejoined and asked.
    [[nodiscard]] bool is_certain_owner(const shard_identity& shard, std::uint64_t epoch) const;

    /// Checks whether this process is a member in its own view.
    [[nodiscard]] bool has_joined() const;

    /// Ends the lease, so that the other nodes no longer regard this node as a member.
    void leave();

    /// Returns the key under which the owner of a shard is recorded.
    [[nodiscard]] std::string owner_key(const shard_identity& shard) const;

    /// Returns the key of a member's record, which the store removes when its lease ends.
    [[nodiscard]] std::string member_key(const std::string& name) const
    {
        return options_.prefix + "node/" + name;
    }

    /// Returns this node as a member that serves a shard.
    [[nodiscard]] member self(const shard_identity& shard) const;

private:
    void request_stop();
    void run_lease();
    milliseconds try_to_renew();
    void end_lease();
    void renew(shared_store& store);
    void join(shared_store& store);
    void run_watch();
    bool try_to_read_changes();
    void notify_listeners();
    void apply_update(const record_update& update);
    void apply(const shared_record& record);
    void report_earlier_process();
    bool is_missing_from_view() const;
    bool is_join_confirmed() const;
    std::optional<std::string> member_name(const std::string& key) const;
    void pause(milliseconds length);

    struct stored_owner {
        owner_record record;
        std::uint64_t revision = 0;
    };

    membership_options options_;
    std::unique_ptr<shared_store> lease_store_;
    record_watch watch_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, member> members_;      ///< By name.
    std::map<std::string, stored_owner> owners_; ///< Owners of the shards, by their keys.
    std::mutex listeners_mutex_;
    std::map<int, std::function<void()>> listeners_; ///< Guarded by `listeners_mutex_`.
    int last_listener_ = 0;                          ///< Guarded by `listeners_mutex_`.
    bool has_reported_earlier_process_ = false;      ///< Used by the watch thread only.
    std::uint64_t lease_ = 0;
    bool is_view_complete_ = false; ///< False while the view may lack changes.
    time_point view_asked_at_{};    ///< The view contains every change of an earlier time.
    /// When the store last confirmed this node's record; zero until then and once the lease has
    /// ended.
    time_point joined_at_{};
    /// Start of the latest renewal, on a clock that includes suspension.
    std::atomic<time_point> renewed_at_{};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> leaving_{false};
    service_thread lease_thread_;
    service_thread watch_thread_;
};

} // namespace flamingoseam::node
