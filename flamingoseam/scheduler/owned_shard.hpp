#pragma once

#include "flamingoseam/core/control_loop.hpp"
#include "flamingoseam/peer/scheduler_service.hpp"
#include "flamingoseam/shard/shard_state.hpp"
#include "flamingoseam/worker/worker_link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingoseam {

/// A shard that this process owns, with the links to its workers and the pending replies to
/// callers. Used on the control thread only. The member functions of worker_listener may be called
/// from any thread, and post their work to the control thread.
class owned_shard : public worker_listener {
public:
    /// Runs the given function with this shard on the control thread, unless the shard has been
    /// dropped by then.
    using post_function = std::function<void(std::function<void(owned_shard&)>)>;

    owned_shard(shard_entry entry, std::unique_ptr<shard_state> state, post_function post,
                milliseconds worker_lease);

    /// Waits until the links have stopped. Must not run on the control thread, which it would
    /// block.
    ~owned_shard() override;

    [[nodiscard]] const shard_entry& entry() const { return entry_; }
    shard_state& state() { return *state_; }
    [[nodiscard]] const shard_state& state() const { return *state_; }

    /// Stores the reply callback of a request and returns the token under which the answer is sent.
    std::uint64_t add_reply(scheduler_service::reply_outcome reply);

    /// Applies the platform's list of VMs and opens links to new workers. A worker that has been
    /// missing from the list for 1.25 leases gets no new tasks. It counts as lost if it is
    /// unresponsive too, or has never responded to this owner.
    void apply_vm_list(const std::vector<vm_entry>& vms, time_point time);

    /// Carries out the pending actions of the state: sends commands to workers and answers to
    /// callers. Sets `journal_write_needed` if the journal has to be written. Returns the requests
    /// for parts of other shards' shares.
    std::vector<share_request> dispatch();

    /// Answers every waiting caller and stops the links. The shard must not be used afterwards.
    void abandon();

    /// Does the same after an error that may have left the state incomplete: carries out none of
    /// its pending actions.
    void abandon_incomplete();

    void on_report(const std::string& address, const command_response& report) override;
    void on_start_result(const std::string& address, const start_result& result) override;
    void on_event(const std::string& address, const task_event& event) override;
    void on_lost(const std::string& address) override;
    void on_stale_epoch(const std::string& address, std::uint64_t newest_epoch) override;

    /// Journal writes: at most one is in progress; the next one contains all changes made
    /// meanwhile.
    bool journal_write_needed = false;
    bool journal_write_in_progress = false;
    std::uint64_t journal_version = 0;
    std::uint64_t written_sequence = 0; ///< Sequence number of the newest record that is stored.

    /// A received offer of a share, which is confirmed once the journal contains it.
    struct pending_confirmation {
        std::uint64_t sequence; ///< Of the first journal record that contains the offer.
        scheduler_service::reply_confirmed reply;
    };
    std::vector<pending_confirmation> pending_confirmations;
    std::uint64_t next_sequence = 1; ///< Sequence number of the next journal record.

    bool handing_over = false;
    bool superseded = false; ///< A worker or the store has recorded a newer epoch.
    bool release_queued = false;
    std::map<std::string, time_point> last_share_request; ///< Time of sending, by customer.
    std::map<std::string, time_point> last_offer;         ///< Time of sending, by transfer id.

private:
    void stop_links();
    void answer_waiting_callers();
    void open_link(const vm_entry& vm);

    /// Handles a worker that has been missing from the list for too long. Returns whether its time
    /// of listing can be removed.
    bool handle_missing_worker(const std::string& address, time_point time);

    shard_entry entry_;
    std::unique_ptr<shard_state> state_;
    post_function post_;
    milliseconds worker_lease_;
    std::unordered_map<std::uint64_t, scheduler_service::reply_outcome> pending_replies_;
    std::uint64_t next_token_ = 1;
    std::map<std::string, time_point> last_listed_; ///< When the VM list last contained a worker.
    std::set<std::string> fenced_workers_; ///< Workers that have accepted this owner's epoch.
    std::unordered_map<std::string, std::unique_ptr<worker_link>> links_;
    std::vector<std::unique_ptr<worker_link>> retired_links_; ///< Stopping links of lost workers.
};

} // namespace flamingoseam
