#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/worker/messages.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace flamingoseam {

/// Receives the events of a worker link. Its functions are called on the link's threads. After one
/// that throws, the link asks the worker for a report of all its tasks.
class worker_listener {
public:
    virtual ~worker_listener() = default;

    /// Called when the worker has accepted this owner's epoch and reported all of its tasks.
    virtual void on_report(const std::string& address, const command_response& report) = 0;

    /// Called when the result of a start is known.
    virtual void on_start_result(const std::string& address, const start_result& result) = 0;

    /// Called for each event of a task.
    virtual void on_event(const std::string& address, const task_event& event) = 0;

    /// Called when the worker's lease has certainly expired without a response from the worker.
    virtual void on_lost(const std::string& address) = 0;

    /// Called when the worker has seen a newer epoch, so this process no longer owns the shard.
    virtual void on_stale_epoch(const std::string& address, std::uint64_t newest_epoch) = 0;
};

/// The connection of a shard's owner to one of its workers.
class worker_link {
public:
    virtual ~worker_link() = default;

    /// Queues the start of a task; the listener receives the result.
    virtual void start(const task_start& task) = 0;

    /// Queues a request to stop, checkpoint or throttle a task.
    virtual void control(const task_control_request& request) = 0;

    /// Accepts starts again once the owner has processed a report. Until then starts are refused,
    /// because a start that is missing from the report must not be sent after it.
    virtual void resume() = 0;

    /// Requests the link's threads to stop. Unlike the destructor, does not wait for them.
    virtual void request_stop() = 0;
};

/// Options of a worker link.
struct worker_link_options {
    endpoint worker;
    std::string shard;
    std::string owner;
    std::uint64_t epoch = 0;
    milliseconds lease{6000};           ///< Duration of the lease of the worker's tasks.
    milliseconds poll_wait{500};        ///< Maximum time that a poll waits for events.
    milliseconds response_timeout{500}; ///< Added to `poll_wait`; then a new connection is tried.
};

/// A link over HTTP with two connections: one for commands, one for the long poll that receives
/// events and renews the lease. If a worker does not respond on a connection, the request is
/// retried on a new one. A worker is considered lost when its lease has certainly expired, which
/// follows from the time of its last response. A worker that never accepted this owner's epoch is
/// not considered lost, because an earlier owner may still be renewing its lease.
class http_worker_link : public worker_link {
public:
    /// Starts the link's threads; the first command fences the worker and requests its report.
    /// Throws resource_error if the system has no threads left.
    http_worker_link(const worker_link_options& options, worker_listener& listener);

    /// Stops both threads; waits for requests in flight.
    ~http_worker_link() override;

    http_worker_link(const http_worker_link&) = delete;
    http_worker_link& operator=(const http_worker_link&) = delete;

    void start(const task_start& task) override;
    void control(const task_control_request& request) override;
    void resume() override;
    void request_stop() override;

private:
    void run_commands();
    void send_commands();
    void run_events();
    void receive_events();
    void recover();
    bool send_report();
    void send_batch(worker_command command);
    // A refusal applies to the newest copy of a command only. An earlier copy may have been
    // delivered, or may still be; only a report tells whether its tasks were started.
    void handle_results(const command_response& response);
    void handle_refusal(const command_response& response);
    void refuse(const task_start& task, const std::string& reason);
    void require_report();
    void refuse_unsent_starts();
    void record_contact(std::uint64_t contact);
    void check_lost();
    void pause(milliseconds duration);
    worker_command make_command() const;
    command_response call(const worker_command& command);

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
    bool fenced_ = false; ///< The worker has accepted this owner's epoch, so no earlier owner
                          ///< can renew its lease.
    std::atomic<bool> stopping_{false};
    service_thread command_thread_;
    service_thread event_thread_;
};

} // namespace flamingoseam
