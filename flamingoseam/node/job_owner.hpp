#pragma once

#include "flamingoseam/core/control_loop.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/log/event_log.hpp"
#include "flamingoseam/node/commit_stream.hpp"
#include "flamingoseam/node/load_meter.hpp"
#include "flamingoseam/node/node_metrics.hpp"
#include "flamingoseam/node/owner_service.hpp"
#include "flamingoseam/node/ownership_proof.hpp"
#include "flamingoseam/node/permission_dispatcher.hpp"
#include "flamingoseam/node/queue_configuration_source.hpp"
#include "flamingoseam/node/shard.hpp"
#include "flamingoseam/node/usage_log.hpp"
#include "flamingoseam/node/worker_borrower.hpp"
#include "flamingoseam/node/worker_directory.hpp"
#include "flamingoseam/node/worker_session.hpp"
#include "flamingoseam/store/record_watch.hpp"
#include "flamingoseam/workflow/stored_job.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingoseam::node {

/// Initial state of a new owner.
struct job_owner_start {
    stream_head head;           ///< The head record by which the owner took over.
    std::uint64_t revision = 0; ///< Revision of that head record.
    time_point claim_sent{};    ///< When the claim was sent, by boot_now(); zero if not known.
    workflow::stored_jobs jobs;
    std::vector<workflow::worker_entry> leased_workers;
    /// For how long an earlier owner may still be certain that it is the only one; none if there
    /// was no earlier owner.
    std::optional<milliseconds> earlier_certainty = std::nullopt;
};

