#include "flamingoseam/node/worker_session.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr double min_clock_rate = 0.98; ///< A worker's clock may be up to 2 % slow.
constexpr milliseconds expiry_margin{150};
constexpr milliseconds initial_retry_delay{50};
constexpr milliseconds max_retry_delay{500};
constexpr milliseconds rejection_delay{1'000};
/// Answers on different connections may arrive in another order within this time.
constexpr milliseconds max_answer_reordering{1'000};

worker_time elapsed_on_slow_clock(time_point since, time_point time)
{
    const auto elapsed = std::chrono::duration<double, std::milli>(time - since);
    return worker_time(static_cast<std::int64_t>(elapsed.count() * min_clock_rate));
}

/// To be called in a catch block.
void log_no_answer(const char* call) noexcept
{
    run_guarded("a warning", [call] {
        LOG_EVERY_N(WARNING, 50) << "worker did not answer " << call << ": "
                                 << describe_current_exception();
    });
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
                               const worker_loops& loops, const worker_channel_factory& channels,
                               worker_listener& listener)
    : options_(options), entry_(entry), listener_(listener), channels_(channels),
      poll_loop_(loops.polls), clock_(options.lease), incarnation_(entry.incarnation),
      incarnations_(options.earlier_incarnations), unreachable_(options.is_renewal_withheld),
      silent_since_(now()), may_renew_(!unreachable_),
      earlier_renewals_end_(options.earlier_renewals_end),
      order_channel_(channels(loops.orders, entry)), poll_channel_(channels(loops.polls, entry)),
      retry_delay_(initial_retry_delay),
      orders_(loops.orders, "sending orders to a worker", [this] { run_orders(); }),
      polls_(loops.polls, "polling a worker", [this] { run_polls(); })
{
    polls_.wake();
}

worker_session::~worker_session()
{
    run_until_done("the end of a worker's session", [this] { request_stop(); });
    orders_.wait_until_ended();
    polls_.wait_until_ended();
}

void worker_session::request_stop()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    orders_.wake();
    polls_.wake();
}

void worker_session::release()
{
    released_ = true;
    request_stop();
}

/// Passes on that the worker knows a higher token than one that was sent. It may be this session's
/// next one, which it got meanwhile.
void worker_session::report_fenced(std::uint64_t sent_token)
{
    if (!released_ && sent_token == token()) {
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
    orders_.wake();
}

void worker_session::stop(const workflow::stop_order& order)
{
    std::optional<queued_start> withdrawn;
    {
        const std::lock_guard lock(mutex_);
        withdrawn = take_start_of(order.name);
        if (std::ranges::find(stops_, order.name) == stops_.end()) {
            stops_.push_back(order.name);
        }
    }
    if (withdrawn) {
        report_not_sent(*withdrawn);
    }
    orders_.wake();
}

/// Takes the start of a run that is to be stopped, if it waits to be sent: the stop may be sent
/// before, and a next incarnation would not know of it. Requires the lock.
std::optional<worker_session::queued_start>
worker_session::take_start_of(const workflow::run_name& name)
{
    const auto found = std::ranges::find_if(
        starts_, [&name](const queued_start& start) { return start.order.name == name; });
    if (found == starts_.end()) {
        return std::nullopt;
    }
    std::optional<queued_start> start = std::move(*found);
    starts_.erase(found);
    return start;
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
        // Before the next incarnation has reported, the order may be meant for the earlier one.
        if (order.incarnation == incarnation_ && reports_ > 0) {
            forget_up_to_ = std::max(forget_up_to_, order.up_to);
        }
        if (awaited_end_ == 0 || forget_up_to_ < awaited_end_) {
            return;
        }
    }
    polls_.wake();
}

void worker_session::permit_renewal(time_point silent_since)
{
    const std::lock_guard lock(mutex_);
    may_renew_ = may_renew_ || (!unreachable_ && silent_since == silent_since_);
}

void worker_session::set_earlier_renewals_end(time_point end)
{
    const std::lock_guard lock(mutex_);
    earlier_renewals_end_ = std::min(earlier_renewals_end_, end);
}

std::uint64_t worker_session::token() const
{
    const std::lock_guard lock(mutex_);
    return options_.epoch * tokens_per_epoch + std::min(incarnations_, tokens_per_epoch - 1);
}

std::uint64_t worker_session::incarnations() const
{
    const std::lock_guard lock(mutex_);
    return incarnations_;
}

/// Forgets what concerns the earlier incarnation only. Requires the lock.
void worker_session::begin_incarnation()
{
    ++incarnations_;
    forget_up_to_ = 0;
    listed_end_ = 0;
    reports_ = 0;
    incarnation_noticed_ = now();
}

void worker_session::expect_incarnation(std::int64_t incarnation)
{
    {
        const std::lock_guard lock(mutex_);
        if (incarnation <= std::max(incarnation_, listed_incarnation_)) {
            return;
        }
        listed_incarnation_ = incarnation;
        begin_incarnation();
    }
    poll_at_once_ = true;
    polls_.wake();
}

void worker_session::expect_report(time_point time)
{
    const std::lock_guard lock(mutex_);
    report_expected_ = time;
}

void worker_session::run_orders()
{
    deliver_start_result(); // Again, if the listener has thrown an exception.
    if (order_result_) {
        handle_order_answer();
    }
    if (ending_) {
        end_orders();
        return;
    }
    while (!sent_order_ && send_next_order()) {
    }
}

/// Reports the starts that were not sent, and ends the orders once none is in flight.
void worker_session::end_orders()
{
    while (auto start = take_start()) {
        report_start(std::move(start->order.name), workflow::start_outcome::not_sent);
    }
    if (!sent_order_) {
        order_channel_.reset();
        orders_.end();
    }
}

/// Returns the start that has waited longest, none if there is none.
std::optional<worker_session::queued_start> worker_session::take_start()
{
    const std::lock_guard lock(mutex_);
    if (starts_.empty()) {
        return std::nullopt;
    }
    std::optional<queued_start> start = std::move(starts_.front());
    starts_.pop_front();
    return start;
}

/// Returns the stop that has waited longest if its turn has come, none otherwise.
std::optional<workflow::run_name> worker_session::take_stop()
{
    const std::lock_guard lock(mutex_);
    if (stops_.empty() || (!is_stop_next_ && !starts_.empty())) {
        return std::nullopt;
    }
    std::optional<workflow::run_name> name = std::move(stops_.front());
    stops_.pop_front();
    return name;
}

/// Takes the next order and sends it unless it must not be sent. Returns whether there was one.
bool worker_session::send_next_order()
{
    if (auto name = take_stop()) {
        is_stop_next_ = false;
        sent_order_.emplace();
        sent_order_->call.name = std::move(*name);
        send_stop();
        return true;
    }
    if (auto start = take_start()) {
        is_stop_next_ = true;
        prepare_start(std::move(*start));
        return true;
    }
    return false;
}

void worker_session::prepare_start(queued_start start)
{
    // The result if the order must not be sent, and after an exception.
    unreported_start_ = {.name = std::move(start.order.name),
                         .outcome = workflow::start_outcome::not_sent};
    const auto lease_until = extend_lease();
    const bool is_late = now() - start.queued_at > options_.max_start_age;
    if (is_late || lease_until == worker_time(0) || !listener_.may_start()) {
        deliver_start_result();
        return;
    }
    sent_order_ = {.is_start = true,
                   .call = {.name = std::move(unreported_start_->name),
                            .payload = std::move(start.order.payload),
                            .checkpoint = std::move(start.order.checkpoint),
                            .ticket = std::move(start.order.ticket),
                            .epoch = token(),
                            .lease_until = lease_until}};
    unreported_start_.reset();
    send_start();
}

void worker_session::send_start()
{
    send_order([this](const worker_channel::order_handler& handler) {
        order_channel_->start(sent_order_->call, options_.order_timeout, handler);
    });
}

void worker_session::send_stop()
{
    sent_order_->call.epoch = token();
    send_order([this](const worker_channel::order_handler& handler) {
        order_channel_->stop(sent_order_->call.name, sent_order_->call.epoch,
                             options_.order_timeout, handler);
    });
}

/// Calls `send` with the handler of an order's answer. An exception counts as an answer that did
/// not arrive, as the order may have been sent.
void worker_session::send_order(
    const std::function<void(const worker_channel::order_handler&)>& send)
{
    const auto handle = [this](call_result<order_answer> result) {
        order_result_.emplace(std::move(result));
        orders_.wake_after(milliseconds(0));
    };
    sent_order_->sent_at = now();
    try {
        send(handle);
    } catch (...) {
        handle(std::current_exception());
    }
}

void worker_session::handle_order_answer()
{
    auto result = std::move(*order_result_);
    order_result_.reset();
    if (sent_order_->is_start) {
        handle_start_answer(std::move(result));
    } else {
        handle_stop_answer(std::move(result));
    }
}

void worker_session::handle_start_answer(call_result<order_answer> result)
{
    // Not an answer that is assigned in the block: with optimization, GCC 12 leaves such an object
    // undefined after an exception.
    std::optional<order_answer> received;
    try {
        received = result.take();
    } catch (const transport_error&) {
        if (is_connection_closed() && may_start()) {
            sent_order_->is_repeated = true;
            send_start();
            return;
        }
        log_no_answer("a start order");
    } catch (...) {
        log_no_answer("a start order");
    }
    const auto answer = received.value_or(order_answer{}); // Otherwise of unknown outcome.
    record_clock(answer.clock);
    const auto token = sent_order_->call.epoch;
    unreported_start_ = {.name = std::move(sent_order_->call.name), .outcome = answer.outcome};
    sent_order_.reset();
    if (answer.outcome == workflow::start_outcome::fenced) {
        report_fenced(token); // First, so that the run is not assigned again.
    }
    deliver_start_result();
}

/// Checks whether the order in flight, which got no answer, may be sent once more, as its
/// connection has turned out to be closed.
bool worker_session::is_connection_closed() const
{
    return !sent_order_->is_repeated && now() - sent_order_->sent_at < options_.order_timeout / 2;
}

bool worker_session::may_start() const
{
    bool may_start = false;
    run_guarded("asking whether runs may be started",
                [this, &may_start] { may_start = listener_.may_start(); });
    return may_start;
}

void worker_session::report_start(workflow::run_name name, workflow::start_outcome outcome)
{
    unreported_start_ = {.name = std::move(name), .outcome = outcome};
    deliver_start_result();
}

void worker_session::deliver_start_result()
{
    if (unreported_start_) {
        listener_.on_start(options_.id.worker, unreported_start_->name, unreported_start_->outcome);
        unreported_start_.reset();
    }
}

void worker_session::handle_stop_answer(call_result<order_answer> result)
{
    std::optional<order_answer> received;
    try {
        received = result.take();
    } catch (...) {
        if (is_connection_closed()) {
            sent_order_->is_repeated = true;
            send_stop();
            return;
        }
        log_no_answer("a stop order, which is sent again");
    }
    const auto answer = received.value_or(order_answer{}); // Otherwise of unknown outcome.
    record_clock(answer.clock);
    const auto name = std::move(sent_order_->call.name);
    const auto token = sent_order_->call.epoch;
    sent_order_.reset();
    if (answer.outcome == workflow::start_outcome::started) {
        listener_.on_stop(options_.id.worker, name);
    } else if (answer.outcome == workflow::start_outcome::fenced) {
        report_fenced(token);
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
            begin_incarnation();
            // It may have taken the earlier incarnation's deadline for the longest lease.
            clock_ = lease_clock(options_.lease);
        }
        clock_.record(clock, now());
    }
}

