#pragma once

#include "flamingoseam/node/worker_channel.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace flamingoseam::node {

/// Identifies a session with a worker. A worker that moves to another address gets a new one.
struct session_id {
    std::size_t worker = 0;
    std::uint64_t number = 0;
};

/// Receives the reports and answers of a worker. Called from the threads of the session, and by
/// calls that find orders that are not sent. The results of orders concern the worker, everything
/// else the session.
class worker_listener {
public:
    virtual ~worker_listener() = default;
    virtual void on_report(const session_id& session, workflow::worker_report report) = 0;
    virtual void on_start(std::size_t worker, const workflow::run_name& name,
                          workflow::start_outcome outcome) = 0;
    virtual void on_stop(std::size_t worker, const workflow::run_name& name) = 0;

    /// Called when the worker stops answering polls or answers again. The session has not extended
    /// the worker's lease since `silent_since` and does so only after permit_renewal().
    virtual void on_unreachable_changed(const session_id& session, bool unreachable,
                                        time_point silent_since) = 0;

    /// Called when it is certain that no runs are left on the worker.
    virtual void on_emptied(const session_id& session, workflow::emptied_reason reason) = 0;

    /// Called when the worker has accepted the epoch of a newer owner.
    virtual void on_fenced(std::size_t worker) = 0;

    /// Returns whether runs may be started now. Asked right before each order is sent, since much
    /// time may have passed after the decision.
    [[nodiscard]] virtual bool may_start() const = 0;

    /// Returns whether leases of workers may be extended now.
    [[nodiscard]] virtual bool may_renew() const = 0;
};

