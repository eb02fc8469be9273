#pragma once

#include "flamingoseam/core/control_loop.hpp"
#include "flamingoseam/log/event_log.hpp"
#include "flamingoseam/node/commit_chain.hpp"
#include "flamingoseam/node/load_meter.hpp"
#include "flamingoseam/node/node_metrics.hpp"
#include "flamingoseam/node/owner_service.hpp"
#include "flamingoseam/node/permission_lanes.hpp"
#include "flamingoseam/node/worker_directory.hpp"
#include "flamingoseam/node/worker_session.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace flamingoseam::node {

/// What a new owner begins with.
struct job_owner_start {
    chain_head head;            ///< The head by which it took over.
    std::uint64_t revision = 0; ///< Of that head.
    std::vector<workflow::job_record> jobs;
    std::vector<workflow::worker_entry> leased_workers;
};

/// What an owner works with.
struct job_owner_parts {
    std::vector<std::string> head_keys; ///< One for each chain of transactions.
    shared_store_factory stores;
    workflow::record_keys keys;
    milliseconds worker_lease{6'000};
    milliseconds ended_kept{150'000}; ///< How long an ended job can be asked for.
    worker_channel_factory channels;
    worker_directory_factory directory;
    permission_call_factory permissions;
    event_log* log = nullptr;
    node_metrics* metrics = nullptr;

    /// Tells whether this node is certain to be the only owner now.
    std::function<bool()> is_certain;

    /// Called when writes to the store get no answer.
    std::function<void()> on_store_away;

    /// Called once when another owner has taken over.
    std::function<void()> on_superseded;
};

/// The owner of all jobs: their state on one control thread, and the threads that carry its
/// decisions to workers, to the store and to the permission service.
class job_owner final : private worker_listener {
public:
    job_owner(job_owner_start start, job_owner_parts parts);

    /// Waits for the calls under way, up to the longest poll.
    ~job_owner() override;

    job_owner(const job_owner&) = delete;
    job_owner& operator=(const job_owner&) = delete;

    void submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                owner_service::owner_reply reply);
    void cancel(const std::string& job, owner_service::owner_reply reply);
    void find(const std::string& job, owner_service::owner_reply reply);
    void count_pending(const std::string& queue, owner_service::owner_reply reply);

    /// Sets the nodes through which the permission service is asked.
    void set_nodes(const std::vector<std::string>& nodes);

    /// Takes no more jobs, writes what is left and `last`, and lets go of the workers, whose runs
    /// go on. Returns whether all was written within `limit`.
    bool hand_over(workflow::record_change last, milliseconds limit);

    /// Makes all threads end soon; nothing is sent to workers any more, and calls whose outcome is
    /// not stored yet are answered as unknown.
    void request_end();

    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

private:
    void on_report(std::size_t worker, workflow::worker_report report) override;
    void on_start(std::size_t worker, const workflow::run_name& name,
                  workflow::start_outcome outcome) override;
    void on_stop(std::size_t worker, const workflow::run_name& name) override;
    void on_unreachable_changed(std::size_t worker, bool unreachable) override;
    void on_emptied(std::size_t worker) override;
    void on_fenced(std::size_t worker) override;

    /// One chain with what it is told and asks for.
    class chain_link;
    void on_store_silent();
    void set_store_silent(bool silent);

    void finish_batch();
    void after_batch();
    void dispatch(workflow::workflow_actions actions);
    void answer(const workflow::caller_answer& one);
    void measure(const workflow::workflow_actions& actions, time_point began);
    void note_step(const step_times& times);
    void note_decisions(const decision_times& times, time_point time);
    void report_load(time_point time);
    void report_queues(time_point time);
    void set_gauges();
    std::uint64_t keep(owner_service::owner_reply reply);
    void answer_unknown();
    void watch_workers();
    void take_worker_list(const std::vector<workflow::worker_entry>& workers);
    void open_sessions();
    void drop_finished_sessions();
    void report_superseded();

    job_owner_parts parts_;
    std::uint64_t epoch_;
    load_meter meter_;        ///< Of the control thread.
    change_ages change_ages_; ///< Likewise.
    control_loop loop_;
    workflow::workflow_state state_;
    std::unordered_map<std::uint64_t, owner_service::owner_reply> replies_;
    std::uint64_t next_token_ = 1;
    std::map<std::size_t, std::unique_ptr<worker_session>> sessions_;
    std::vector<std::unique_ptr<worker_session>> retired_;
    std::unique_ptr<permission_lanes> lanes_;
    std::vector<std::unique_ptr<chain_link>> chains_;
    bool store_is_silent_ = false; ///< Of the control thread.
    std::atomic<bool> ending_{false};
    std::atomic<bool> superseded_{false};
    bool leaving_ = false;
    std::thread loop_thread_;
    std::thread directory_thread_;
};

} // namespace flamingoseam::node
