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

/// Hears what a worker says. Calls come from the session's threads.
class worker_listener {
public:
    virtual ~worker_listener() = default;
    virtual void on_report(std::size_t worker, workflow::worker_report report) = 0;
    virtual void on_start(std::size_t worker, const workflow::run_name& name,
                          workflow::start_outcome outcome) = 0;
    virtual void on_stop(std::size_t worker, const workflow::run_name& name) = 0;
    virtual void on_unreachable_changed(std::size_t worker, bool unreachable) = 0;

    /// Nothing runs on the worker any more, for certain.
    virtual void on_emptied(std::size_t worker) = 0;

    /// The worker obeys a newer owner.
    virtual void on_fenced(std::size_t worker) = 0;
};

/// How a session speaks to its worker.
struct worker_session_options {
    std::size_t worker = 0;
    std::uint64_t epoch = 0;
    milliseconds lease{6'000};        ///< Of everything that runs there.
    milliseconds poll_wait{800};      ///< How long the worker holds a poll without news.
    milliseconds answer_timeout{500}; ///< Beyond the wait.
    milliseconds order_timeout{600};  ///< Of a start or stop.
    milliseconds oldest_start{1'000}; ///< A start that was queued longer is not sent.
    milliseconds least_wait{80};      ///< The same when a report is needed soon.
    milliseconds spacing{50};         ///< After a report with ends, so that others join it.
    milliseconds settle_wait{250};    ///< How long a poll waits for ends to be stored.
};

/// What is known of a worker's clock and of the lease of what runs there.
class lease_clock {
public:
    /// Takes in a worker's time that was read between `sent` and `received`.
    void note(worker_time clock, time_point received);

    [[nodiscard]] bool is_known() const { return known_; }

    /// Returns the time to which a lease of `length` from now runs, and remembers it.
    worker_time extend(milliseconds length, time_point time);

    /// Tells whether every lease has certainly run out, although the worker's clock may be slow.
    [[nodiscard]] bool has_lapsed(time_point time) const;

private:
    bool known_ = false;
    worker_time clock_{0};
    time_point received_{};
    worker_time leased_until_{0};
};

/// One owner's way to one worker: a connection for orders and one for the long poll that renews the
/// lease and brings reports. Threads of its own.
class worker_session {
public:
    worker_session(worker_session_options options, const workflow::worker_entry& entry,
                   const worker_channel_factory& channels, worker_listener& listener);

    /// Stops both threads; waits for the calls under way.
    ~worker_session();

    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    void start(workflow::start_order order);
    void stop(const workflow::stop_order& order);

    /// The worker may forget its ends up to a number.
    void forget(const workflow::forget_order& order);

    /// A report is needed at `time`: a poll that begins before ends by then.
    void expect_report(time_point time);

    /// Makes the threads end soon, without waiting for them.
    void request_end();

    /// Tells whether both threads have ended, so that the destructor will not wait.
    [[nodiscard]] bool has_ended() const { return running_threads_ == 0; }

    [[nodiscard]] const workflow::worker_entry& entry() const { return entry_; }

private:
    struct queued_start {
        workflow::start_order order;
        time_point queued;
    };

    void run_orders();
    void send_start(const queued_start& one);
    void send_stop(const workflow::run_name& name);
    void run_polls();
    bool poll();
    milliseconds next_wait();
    void take_answer(renew_answer answer, time_point asked);
    void note_failed_poll();
    void wait_until_settled(std::int64_t newest_end);
    void pause(milliseconds length);
    void set_unreachable(bool unreachable);
    bool is_unreachable();
    worker_time extend_lease();
    void note_clock(worker_time clock);

    worker_session_options options_;
    workflow::worker_entry entry_;
    worker_listener& listener_;
    std::unique_ptr<worker_channel> order_channel_;
    std::unique_ptr<worker_channel> poll_channel_;
    std::mutex mutex_;
    std::condition_variable orders_changed_; ///< For the thread of orders.
    std::condition_variable polls_changed_;  ///< For the thread of polls.
    std::deque<queued_start> starts_;
    std::deque<workflow::run_name> stops_;
    lease_clock clock_;
    std::int64_t incarnation_ = 0;
    std::int64_t forget_up_to_ = 0;
    std::int64_t awaited_end_ = 0; ///< The poll waits until the worker may forget it; 0 for none.
    bool unreachable_ = false;
    bool emptied_ = false;
    std::optional<time_point> report_expected_;
    time_point began_;
    milliseconds next_pause_;
    std::atomic<bool> ending_{false};
    std::atomic<int> running_threads_{2};
    std::thread order_thread_;
    std::thread poll_thread_;
};

} // namespace flamingoseam::node
