#include "flamingoseam/node/worker_session.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/thread_times.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr double min_clock_rate = 0.98; ///< A worker's clock may be up to 2 % slow.
constexpr milliseconds expiry_margin{150};
constexpr milliseconds initial_retry_delay{50};
constexpr milliseconds max_retry_delay{500};
constexpr milliseconds clock_difference{1'000}; ///< Between the wall clocks of two owners.
constexpr milliseconds rejection_delay{1'000};
/// Answers on different connections may arrive in another order within this time.
constexpr milliseconds max_answer_reordering{1'000};

worker_time elapsed_on_slow_clock(time_point since, time_point time)
{
    const auto elapsed = std::chrono::duration<double, std::milli>(time - since);
    return worker_time(static_cast<std::int64_t>(elapsed.count() * min_clock_rate));
}

} // namespace

void lease_clock::record(worker_time clock, time_point received)
{
    if (known_ && clock < clock_) {
        return; // Answers arrived out of order, or a new incarnation whose leases start again.
    }
    if (!known_) {
        leased_until_ = clock + max_lease_;
    }
    known_ = true;
    clock_ = clock;
    received_ = received;
}

bool lease_clock::has_restarted(worker_time clock) const
{
    return known_ && clock + max_answer_reordering < clock_;
}

worker_time lease_clock::extend(milliseconds length, time_point time)
{
    if (!known_) {
        return worker_time(0);
    }
    const auto passed = std::chrono::duration_cast<milliseconds>(time - received_);
    leased_until_ = std::max(leased_until_, clock_ + passed + length);
    return leased_until_;
}

bool lease_clock::has_expired(time_point time) const
{
    return known_ &&
           clock_ + elapsed_on_slow_clock(received_, time) > leased_until_ + expiry_margin;
}

worker_session::worker_session(worker_session_options options, const workflow::worker_entry& entry,
                               const worker_channel_factory& channels, worker_listener& listener)
    : options_(options), entry_(entry), listener_(listener), order_channel_(channels(entry)),
      poll_channel_(channels(entry)), clock_(options.lease), incarnation_(entry.incarnation),
      unreachable_(options.silent_for.has_value()),
      silent_since_(now() - std::clamp(options.silent_for.value_or(milliseconds(0)), -options.lease,
                                       options.lease)),
      may_renew_(!unreachable_),
      earlier_renewals_end_(unreachable_ ? silent_since_ + clock_difference
                                         : std::max(now(), options.earlier_renewals_end)),
      retry_delay_(initial_retry_delay)
{
    order_thread_ = std::thread([this] {
        run_orders();
        withdraw_starts(); // No more are queued, since the session is ending.
        --running_threads_;
    });
    poll_thread_ = std::thread([this] {
        run_polls();
        --running_threads_;
    });
}

worker_session::~worker_session()
{
    request_stop();
    order_thread_.join();
    poll_thread_.join();
}

void worker_session::request_stop()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    orders_changed_.notify_one();
    polls_changed_.notify_one();
}

void worker_session::release()
{
    released_ = true;
    request_stop();
}

void worker_session::report_fenced()
{
    if (!released_) {
        listener_.on_fenced(options_.id.worker);
    }
}

void worker_session::start(workflow::start_order order)
{
    queued_start start{std::move(order), now()};
    std::unique_lock lock(mutex_);
    if (ending_) {
        lock.unlock();
        report_not_sent(start);
        return;
    }
    starts_.push_back(std::move(start));
    has_runs_ = true;
    lock.unlock();
    orders_changed_.notify_one();
}

void worker_session::stop(const workflow::stop_order& order)
{
    {
        const std::lock_guard lock(mutex_);
        if (std::ranges::find(stops_, order.name) != stops_.end()) {
            return;
        }
        stops_.push_back(order.name);
    }
    orders_changed_.notify_one();
}

void worker_session::withdraw_starts()
{
    std::deque<queued_start> withdrawn;
    {
        const std::lock_guard lock(mutex_);
        withdrawn.swap(starts_);
    }
    for (const auto& start : withdrawn) {
        report_not_sent(start);
    }
}

void worker_session::report_not_sent(const queued_start& start)
{
    listener_.on_start(options_.id.worker, start.order.name, workflow::start_outcome::not_sent);
}

void worker_session::forget(const workflow::forget_order& order)
{
    {
        const std::lock_guard lock(mutex_);
        if (order.incarnation == incarnation_) {
            forget_up_to_ = std::max(forget_up_to_, order.up_to);
        }
        if (awaited_end_ == 0 || forget_up_to_ < awaited_end_) {
            return;
        }
    }
    polls_changed_.notify_one();
}

void worker_session::permit_renewal(time_point silent_since)
{
    const std::lock_guard lock(mutex_);
    may_renew_ = may_renew_ || (!unreachable_ && silent_since == silent_since_);
}

void worker_session::set_earlier_renewals_end(time_point end)
{
    const std::lock_guard lock(mutex_);
    if (earlier_renewals_end_ == time_point::max()) {
        earlier_renewals_end_ = end;
    }
}

void worker_session::expect_report(time_point time)
{
    const std::lock_guard lock(mutex_);
    report_expected_ = time;
}

void worker_session::run_orders()
{
    thread_timer timer(thread_duty::orders);
    bool is_stop_next = true; // Stops and starts take turns, so that neither waits for all others.
    std::unique_lock lock(mutex_);
    while (!ending_) {
        timer.update();
        if (!stops_.empty() && (is_stop_next || starts_.empty())) {
            const auto name = std::move(stops_.front());
            stops_.pop_front();
            lock.unlock();
            send_stop(name);
            lock.lock();
            is_stop_next = false;
        } else if (!starts_.empty()) {
            const auto start = std::move(starts_.front());
            starts_.pop_front();
            lock.unlock();
            send_start(start);
            lock.lock();
            is_stop_next = true;
        } else {
            orders_changed_.wait(lock);
        }
    }
}

/// Sends an order to start a run, and once more if its connection turns out to be closed and runs
/// may still be started.
order_answer worker_session::call_start(const start_call& call)
{
    const auto sent_at = now();
    try {
        return order_channel_->start(call, options_.order_timeout);
    } catch (const transport_error&) {
        const bool is_closed = now() - sent_at < options_.order_timeout / 2;
        if (!is_closed || !listener_.may_start()) {
            throw;
        }
    }
    return order_channel_->start(call, options_.order_timeout);
}

void worker_session::send_start(const queued_start& start)
{
    const auto& order = start.order;
    const auto lease_until = extend_lease();
    const bool is_late = now() - start.queued_at > options_.max_start_age;
    if (is_late || lease_until == worker_time(0) || !listener_.may_start()) {
        report_not_sent(start);
        return;
    }
    try {
        const auto answer = call_start({.name = order.name,
                                        .payload = order.payload,
                                        .checkpoint = order.checkpoint,
                                        .ticket = order.ticket,
                                        .epoch = options_.epoch,
                                        .lease_until = lease_until});
        record_clock(answer.clock);
        if (answer.outcome == workflow::start_outcome::fenced) {
            report_fenced(); // First, so that the run is not assigned again.
        }
        listener_.on_start(options_.id.worker, order.name, answer.outcome);
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 50) << "worker did not answer a start order: " << cause.what();
        listener_.on_start(options_.id.worker, order.name, workflow::start_outcome::unknown);
    }
}