/// Options of a worker session.
struct worker_session_options {
    session_id id;
    std::uint64_t epoch = 0;
    milliseconds lease{6'000}; ///< Length of the lease of all runs of the worker.

    /// For how long the lease has not been renewed, if the worker is known to be silent; negative
    /// if an earlier owner may still renew it for that long.
    std::optional<milliseconds> silent_for = std::nullopt;

    /// When an earlier owner stops renewing the lease; time_point::max() if that is not known yet.
    time_point earlier_renewals_end{};

    milliseconds poll_wait{800};        ///< How long the worker holds a poll when it has no news.
    milliseconds idle_poll_wait{1'800}; ///< The same while the worker has no runs.
    milliseconds answer_timeout{500};   ///< Time for the answer to a poll, beyond the wait.
    milliseconds order_timeout{600};    ///< Timeout of a start or stop.
    milliseconds max_start_age{1'000};  ///< A start that was queued for longer is not sent.
    milliseconds min_poll_wait{80}; ///< Lower limit of the poll wait when a report is needed soon.

    /// Delay after a report that contains ends of runs, so that the next report combines several.
    milliseconds report_spacing{50};

    /// How long a poll waits for the ends reported last to be stored.
    milliseconds storage_wait{250};
};

/// Tracks a worker's clock and the lease of the worker's runs.
class lease_clock {
public:
    /// `max_lease` is the longest lease that an earlier owner may have granted.
    explicit lease_clock(milliseconds max_lease) : max_lease_(max_lease) {}

    /// Records a time of the worker's clock that was received at `received`.
    void record(worker_time clock, time_point received);

    [[nodiscard]] bool is_known() const { return known_; }

    /// Checks whether a time is so much earlier than the last one that the worker has restarted.
    [[nodiscard]] bool has_restarted(worker_time clock) const;

    /// Extends the lease to `length` after `time` and returns when it ends on the worker's clock,
    /// or 0 when that clock is not known.
    worker_time extend(milliseconds length, time_point time);

    /// Checks whether every lease has certainly expired, even if the worker's clock is slow.
    [[nodiscard]] bool has_expired(time_point time) const;

private:
    milliseconds max_lease_;
    bool known_ = false;
    worker_time clock_{0};
    time_point received_{};
    worker_time leased_until_{0};
};

/// Communication of an owner with one worker: a connection for orders and one for the long poll
/// that renews the lease and receives reports, each with a thread of its own.
class worker_session {
public:
    worker_session(worker_session_options options, const workflow::worker_entry& entry,
                   const worker_channel_factory& channels, worker_listener& listener);

    /// Stops both threads and waits for the calls in flight.
    ~worker_session();

    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    /// Sends an order to start a run. The listener receives exactly one result, also when the
    /// session ends before the order is sent.
    void start(workflow::start_order order);

    /// Sends an order to stop a run, once if it is repeated while it waits to be sent. Complexity:
    /// linear in the waiting stops.
    void stop(const workflow::stop_order& order);

    /// Reports all starts that are still queued as not sent, since the worker leaves or has
    /// left.
    void withdraw_starts();

    /// Lets the worker forget the ends of runs up to a number with the next poll.
    void forget(const workflow::forget_order& order);

    /// Lets the session extend the lease of the worker, which was silent since `silent_since` and
    /// answers again. To be called once no stored record says any more that the lease is not
    /// renewed. Has no effect if the worker has become silent again.
    void permit_renewal(time_point silent_since);

    /// Sets when an earlier owner stops renewing the lease, if that was not known.
    void set_earlier_renewals_end(time_point end);

    /// Requests a report at `time`: a poll that starts before `time` ends by then.
    void expect_report(time_point time);

    /// Makes the threads end soon, without waiting for them.
    void request_stop();

    /// Ends the session of a worker that another shard's owner may use from now on. A higher epoch
    /// at the worker is no sign of a newer owner any more.
    void release();

    /// Checks whether both threads have ended, so that the destructor does not wait.
    [[nodiscard]] bool has_ended() const { return running_threads_ == 0; }

    [[nodiscard]] const workflow::worker_entry& entry() const { return entry_; }
    [[nodiscard]] std::uint64_t number() const { return options_.id.number; }

private:
    struct queued_start {
        workflow::start_order order;
        time_point queued_at;
    };

    void run_orders();
    void send_start(const queued_start& start);
    order_answer call_start(const start_call& call);
    void report_not_sent(const queued_start& start);
    void send_stop(const workflow::run_name& name);
    void run_polls();
    bool poll();
    milliseconds next_wait();
    void handle_answer(renew_answer answer, time_point asked);
    void record_failed_poll();
    void wait_until_stored(std::int64_t newest_end);
    void pause(milliseconds length);
    void set_unreachable(bool unreachable);
    void report_fenced();
    worker_time extend_lease();
    void record_clock(worker_time clock);

    worker_session_options options_;
    workflow::worker_entry entry_;
    worker_listener& listener_;
    std::unique_ptr<worker_channel> order_channel_;
    std::unique_ptr<worker_channel> poll_channel_;
    std::mutex mutex_;
    std::condition_variable orders_changed_; ///< Notifies the thread that sends orders.
    std::condition_variable polls_changed_;  ///< Notifies the thread that polls.
    std::deque<queued_start> starts_;
    std::deque<workflow::run_name> stops_;
    lease_clock clock_;
    std::int64_t incarnation_ = 0;
    std::int64_t forget_up_to_ = 0;

    /// Number of the end that must be stored before the next poll; 0 when the poll does not wait.
    std::int64_t awaited_end_ = 0;

    bool unreachable_;
    time_point silent_since_; ///< When the worker was last found to be silent.
    bool may_renew_;          ///< No stored record says that the lease is not renewed.
    bool emptied_ = false;
    std::optional<time_point> report_expected_;
    bool has_runs_ = true; ///< According to the last report, or a start was ordered since.
    time_point earlier_renewals_end_; ///< An earlier owner does not extend the lease after this.
    milliseconds retry_delay_;
    std::atomic<bool> ending_{false};
    std::atomic<bool> released_{false};
    std::atomic<int> running_threads_{2};
    std::thread order_thread_;
    std::thread poll_thread_;
};

} // namespace flamingoseam::node
