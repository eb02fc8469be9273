#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/worker/messages.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam {

/// Hears what a worker says. Calls come from the link's own threads.
class worker_listener {
public:
    virtual ~worker_listener() = default;

    /// The worker has accepted this owner's epoch and told all it holds.
    virtual void on_report(const std::string& address, const command_answer& report) = 0;
    virtual void on_start_result(const std::string& address, const start_result& result) = 0;
    virtual void on_event(const std::string& address, const task_event& event) = 0;

    /// The worker's lease has certainly lapsed without an answer.
    virtual void on_lost(const std::string& address) = 0;

    /// The worker has seen a newer epoch, so this process no longer owns the shard.
    virtual void on_stale(const std::string& address, std::uint64_t newest_epoch) = 0;
};

/// One owner's way to one worker.
class worker_link {
public:
    virtual ~worker_link() = default;

    /// Queues a start; its result comes to the listener.
    virtual void start(const task_start& task) = 0;

    /// Queues a stop, checkpoint or throttle.
    virtual void control(const task_stop& stop) = 0;

    /// Lets starts through after the owner has taken a report in; until then they are refused, for
    /// a start that the report does not know must not follow it.
    virtual void resume() = 0;

    /// Makes the link end soon, without waiting for it as the destructor does.
    virtual void request_stop() = 0;
};

/// How a link speaks to its worker.
struct worker_link_options {
    endpoint worker;
    std::string shard;
    std::string owner;
    std::uint64_t epoch = 0;
    milliseconds lease{6000};         ///< Of the worker's tasks.
    milliseconds poll_wait{500};      ///< How long the worker holds a poll without events.
    milliseconds answer_timeout{500}; ///< On top of the wait; then a new connection is tried.
};

/// A link over HTTP: one connection for commands, one for the long poll that brings events and
/// renews the lease. A worker that does not answer on one connection is asked on a new one. It
/// counts as lost when its lease has certainly lapsed, which is known from the time of its last
/// answer. A worker that never accepted our epoch is not lost that way, for an earlier owner may
/// still renew its lease.
class http_worker_link : public worker_link {
public:
    /// Starts the link's threads; the first command fences the worker and asks for its report.
    http_worker_link(const worker_link_options& options, worker_listener& listener);

    /// Stops both threads; waits for a request under way.
    ~http_worker_link() override;

    http_worker_link(const http_worker_link&) = delete;
    http_worker_link& operator=(const http_worker_link&) = delete;

    void start(const task_start& task) override;
    void control(const task_stop& stop) override;
    void resume() override;
    void request_stop() override;

private:
    void run_commands();
    void run_events();
    bool send_report();
    void send_batch(worker_command command);
    // A refusal answers the newest copy of a command. The connection may have delivered an earlier
    // one, or deliver it still; only a report settles what became of its starts.
    void take_results(const command_answer& answer);
    void take_refusal(const command_answer& answer);
    void refuse(const task_start& task, const std::string& reason);
    void need_report();
    void refuse_unsent();
    void note_contact(std::uint64_t contact);
    void check_lost();
    void pause(milliseconds length);
    worker_command make_command() const;
    command_answer call(const worker_command& command);

    worker_link_options options_;
    worker_listener& listener_;
    http_client command_client_;
    http_client event_client_;
    std::mutex mutex_;
    std::condition_variable changed_;
    worker_command pending_;
    std::string incarnation_;
    std::uint64_t last_event_ = 0;
    std::uint64_t session_ = 0;
    time_point last_contact_;
    std::uint64_t answered_ = 0;
    bool needs_report_ = true;
    bool accepts_starts_ = false;
    bool lost_ = false;
    bool fenced_ = false; ///< The worker has accepted our epoch once, so nobody else renews it.
    std::atomic<bool> stopping_{false};
    std::thread command_thread_;
    std::thread event_thread_;
};

} // namespace flamingoseam