void worker_session::send_stop(const workflow::run_name& name)
{
    try {
        const auto answer = order_channel_->stop(name, options_.epoch, options_.order_timeout);
        record_clock(answer.clock);
        if (answer.outcome == workflow::start_outcome::started) {
            listener_.on_stop(options_.id.worker, name);
        } else if (answer.outcome == workflow::start_outcome::fenced) {
            report_fenced();
        }
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 50) << "worker did not answer a stop order, which is sent again: "
                                 << cause.what();
    }
}

/// Returns until when the worker's runs are leased, or 0 if the lease must not be extended. That of
/// an unreachable worker is not, so that it is known when no runs are left.
worker_time worker_session::extend_lease()
{
    const auto time = now(); // Before the question, since the process may be paused in between.
    const bool may_renew = listener_.may_renew();
    const std::lock_guard lock(mutex_);
    return may_renew && may_renew_ ? clock_.extend(options_.lease, time) : worker_time(0);
}

void worker_session::record_clock(worker_time clock)
{
    if (clock != worker_time(0)) {
        const std::lock_guard lock(mutex_);
        if (clock_.has_restarted(clock)) {
            forget_up_to_ = 0;
        }
        clock_.record(clock, now());
    }
}

void worker_session::run_polls()
{
    thread_timer timer(thread_duty::polls);
    while (!ending_) {
        timer.update();
        if (!poll()) {
            pause(retry_delay_);
        }
    }
}

