#pragma once

#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/store/shared_store.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam::node {

/// A node as the others see it.
struct member {
    std::string name;
    std::string incarnation;    ///< New after each start of the node's process.
    endpoint address;           ///< Of its RPC interface.
    double processor_share = 1; ///< Of one processor, that the machine has.
};

/// The owner of the jobs as the store names it; the name is empty after a hand-over.
struct owner_record {
    std::uint64_t epoch = 0;
    member owner;
};

/// Returns a member as JSON text.
std::string write_member(const member& value);

/// Reads a member. Throws parse_error (id 129).
member read_member(const std::string& text);

/// Returns an owner as JSON text.
std::string write_owner(const owner_record& value);

/// Reads an owner. Throws parse_error (id 129).
owner_record read_owner(const std::string& text);

/// Who is alive and who owns the jobs, as far as this node knows.
struct membership_view {
    std::map<std::string, member> members; ///< By name.
    std::optional<owner_record> owner;
    std::uint64_t owner_revision = 0; ///< Of the owner's record; 0 when there is none.

    /// Returns the owner if its process is alive, none otherwise.
    [[nodiscard]] std::optional<owner_record> live_owner() const;
};

/// How membership is kept.
struct membership_options {
    std::string prefix = "fs/m/";
    member self;
    milliseconds time_to_live{1'000}; ///< A node that does not renew it counts as dead.
    milliseconds renew_interval{200};
    milliseconds watch_wait{15'000};
    milliseconds certain_for{800}; ///< After a renewal, nobody can have taken over so soon.
};

/// This node's lease in the store and its view of the others, kept by two threads.
class membership {
public:
    /// `on_change` is called from the threads after each change of the view.
    membership(membership_options options, const shared_store_factory& stores,
               std::function<void()> on_change);
    ~membership();
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    [[nodiscard]] membership_view view() const;

    /// Tells whether this node's lease was renewed so lately that nobody can have taken it for
    /// dead.
    [[nodiscard]] bool is_certain() const;

    /// Tells whether this node's lease was renewed so lately.
    [[nodiscard]] bool was_renewed_within(milliseconds length) const;

    /// Tells whether this node is a member by its own view.
    [[nodiscard]] bool has_joined() const;

    /// Ends the lease, so that the others stop counting on this node.
    void leave();

    /// Returns the key under which the owner is recorded.
    [[nodiscard]] std::string owner_key() const { return options_.prefix + "owner"; }

    [[nodiscard]] const member& self() const { return options_.self; }

private:
    void run_lease();
    void renew(shared_store& store);
    void join(shared_store& store);
    void run_watch();
    void read_all(shared_store& store);
    void take(const shared_record& record);
    bool is_missing_from_view() const;
    void pause(milliseconds length);
    std::string member_key() const { return options_.prefix + "node/" + options_.self.name; }

    membership_options options_;
    std::function<void()> on_change_;
    std::unique_ptr<shared_store> lease_store_;
    std::unique_ptr<shared_store> watch_store_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    membership_view view_;
    std::uint64_t lease_ = 0;
    std::uint64_t watched_ = 0; ///< Revision up to which the view is complete; 0 for none.
    std::atomic<std::int64_t> renewed_at_ms_{0}; ///< On a clock that counts suspensions.
    std::atomic<bool> stopping_{false};
    std::atomic<bool> leaving_{false};
    std::thread lease_thread_;
    std::thread watch_thread_;
};

} // namespace flamingoseam::node
