#pragma once

#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/core/control_loop.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/job/journal_store.hpp"
#include "flamingoseam/peer/rpc_client.hpp"
#include "flamingoseam/peer/rpc_server.hpp"
#include "flamingoseam/scheduler/metrics.hpp"
#include "flamingoseam/scheduler/owned_shard.hpp"
#include "flamingoseam/scheduler/settings.hpp"
#include "flamingoseam/store/config_store.hpp"
#include "flamingoseam/trace/span.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam {

/// The scheduler process without its main function. Owns shards, decides placements, and serves
/// requests of entries, other schedulers and operators.
class scheduler : public scheduler_service {
public:
    /// Starts the RPC server and the operator API. `store` must be thread-safe.
    scheduler(scheduler_settings settings, std::unique_ptr<config_store> store);
    ~scheduler() override;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Runs the control loop on the calling thread until the shutdown that shut_down() starts has
    /// completed. Throws resource_error if the system has no threads left.
    void run();

    /// Starts a graceful shutdown: new work is refused, calls in progress are answered, and shards
    /// are released. run() returns when this is done, at the latest after the drain timeout.
    void shut_down();

    void submit(const std::string& shard, const work_request& request,
                reply_outcome reply) override;
    void find_job(const std::string& shard, const std::string& customer,
                  const std::string& request_id, reply_job reply) override;
    void cancel(const std::string& shard, const std::string& customer,
                const std::string& request_id, reply_outcome reply) override;
    void exchange(const exchange_message& message, reply_exchange reply) override;
    void request_share(const share_transfer& request, reply_share reply) override;
    void offer_share(const share_transfer& grant, reply_confirmed reply) override;

    /// Handles a request to the operator API; called from HTTP threads.
    http_response handle_operator(const http_request& request);

private:
    /// A member of the cell, as reported by the watch on the store.
    struct member {
        time_point first_seen{};
    };

    // Run on the control thread.
    void after_batch();
    void tick(time_point time);
    void dispatch_all(time_point time);
    void apply_store_events(const store_events& events, bool is_full_list);
    void apply_member_record(const store_record& record);
    void apply_contract_record(const contract_record& record, std::vector<std::string>& changed);
    void apply_contract_records(const std::vector<contract_record>& records);
    void notify_contracts_changed();
    void apply_shard_entry(const shard_entry& entry);
    void update_ownership(time_point time);
    void update_shard_ownership(const shard_setting& setting, const std::vector<std::string>& live,
                                time_point time);
    void start_takeover(const shard_setting& setting);
    void start_owned_shard(const shard_entry& entry, const journal_record& journal,
                           std::uint64_t version);
    void hand_over(owned_shard& shard);
    void drop_shard(const std::string& shard_id);
    void destroy_later(std::unique_ptr<owned_shard> dropped);
    /// Called when an error may have left the state of this process incomplete. The owned shards
    /// are taken over again from their journals.
    void drop_all_shards() noexcept;
    void post_drop_all_shards();
    void start_taken_shard(const shard_entry& entry, const stored_journal& journal);
    void write_journals();
    void handle_journal_written(const std::string& shard_id, std::uint64_t epoch,
                                std::uint64_t sequence, std::uint64_t version, bool lost);
    void send_share_requests(owned_shard& shard, const std::vector<share_request>& requests,
                             time_point time);
    void offer_shares(owned_shard& shard, time_point time);
    void continue_drain(time_point time);

    /// Requires contracts to be confirmed again after the control thread was paused, since others
    /// may have changed them meanwhile.
    void check_tick_gap(time_point time);

    /// Checks whether neither the store nor any peer has responded within the isolation grace.
    [[nodiscard]] bool is_isolated(time_point time) const;

    /// Checks whether this process is certain to be the only owner of its shards: its membership
    /// was renewed less than three quarters of a lease ago.
    [[nodiscard]] bool has_authority(time_point time) const;
    [[nodiscard]] std::int64_t initial_share(const std::string& shard_id) const;
    owned_shard* find_shard(const std::string& shard_id);

    /// Runs a function with an owned shard on the control thread, unless the shard has been dropped
    /// or is owned under another epoch by then.
    void post_to_shard(const std::string& shard_id, std::uint64_t epoch,
                       const std::function<void(owned_shard&)>& function);
    void update_metrics();
    outcome refusal(const std::string& reason, const std::string& detail,
                    const work_request& request) const;

    void start_threads();
    void stop_threads();

    /// Calls `action` until stopping, and goes on after an exception that leaves it.
    void repeat(const char* duty, const std::function<void()>& action);

    // Run on other threads.
    void follow_store(std::uint64_t& revision);
    void run_membership();
    void renew_membership(std::string& lease, bool& joined);
    void read_vm_list(http_client& client);
    void exchange_with_peers(std::size_t& next);
    void exchange_with(const endpoint& peer);

    /// Sleeps for a random time within the bounds, or until stopping.
    void sleep_random(milliseconds min_delay, milliseconds max_delay);
    void set_store_available(bool available);
    bool join_cell(std::string& lease);

    // Operator API; run on HTTP threads.
    http_response list_contracts();
    http_response get_contract(const std::string& customer);
    http_response contract_history(const std::string& customer);
    http_response apply_contract(const std::string& customer, const http_request& request);
    http_response cell_status();
    http_response shard_status(const std::string& shard_id);
    http_response drain_worker(const std::string& address);
    http_response explain(const http_request& request);
    http_response cancel_request(const http_request& request);
    std::vector<std::string> unconfirmed_schedulers(std::uint64_t revision);

    scheduler_settings settings_;
    std::string own_address_; ///< ADDRESS:PORT of this scheduler's RPC interface.
    std::unique_ptr<config_store> store_;
    span_writer spans_;
    control_loop control_loop_;
    control_loop ownership_loop_;   ///< Takes over and releases shards, one after the other.
    control_loop journal_loop_;     ///< Writes journals.
    control_loop share_loop_;       ///< Sends share requests and offers to other schedulers.
    control_loop destruction_loop_; ///< Destroys dropped shards, which blocks.
    rpc_client peer_client_;
    scheduler_metrics metrics_;

    // State of the control thread.
    contract_table contracts_;
    std::map<std::string, member> members_;
    std::map<std::string, shard_entry> shards_;
    std::map<std::string, std::unique_ptr<owned_shard>> owned_;
    std::map<std::string, std::vector<vm_entry>> vms_; ///< Newest list of VMs, by shard.
    std::set<std::string> takeovers_;
    bool joined_ = false;
    bool draining_ = false;
    bool drained_ = false;
    bool has_cell_view_ = false;
    time_point drain_deadline_{};
    time_point last_member_join_{};
    time_point last_tick_{};
    time_point last_ownership_{};
    time_point next_takeover_{}; ///< No shard is taken over before.
    std::mt19937_64 random_;

    std::atomic<std::int64_t> last_store_contact_ms_{0}; ///< Monotonic clock, as below.
    std::atomic<std::int64_t> last_renewal_ms_{0}; ///< When the last successful renewal was sent.
    std::atomic<std::int64_t> last_peer_contact_ms_{0};
    std::atomic<bool> store_available_{false};
    std::atomic<bool> is_listed_{false}; ///< All records have been read; changes are being watched.
    std::atomic<bool> stopping_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<std::uint64_t> revision_{0};
    std::vector<service_thread> threads_;
    std::unique_ptr<rpc_server> rpc_server_;
    std::unique_ptr<http_server> operator_server_;
};

} // namespace flamingoseam
