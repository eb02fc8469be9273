#pragma once

#include "flamingoseam/node/worker_channel.hpp"
#include "flamingoseam/node/worker_io.hpp"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace flamingoseam::node {

/// Identifies a session with a worker. A worker that moves to another address gets a new one.
struct session_id {
    std::size_t worker = 0;
    std::uint64_t number = 0;
};

/// Receives the reports and answers of a worker. Called from the threads of the session's loops,
/// which serve other workers, too, so that no function may wait for long; and by calls that find
/// orders that are not sent. The results of orders concern the worker, everything else the session.
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

/// Number of fencing tokens of an owner for one worker. The owner uses a higher one for each
/// incarnation of the worker that it meets, so that a call that was meant for an earlier
/// incarnation and is carried out late has no effect in a later one.
inline constexpr std::uint64_t tokens_per_epoch = 1'000;

/// Options of a worker session.
struct worker_session_options {
    session_id id;
    std::uint64_t epoch = 0; ///< The owner's, plus the worker's token base.

    /// How many incarnations of the worker earlier sessions of this owner have met.
    std::uint64_t earlier_incarnations = 0;

    milliseconds lease{6'000}; ///< Length of the lease of all runs of the worker.

    /// The store says that the lease is not extended, so that it must not be before
    /// permit_renewal().
    bool is_renewal_withheld = false;

    /// When others than this session, such as an earlier owner, stop extending the lease;
    /// time_point::max() if that is not known yet.
    time_point earlier_renewals_end{};

    /// Until then an earlier owner may start runs on the worker if it restarts unseen.
    time_point earlier_starts_end{};

    /// Upper limit of the poll wait until `earlier_starts_end`, so that the worker is asked again
    /// soon after the earlier owner has ended.
    milliseconds recovery_poll_wait{250};
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

namespace detail {

/// An order that was sent and has no result yet.
struct sent_order {
    bool is_start = false;
    start_call call; ///< Of a stop, only the name of the run.
    time_point sent_at{};
    bool is_repeated = false;
};

/// A result of a start that the listener has not received yet.
struct start_result {
    workflow::run_name name;
    workflow::start_outcome outcome = workflow::start_outcome::unknown;
};

} // namespace detail

/// Communication of an owner with one worker: a connection for orders and one for the long poll
/// that renews the lease and receives reports, each on an I/O loop that serves other workers, too.
class worker_session {
public:
    worker_session(worker_session_options options, const workflow::worker_entry& entry,
                   const worker_loops& loops, const worker_channel_factory& channels,
                   worker_listener& listener);

    /// Cancels a poll in flight and waits for the answer to an order in flight. Not to be called on
    /// the thread of a loop.
    ~worker_session();

    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    /// Sends an order to start a run. The listener receives exactly one result, also when the
    /// session ends before the order is sent.
    void start(workflow::start_order order);

    /// Sends an order to stop a run, once if it is repeated while it waits to be sent. The start of
    /// that run is not sent any more. Complexity: linear in the waiting orders.
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

    /// Sets when an earlier owner stops renewing the lease, if that was not known or is earlier
    /// than was known.
    void set_earlier_renewals_end(time_point end);

    /// Requests a report at `time`: a poll that starts before `time` ends by then.
    void expect_report(time_point time);

    /// Polls at once, as the worker is listed with a new incarnation. Has no effect if that
    /// incarnation, or a newer one, has reported.
    void expect_incarnation(std::int64_t incarnation);

    /// Returns how many incarnations of the worker this session and earlier ones have met.
    [[nodiscard]] std::uint64_t incarnations() const;

    /// Makes the session end soon, without waiting for that.
    void request_stop();

    /// Ends the session of a worker that another session, or another shard's owner, may use from
    /// now on. A higher token at the worker is no sign of a newer owner any more.
    void release();

    /// Checks whether no call is in flight and none will be, so that the destructor does not wait.
    [[nodiscard]] bool has_ended() const { return orders_.has_ended() && polls_.has_ended(); }

    [[nodiscard]] const workflow::worker_entry& entry() const { return entry_; }
    [[nodiscard]] std::uint64_t number() const { return options_.id.number; }

private:
    struct queued_start {
        workflow::start_order order;
        time_point queued_at;
    };

    void run_orders();
    void end_orders();
    std::optional<queued_start> take_start();
    std::optional<queued_start> take_start_of(const workflow::run_name& name);
    std::optional<workflow::run_name> take_stop();
    bool send_next_order();
    void prepare_start(queued_start start);
    void send_start();
    void send_stop();
    void send_order(const std::function<void(const worker_channel::order_handler&)>& send);
    void handle_order_answer();
    void handle_start_answer(call_result<order_answer> result);
    void handle_stop_answer(call_result<order_answer> result);
    bool is_connection_closed() const;
    bool may_start() const;
    void report_start(workflow::run_name name, workflow::start_outcome outcome);
    void deliver_start_result();
    void report_not_sent(const queued_start& start);
    void run_polls();
    void end_polls();
    void send_poll();
    renew_call next_poll();
    milliseconds next_wait();
    milliseconds most_wait() const;
    void handle_poll_answer();
    void handle_renewal(renew_answer answer);
    void handle_lost_poll();
    void record_failed_poll();
    void cancel_poll();
    [[nodiscard]] std::int64_t end_to_await(const std::vector<workflow::ended_run>& ended);
    void wait_until_stored(std::int64_t end);
    bool is_waiting_for_storage();
    void pause_polls(milliseconds length) { next_poll_ = now() + length; }
    [[nodiscard]] bool has_lease_expired(time_point time) const;
    void set_unreachable(bool unreachable);
    void report_fenced(std::uint64_t sent_token);
    worker_time extend_lease();
    std::uint64_t token() const;
    void begin_incarnation();
    void record_clock(worker_time clock);

    worker_session_options options_;
    workflow::worker_entry entry_;
    worker_listener& listener_;
    const worker_channel_factory channels_;
    io_loop& poll_loop_;
    mutable std::mutex mutex_;
    std::deque<queued_start> starts_;
    std::deque<workflow::run_name> stops_;
    lease_clock clock_;
    std::int64_t incarnation_ = 0;
    std::int64_t listed_incarnation_ = 0; ///< The newest one that was expected to report.
    std::uint64_t incarnations_;          ///< How many incarnations were met.
    std::int64_t forget_up_to_ = 0;
    std::int64_t listed_end_ = 0; ///< Highest number of an end in the last report; 0 if none.
    /// When the incarnation was noticed. What was asked for before may come from an earlier one.
    time_point incarnation_noticed_{};
    int reports_ = 0; ///< How many were asked for and received since then.

    /// Number of the end that must be stored before the next poll; 0 when the poll does not wait.
    std::int64_t awaited_end_ = 0;

    bool unreachable_;
    time_point silent_since_; ///< When the worker was last found to be silent.
    bool may_renew_;          ///< No stored record says that the lease is not renewed.
    std::optional<time_point> report_expected_;
    bool has_runs_ = true; ///< According to the last report, or a start was ordered since.
    time_point earlier_renewals_end_; ///< An earlier owner does not extend the lease after this.
    std::atomic<bool> ending_{false};
    std::atomic<bool> released_{false};

    // Used on the loop for orders only.
    std::unique_ptr<worker_channel> order_channel_;
    bool is_stop_next_ =
        true; ///< Stops and starts take turns, so that neither waits for all others.
    std::optional<detail::sent_order> sent_order_;
    std::optional<call_result<order_answer>> order_result_; ///< Not handled yet.
    std::optional<detail::start_result> unreported_start_;

    // Used on the loop for polls only.
    std::unique_ptr<worker_channel> poll_channel_;
    bool is_poll_sent_ = false; ///< The result of a poll has not been handled yet.
    time_point asked_{};        ///< When the last poll was sent.
    time_point answer_due_{};   ///< When its timeout is over.
    std::uint64_t asked_token_ = 0;
    bool is_poll_repeated_ = false; ///< The connection of the poll before was closed.
    std::atomic<bool> poll_at_once_{false};
    time_point answered_asked_{}; ///< When the poll was sent that the worker has answered last.
    std::optional<call_result<renew_answer>> poll_result_; ///< Not handled yet.
    time_point next_poll_{};                               ///< No poll is sent before.
    time_point storage_wait_end_{};
    milliseconds retry_delay_;
    bool emptied_ = false;

    io_activity orders_;
    io_activity polls_;
};

} // namespace flamingoseam::node