void worker_session::run_polls()
{
    if (ending_) {
        end_polls();
        return;
    }
    if (poll_result_) {
        handle_poll_answer();
    }
    if (poll_at_once_.exchange(false)) {
        cancel_poll();
    }
    if (is_poll_sent_ || is_waiting_for_storage()) {
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(next_poll_ - now());
    if (left > milliseconds(0)) {
        polls_.wake_after(left);
    } else {
        send_poll();
    }
}

/// Ends the wait for the answer of an earlier incarnation and all delays.
void worker_session::cancel_poll()
{
    if (is_poll_sent_) {
        poll_channel_.reset();
        poll_channel_ = channels_(poll_loop_, entry_);
        is_poll_sent_ = false;
    }
    next_poll_ = now();
    const std::lock_guard lock(mutex_);
    awaited_end_ = 0;
}

void worker_session::end_polls()
{
    poll_channel_.reset(); // Cancels a poll in flight.
    polls_.end();
}

void worker_session::send_poll()
{
    asked_ = now(); // Before the call is made, as a restart may be noticed meanwhile.
    const auto call = next_poll();
    const auto handle = [this](call_result<renew_answer> result) {
        poll_result_.emplace(std::move(result));
        polls_.wake_after(milliseconds(0));
    };
    const auto timeout = call.wait + options_.answer_timeout;
    answer_due_ = asked_ + timeout;
    asked_token_ = call.epoch;
    is_poll_sent_ = true;
    try {
        poll_channel_->renew(call, timeout, handle);
    } catch (...) {
        handle(std::current_exception());
    }
}

renew_call worker_session::next_poll()
{
    renew_call call{.epoch = token(), .lease_until = extend_lease()};
    const std::lock_guard lock(mutex_);
    // After an unanswered poll a new incarnation may answer, whose ends have the same numbers.
    call.forget_up_to = unreachable_ || is_poll_repeated_ ? 0 : forget_up_to_;
    call.wait = clock_.is_known() ? next_wait() : milliseconds(0);
    return call;
}

void worker_session::handle_poll_answer()
{
    auto result = std::move(*poll_result_);
    poll_result_.reset();
    is_poll_sent_ = false;
    pause_polls(max_retry_delay); // After an exception of the listener.
    renew_answer answer;
    try {
        answer = result.take();
    } catch (...) {
        handle_lost_poll();
        return;
    }
    is_poll_repeated_ = false;
    record_clock(answer.clock);
    handle_renewal(std::move(answer));
}

/// Polls once more without delay if the connection has turned out to be closed, which need not mean
/// that the worker is gone.
void worker_session::handle_lost_poll()
{
    if (now() < answer_due_ && !is_poll_repeated_) {
        is_poll_repeated_ = true;
        next_poll_ = now();
        return;
    }
    is_poll_repeated_ = false;
    log_no_answer("a poll");
    record_failed_poll();
    pause_polls(retry_delay_);
}

/// Returns how long the next poll waits for news. Requires the lock.
milliseconds worker_session::next_wait()
{
    const bool is_confirmed =
        reports_ >= workflow::reports_until_certain &&
        (answered_asked_ >= options_.earlier_starts_end || now() < options_.earlier_starts_end);
    if (!may_renew_ || !is_confirmed) {
        return options_.min_poll_wait; // To renew the lease, or to confirm the last report, soon.
    }
    if (!report_expected_) {
        return most_wait();
    }
    const auto left = std::chrono::ceil<milliseconds>(*report_expected_ - now());
    report_expected_.reset();
    return std::clamp(left, options_.min_poll_wait, std::min(most_wait(), options_.poll_wait));
}

milliseconds worker_session::most_wait() const
{
    if (now() < options_.earlier_starts_end) {
        return options_.recovery_poll_wait;
    }
    const bool is_idle = !has_runs_ && listener_.may_start();
    return is_idle ? options_.idle_poll_wait : options_.poll_wait;
}

void worker_session::handle_renewal(renew_answer answer)
{
    using kind = renew_answer::kind;
    if (answer.outcome == kind::fenced) {
        report_fenced(asked_token_);
        pause_polls(asked_token_ == token() ? rejection_delay : milliseconds(0));
        return;
    }
    if (answer.outcome == kind::wrong_incarnation) {
        set_unreachable(true);
        listener_.on_emptied(options_.id, workflow::emptied_reason::replaced);
        pause_polls(rejection_delay);
        return;
    }
    if (answer.outcome == kind::refused) {
        record_failed_poll();
        pause_polls(max_retry_delay);
        return;
    }
    retry_delay_ = initial_retry_delay;
    emptied_ = false;
    {
        const std::lock_guard lock(mutex_);
        has_runs_ = !answer.report.present.empty() || !answer.report.ended.empty();
        if (answer.report.incarnation != 0 && answer.report.incarnation != incarnation_) {
            incarnation_ = answer.report.incarnation;
            begin_incarnation();
            incarnation_noticed_ = asked_; // This report shows it.
            clock_ = lease_clock(options_.lease);
            clock_.record(answer.clock, now());
        }
    }
    const auto awaited_end = end_to_await(answer.report.ended);
    answer.report.asked = asked_;
    answered_asked_ = asked_;
    set_unreachable(false);
    listener_.on_report(options_.id, std::move(answer.report));
    next_poll_ = now();
    wait_until_stored(awaited_end);
}

/// Records the ends in a report, and returns which one is acknowledged as soon as it is stored; 0
/// if none is, since another report has to show first that none with a lower number is missing.
std::int64_t worker_session::end_to_await(const std::vector<workflow::ended_run>& ended)
{
    std::int64_t newest = 0;
    for (const auto& end : ended) {
        newest = std::max(newest, end.number);
    }
    const std::lock_guard lock(mutex_);
    reports_ += asked_ >= incarnation_noticed_ ? 1 : 0;
    const auto listed_before = std::exchange(listed_end_, newest);
    const auto count = static_cast<std::int64_t>(ended.size());
    const bool follows_discarded = newest == forget_up_to_ + count; // No number is left out.
    return follows_discarded ? newest : std::min(newest, listed_before);
}

void worker_session::wait_until_stored(std::int64_t end)
{
    storage_wait_end_ = now() + options_.storage_wait;
    const std::lock_guard lock(mutex_);
    awaited_end_ = end;
}

/// Checks whether the next poll waits for ends to be stored. After that wait it is delayed, so that
/// its report combines several ends.
bool worker_session::is_waiting_for_storage()
{
    const std::lock_guard lock(mutex_);
    if (awaited_end_ == 0) {
        return false;
    }
    const auto left = std::chrono::ceil<milliseconds>(storage_wait_end_ - now());
    if (forget_up_to_ < awaited_end_ && left > milliseconds(0)) {
        polls_.wake_after(left);
        return true;
    }
    awaited_end_ = 0;
    if (!report_expected_) {
        pause_polls(options_.report_spacing);
    }
    return false;
}

void worker_session::record_failed_poll()
{
    set_unreachable(true);
    retry_delay_ = std::min(2 * retry_delay_, max_retry_delay);
    bool expired = false;
    {
        const std::lock_guard lock(mutex_);
        expired = !emptied_ && has_lease_expired(now());
    }
    if (expired) {
        listener_.on_emptied(options_.id, workflow::emptied_reason::lease_expired);
        emptied_ = true;
    }
}

/// Checks whether nothing runs on the silent worker any more. Requires `mutex_`.
bool worker_session::has_lease_expired(time_point time) const
{
    if (clock_.is_known() && !clock_.has_expired(time)) {
        return false;
    }
    if (clock_.is_known() && answered_asked_ >= options_.earlier_starts_end) {
        return true;
    }
    // An earlier owner may have started runs on it, also in a new life since its last answer.
    const auto max_earlier_lease = scaled(options_.lease, 1 / min_clock_rate) + expiry_margin;
    return time > earlier_renewals_end_ && time - earlier_renewals_end_ > max_earlier_lease;
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

} // namespace flamingoseam::node