bool worker_session::poll()
{
    renew_call call{.epoch = options_.epoch, .lease_until = extend_lease()};
    {
        const std::lock_guard lock(mutex_);
        // After an unanswered poll a new incarnation may answer, whose ends have the same numbers.
        call.forget_up_to = unreachable_ ? 0 : forget_up_to_;
        call.wait = clock_.is_known() ? next_wait() : milliseconds(0);
    }
    const auto asked = now();
    try {
        auto answer = poll_channel_->renew(call, call.wait + options_.answer_timeout);
        record_clock(answer.clock);
        handle_answer(std::move(answer), asked);
        return true;
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 50) << "worker did not answer a poll: " << cause.what();
        record_failed_poll();
        return false;
    }
}

milliseconds worker_session::next_wait()
{
    if (!may_renew_) {
        return options_.min_poll_wait; // The lease should be renewed soon.
    }
    if (!report_expected_) {
        const bool is_idle = !has_runs_ && listener_.may_start();
        return is_idle ? options_.idle_poll_wait : options_.poll_wait;
    }
    const auto left = std::chrono::ceil<milliseconds>(*report_expected_ - now());
    report_expected_.reset();
    return std::clamp(left, options_.min_poll_wait, options_.poll_wait);
}

void worker_session::handle_answer(renew_answer answer, time_point asked)
{
    using kind = renew_answer::kind;
    if (answer.outcome == kind::fenced) {
        report_fenced();
        pause(rejection_delay);
        return;
    }
    if (answer.outcome == kind::wrong_incarnation) {
        set_unreachable(true);
        listener_.on_emptied(options_.id, workflow::emptied_reason::replaced);
        pause(rejection_delay);
        return;
    }
    if (answer.outcome == kind::refused) {
        record_failed_poll();
        pause(max_retry_delay);
        return;
    }
    retry_delay_ = initial_retry_delay;
    {
        const std::lock_guard lock(mutex_);
        emptied_ = false;
        has_runs_ = !answer.report.present.empty() || !answer.report.ended.empty();
        if (answer.report.incarnation != 0 && answer.report.incarnation != incarnation_) {
            incarnation_ = answer.report.incarnation;
            forget_up_to_ = 0;
            clock_ = lease_clock(options_.lease);
            clock_.record(answer.clock, now());
        }
    }
    const auto newest_end =
        answer.report.ended.empty() ? std::int64_t{0} : answer.report.ended.back().number;
    answer.report.asked = asked;
    set_unreachable(false);
    listener_.on_report(options_.id, std::move(answer.report));
    wait_until_stored(newest_end);
}

void worker_session::wait_until_stored(std::int64_t newest_end)
{
    if (newest_end == 0) {
        return;
    }
    std::unique_lock lock(mutex_);
    awaited_end_ = newest_end;
    polls_changed_.wait_for(lock, options_.storage_wait,
                            [&] { return ending_ || forget_up_to_ >= newest_end; });
    awaited_end_ = 0;
    if (!report_expected_) {
        polls_changed_.wait_for(lock, options_.report_spacing, [this] { return ending_.load(); });
    }
}

void worker_session::record_failed_poll()
{
    set_unreachable(true);
    retry_delay_ = std::min(2 * retry_delay_, max_retry_delay);
    bool expired = false;
    {
        const std::lock_guard lock(mutex_);
        const auto time = now();
        const auto max_earlier_lease = scaled(options_.lease, 1 / min_clock_rate) + expiry_margin;
        expired =
            !emptied_ && (clock_.is_known() ? clock_.has_expired(time)
                                            : time > earlier_renewals_end_ &&
                                                  time - earlier_renewals_end_ > max_earlier_lease);
        emptied_ = emptied_ || expired;
    }
    if (expired) {
        listener_.on_emptied(options_.id, workflow::emptied_reason::lease_expired);
    }
}

void worker_session::set_unreachable(bool unreachable)
{
    time_point silent_since;
    {
        const std::lock_guard lock(mutex_);
        if (unreachable_ == unreachable) {
            return;
        }
        unreachable_ = unreachable;
        if (unreachable) {
            may_renew_ = false;
            silent_since_ = now();
        }
        silent_since = silent_since_;
    }
    listener_.on_unreachable_changed(options_.id, unreachable, silent_since);
}

void worker_session::pause(milliseconds length)
{
    std::unique_lock lock(mutex_);
    polls_changed_.wait_for(lock, length, [this] { return ending_.load(); });
}

} // namespace flamingoseam::node
