#pragma once

#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/core/control_loop.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/peer/rpc_client.hpp"
#include "flamingoseam/peer/rpc_server.hpp"
#include "flamingoseam/scheduler/metrics.hpp"
#include "flamingoseam/scheduler/owned_shard.hpp"
#include "flamingoseam/scheduler/settings.hpp"
#include "flamingoseam/store/config_store.hpp"
#include "flamingoseam/trace/span.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam {

/// The scheduler's process without its main function: owns shards, decides placements, answers
/// entries, other schedulers and operators.
class scheduler : public scheduler_service {
public:
    /// `store` must be safe for use from several threads.
    scheduler(scheduler_settings settings, std::unique_ptr<config_store> store);
    ~scheduler() override;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Runs control on the calling thread until shut_down() has ended its work.
    void run();

    /// Begins an orderly end: no new work, calls in progress are answered, shards are given up.
    /// run() returns when that is done, at the latest after the drain timeout.
    void shut_down();

    void submit(const std::string& shard, const work_request& request,
                reply_outcome reply) override;
    void find_job(const std::string& shard, const std::string& customer,
                  const std::string& request_id, reply_job reply) override;
    void cancel(const std::string& shard, const std::string& customer,
                const std::string& request_id, reply_outcome reply) override;
    void exchange(const exchange_message& theirs, reply_exchange reply) override;
    void request_share(const share_transfer& wish, reply_share reply) override;
    void offer_share(const share_transfer& grant, reply_confirmed reply) override;

    /// Answers the operators' interface; called from HTTP threads.
    http_response handle_operator(const http_request& request);

private:
    /// A member of the cell as the store's watch shows it.
    struct member {
        time_point seen{};
    };

    // control thread
    void after_batch();
    void tick(time_point time);
    void dispatch_all(time_point time);
    void take_store_events(const store_events& events, bool complete);
    void take_member(const store_record& record);
    void take_contract(const contract_record& record, std::vector<std::string>& changed);
    void take_contracts(const std::vector<contract_record>& records);
    void contracts_changed();
    void take_shard_record(const shard_entry& entry);
    void consider_ownership(time_point time);
    void consider_shard(const shard_setting& setting, const std::vector<std::string>& live,
                        time_point time);
    void begin_taking(const shard_setting& setting);
    void begin_shard(const shard_entry& entry, const journal_record& journal,
                     std::uint64_t version);
    void hand_over(owned_shard& shard);
    void drop_shard(const std::string& shard_id);
    void write_journals();
    void journal_done(const std::string& shard_id, std::uint64_t epoch, std::uint64_t sequence,
                      std::uint64_t version, bool lost);
    void send_wishes(owned_shard& shard, const std::vector<share_wish>& wishes, time_point time);
    void offer_shares(owned_shard& shard, time_point time);
    void drain_step(time_point time);
    void note_gap(time_point time);
    [[nodiscard]] bool is_isolated(time_point time) const;
    [[nodiscard]] bool has_authority(time_point time) const;
    [[nodiscard]] std::int64_t initial_share(const std::string& shard_id) const;
    owned_shard* find_shard(const std::string& shard_id);
    void with_shard(const std::string& shard_id, std::uint64_t epoch,
                    const std::function<void(owned_shard&)>& use);
    void observe();
    outcome refuse_here(const std::string& reason, const std::string& detail,
                        const work_request& request) const;

    // other threads
    void run_watch();
    void run_membership();
    void run_vm_list();
    void run_peers();
    void exchange_with(const endpoint& peer);
    void pause(milliseconds least, milliseconds most);
    void set_store_available(bool available);
    bool join(std::string& lease);

    // operators' interface
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
    std::string self_; ///< ADDRESS:PORT of our RPC interface.
    std::unique_ptr<config_store> store_;
    span_writer spans_;
    control_loop control_;
    control_loop ownership_; ///< Runs takes and releases, one after the other.
    control_loop journals_;  ///< Runs journal writes.
    control_loop shares_;    ///< Runs calls about shares to other schedulers.
    control_loop endings_;   ///< Destroys shards that were given up.
    rpc_client peers_;
    scheduler_metrics metrics_;

    // control state
    contract_table contracts_;
    std::map<std::string, member> members_;
    std::map<std::string, shard_entry> shards_;
    std::map<std::string, std::unique_ptr<owned_shard>> owned_;
    std::map<std::string, std::vector<vm_entry>> vms_; ///< By shard.
    std::set<std::string> taking_;
    bool joined_ = false;
    bool draining_ = false;
    bool drained_ = false;
    bool has_cell_view_ = false;
    time_point drain_deadline_{};
    time_point last_join_{};
    time_point last_tick_{};
    time_point last_ownership_{};
    std::mt19937_64 random_;

    std::atomic<std::int64_t> last_store_contact_ms_{0}; ///< Monotonic.
    std::atomic<std::int64_t> last_renewal_ms_{0}; ///< When a renewal that succeeded was sent.
    std::atomic<std::int64_t> last_peer_contact_ms_{0};
    std::atomic<bool> store_available_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> leaving_{false};
    std::atomic<std::uint64_t> revision_{0};
    std::vector<std::thread> threads_;
    std::unique_ptr<rpc_server> rpc_server_;
    std::unique_ptr<http_server> operator_server_;
};

} // namespace flamingoseam