/// Settings and collaborators of an owner.
struct job_owner_dependencies {
    std::vector<std::string> head_keys; ///< One key for each commit stream.
    shared_store_factory stores;
    workflow::record_keys keys;
    milliseconds worker_lease{6'000};
    milliseconds ended_kept{150'000}; ///< How long an ended job can be looked up.
    std::shared_ptr<worker_io> io;    ///< For the sessions with workers.
    worker_channel_factory channels;
    worker_directory_factory directory;
    permission_call_factory permissions;
    const queue_configuration_source* queues = nullptr; ///< Null if the queues never change.
    shard_identity shard;
    borrow_call borrow_workers = nullptr; ///< Set if the cell is divided.
    event_log* log = nullptr;
    node_metrics* metrics = nullptr;
    usage_log* usage = nullptr; ///< Logs what the process uses; null if nothing does.

    /// Returns whether nothing that this node knows of its lease and of the other nodes speaks
    /// against its being the only owner at present. Called from all threads.
    std::function<bool()> is_certain;

    /// Called when writes to the store get no answer.
    std::function<void()> on_store_unreachable;

    /// Called once when another owner has taken over.
    std::function<void()> on_superseded;

    /// Called once when an error may have left the decisions incomplete. The owner does nothing any
    /// more; its state is in the store.
    std::function<void()> on_failed = nullptr;
};

/// The owner of all jobs. Keeps their state on one control thread; other threads pass its decisions
/// to the workers, the store and the permission service.
class job_owner final : private worker_listener {
public:
    /// Throws resource_error if the system has no threads left for this owner.
    job_owner(job_owner_start start, job_owner_dependencies dependencies);

    /// Waits for the calls in flight, which takes up to the duration of the longest poll.
    ~job_owner() override;

    job_owner(const job_owner&) = delete;
    job_owner& operator=(const job_owner&) = delete;

    void submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                owner_service::owner_reply reply);
    void cancel(const std::string& job, owner_service::owner_reply reply);
    void find(const std::string& job, owner_service::owner_reply reply);
    void count_pending(const std::string& queue, owner_service::owner_reply reply);

    /// Gives idle workers to another shard; replies with their number.
    void lend_workers(const workflow::worker_request& request, owner_service::count_reply reply);

    /// Sets the nodes through which the permission service is asked.
    void set_nodes(const std::vector<std::string>& nodes);

    /// Refuses further jobs, writes the remaining changes and then `last`, and ends the sessions
    /// with the workers, whose runs continue. Returns whether everything was written within
    /// `timeout`.
    bool hand_over(workflow::record_change last, milliseconds timeout);

    /// Makes this owner act no more, since another one has taken over. Thread-safe.
    void report_superseded();

    /// Records that no earlier owner of the shard starts runs any more, and when the last of them
    /// stops extending leases, if that is known.
    void confirm_earlier_stopped(std::optional<time_point> renewals_end = std::nullopt);

    /// Returns whether this owner, which must have been told to, and those before it have stopped.
    /// Thread-safe.
    [[nodiscard]] stop_confirmation confirm_stop() const;

    /// Checks whether it is certain that no earlier owner of the shard starts runs any more.
    /// Thread-safe.
    [[nodiscard]] bool have_earlier_ended() const { return earlier_ended_; }

    /// Makes all threads end soon. Nothing is sent to workers any more, and calls whose outcome is
    /// not stored yet are answered with the verdict `unknown`.
    void request_stop();

    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

private:
    void on_report(const session_id& session, workflow::worker_report report) override;
    void on_start(std::size_t worker, const workflow::run_name& name,
                  workflow::start_outcome outcome) override;
    void on_stop(std::size_t worker, const workflow::run_name& name) override;
    void on_unreachable_changed(const session_id& session, bool unreachable,
                                time_point silent_since) override;
    void on_emptied(const session_id& session, workflow::emptied_reason reason) override;
    void on_fenced(std::size_t worker) override;
    [[nodiscard]] bool may_start() const override;
    [[nodiscard]] bool may_renew() const override;

    /// A commit stream together with its source of changes.
    class owner_commit_source;
    void on_store_unreachable();
    void set_store_unreachable(bool unreachable);

    [[nodiscard]] bool is_certain() const;
    void prove_ownership();
    void read_own_head(shared_store& store);
    void wait_for_batch();
    void after_batch();
    void update_queues(time_point time);
    void update_certainty(time_point time);
    void report_certainty(bool is_certain, time_point time);
    void update_renewals_end(time_point time, time_point boot_time);
    void bound_earlier_renewals(time_point time);
    void set_earlier_renewals_end(time_point end, time_point time, const std::string& reason);
    void update_earlier_owner(time_point time);
    void dispatch(workflow::workflow_actions actions);
    void answer(const workflow::caller_answer& call_result);
    void record_timings(const workflow::workflow_actions& actions, time_point started);
    void record_step(const step_times& times);
    void record_decisions(const decision_times& times, time_point time);
    void report_load(time_point time);
    void report_queues(time_point time);
    void set_gauges();
    bool answer_unreadable(const std::string& job, const owner_service::owner_reply& reply) const;
    void post_decision(std::function<void()> step);
    std::uint64_t store_reply(owner_service::owner_reply reply);
    void answer_all_unknown();
    void watch_workers();
    void read_worker_list(worker_directory& directory);
    void handle_worker_list(const std::optional<std::vector<workflow::worker_entry>>& workers,
                            time_point confirmed);
    void apply_worker_list();
    void watch_assignments();
    bool read_assignments(record_watch& watch);
    void handle_assignments(const record_update& update);
    void retire_session(std::size_t worker);
    void borrow_workers(time_point time);
    void open_sessions();
    [[nodiscard]] time_point earlier_renewals_end_of(const workflow::fleet_worker& worker) const;
    [[nodiscard]] bool is_current(const session_id& session) const;
    void drop_finished_sessions();
    void handle_failure(const std::string& cause);
    workflow::record_batch take_batch(std::size_t stream, std::size_t max_changes);
    void start_threads();

    job_owner_dependencies dependencies_;
    std::uint64_t epoch_;
    ownership_proof proof_;
    /// Workers of the whole cell, none until they have been read; used by the control thread only.
    std::optional<std::vector<workflow::worker_entry>> listed_workers_;
    worker_assignments assignments_;  ///< Used by the control thread only.
    bool assignments_known_ = false;  ///< Used by the control thread only.
    time_point next_borrowing_{};     ///< Used by the control thread only.
    std::int64_t queues_version_ = 0; ///< Used by the control thread only.
    load_meter meter_;                ///< Used by the control thread only.
    change_ages change_ages_;         ///< Used by the control thread only.
    control_loop loop_;
    workflow::workflow_state state_;
    std::unordered_map<std::uint64_t, owner_service::owner_reply> replies_;
    std::uint64_t next_token_ = 1;
    std::map<std::size_t, std::unique_ptr<worker_session>> sessions_;
    std::uint64_t last_session_ = 0; ///< Number of the newest session.
    std::vector<std::unique_ptr<worker_session>> retired_sessions_;
    std::map<std::size_t, std::uint64_t> met_incarnations_; ///< Of workers with retired sessions.
    std::unique_ptr<permission_dispatcher> permission_dispatcher_;
    std::vector<std::unique_ptr<owner_commit_source>> streams_;
    bool store_unreachable_ = false; ///< Used by the control thread only.
    /// Since when it is not certain that this is the only owner; used by the control thread only.
    std::optional<time_point> uncertain_since_;
    time_point certain_at_; ///< When that was certain last; used by the control thread only.
    /// Until then, by a clock that counts suspensions, the leases of workers may be renewed
    /// although that is not certain.
    std::atomic<time_point> renewals_end_{};
    milliseconds earlier_certainty_; ///< For how long an earlier owner may still be certain.
    time_point earlier_starts_end_;  ///< Latest time at which an earlier owner starts a run.
    bool earlier_stopped_ =
        false; ///< An earlier owner has said so; used by the control thread only.
    std::atomic<bool> earlier_ended_; ///< No earlier owner starts runs any more.
    /// Latest time at which an earlier owner stops renewing leases, if too few workers show that it
    /// does; used by the control thread only.
    time_point earlier_renewals_limit_;
    /// When the earlier owners stop renewing leases; time_point::max() while that is not known.
    std::atomic<time_point> earlier_renewals_end_;
    /// The same as the owner before this one has said; used by the control thread only.
    time_point confirmed_renewals_end_ = time_point::max();
    std::atomic<bool> ending_{false};
    /// Another owner has taken over, or an error has left the decisions incomplete.
    std::atomic<bool> acts_no_more_{false};
    std::atomic<bool> handing_over_{false};
    service_thread loop_thread_;
    service_thread directory_thread_;
    service_thread proof_thread_;
    service_thread assignments_thread_;         ///< Runs only if the cell is divided.
    std::unique_ptr<worker_borrower> borrower_; ///< Null if the cell is not divided.
};

} // namespace flamingoseam::node
