#include "flamingoseam/node/permission_dispatcher.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/thread_times.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace flamingoseam::node {

namespace {

/// Maximum time until requests that the queue holds back are checked again.
constexpr milliseconds max_poll_delay{100};
constexpr milliseconds failure_pause{100}; ///< After an exception that is no error of a call.
/// As many as 16 nodes have calls in flight. The calls of further nodes wait for a thread.
constexpr std::size_t max_threads = 64;

} // namespace

permission_dispatcher::permission_dispatcher(permission_call_factory make_call,
                                             answer_handler handle_answer, call_observer observer)
    : make_call_(std::move(make_call)), answer_handler_(std::move(handle_answer)),
      observer_(std::move(observer))
{
    threads_.reserve(max_threads); // So that a thread that has been started can always be kept.
    threads_.emplace_back("permissions", [this] { run(); });
}

permission_dispatcher::~permission_dispatcher()
{
    request_stop();
    for (auto& thread : threads_) {
        thread.join();
    }
}

void permission_dispatcher::request_stop()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    work_pending_.notify_all();
}

std::size_t permission_dispatcher::open_slots() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [](const auto& slot) { return !slot->ending; }));
}

std::size_t permission_dispatcher::busy_slots() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        slots_, [](const auto& slot) { return slot->pacer.calls_in_flight() > 0; }));
}

void permission_dispatcher::set_nodes(const std::vector<std::string>& nodes)
{
    {
        const std::lock_guard lock(mutex_);
        for (const auto& slot : slots_) {
            slot->ending = std::ranges::find(nodes, slot->node) == nodes.end();
        }
        for (const auto& node : nodes) {
            const bool exists =
                std::ranges::any_of(slots_, [&](const auto& slot) { return slot->node == node; });
            if (!exists) {
                slots_.push_back(std::make_unique<call_slot>(
                    call_slot{.node = node, .call = make_call_(node), .pacer = {}}));
            }
        }
    }
    work_pending_.notify_all();
}

void permission_dispatcher::enqueue(workflow::permission_request request)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.add(std::move(request));
    }
    work_pending_.notify_one();
}

permission_load permission_dispatcher::load(time_point time)
{
    const std::lock_guard lock(mutex_);
    auto load = load_;
    load.requests = queue_.size();
    load.oldest_age = queue_.oldest_age(time);
    load.call_slots = open_slots();
    load.busy_slots = busy_slots();
    return load;
}

void permission_dispatcher::record_call(const workflow::permission_request& request,
                                        time_point started, bool answered)
{
    const permission_timing timing{.priority = request.order.priority,
                                   .queue_time = started - request.asked,
                                   .call_time = now() - started,
                                   .answered = answered};
    {
        const std::lock_guard lock(mutex_);
        ++load_.calls;
        load_.call_time += timing.call_time;
    }
    if (observer_) {
        observer_(timing);
    }
}

void permission_dispatcher::withdraw(std::uint64_t number)
{
    const std::lock_guard lock(mutex_);
    queue_.drop(number);
}

/// Adds a thread, unless there are too many or the system has none left. To be called with the
/// mutex locked, which guards the list of threads.
void permission_dispatcher::add_thread_if_possible()
{
    if (ending_ || threads_.size() == max_threads) {
        return;
    }
    try {
        threads_.emplace_back("permissions", [this] { run(); });
    } catch (...) {
        LOG_EVERY_N(WARNING, 20) << "permission requests wait for a thread: "
                                 << describe_current_exception();
    }
}

/// Returns the open slot with the fewest calls in flight among those that may make a call now.
permission_dispatcher::call_slot* permission_dispatcher::find_ready_slot(time_point time) const
{
    const auto rank_of = [](const call_slot& slot) {
        return std::pair(slot.pacer.calls_in_flight(), slot.pacer.next_call());
    };
    call_slot* next = nullptr;
    for (const auto& slot : slots_) {
        const bool is_ready = !slot->ending && slot->pacer.next_call() <= time;
        if (is_ready && (next == nullptr || rank_of(*slot) < rank_of(*next))) {
            next = slot.get();
        }
    }
    return next;
}

/// Returns the time at which the queued requests must be checked again.
time_point permission_dispatcher::next_check(time_point time) const
{
    auto next = time + max_poll_delay;
    for (const auto& slot : slots_) {
        const auto next_call = slot->pacer.next_call();
        if (!slot->ending && next_call > time) {
            next = std::min(next, next_call);
        }
    }
    return next;
}

std::optional<permission_dispatcher::dispatched_call>
permission_dispatcher::find_call(time_point time)
{
    auto* slot = find_ready_slot(time);
    if (slot == nullptr) {
        return std::nullopt;
    }
    auto request = queue_.take(open_slots(), time);
    if (!request) {
        return std::nullopt;
    }
    return dispatched_call{.slot = slot, .request = std::move(*request)};
}

/// Waits until a call may be possible. Only one idle thread waits for the time of the next check.
/// `time` is when no call was possible.
void permission_dispatcher::wait_for_work(std::unique_lock<std::mutex>& lock, time_point time)
{
    const auto check = next_check(time);
    if (queue_.size() == 0 || next_check_ <= check) {
        work_pending_.wait(lock);
        return;
    }
    next_check_ = check;
    work_pending_.wait_until(lock, check);
    next_check_ = time_point::max();
}

/// Waits for the next call and records that it has begun. Returns none when the dispatcher ends.
std::optional<permission_dispatcher::dispatched_call> permission_dispatcher::take_call()
{
    std::unique_lock lock(mutex_);
    while (!ending_) {
        const auto time = now();
        auto next = find_call(time);
        if (!next) {
            wait_for_work(lock, time);
            continue;
        }
        next->slot->pacer.begin(next->request.service_time, time);
        if (++calls_in_flight_ == threads_.size()) {
            add_thread_if_possible();
        } else if (queue_.size() > 0) {
            work_pending_.notify_one();
        }
        return next;
    }
    return std::nullopt;
}

void permission_dispatcher::perform(const dispatched_call& next)
{
    const auto& request = next.request;
    const auto started = now();
    std::optional<std::vector<workflow::ticket_grant>> grants;
    run_guarded("a permission request", [&] { grants = call(next); });
    const bool answered = grants.has_value();
    run_guarded("the record of a permission request",
                [&] { record_call(request, started, answered); });
    pass_answer(request.number, grants);
    const std::lock_guard lock(mutex_);
    queue_.finish(request);
    next.slot->pacer.end(answered, now());
    --calls_in_flight_;
}

/// Makes a call. Returns none if there is no answer.
std::optional<std::vector<workflow::ticket_grant>>
permission_dispatcher::call(const dispatched_call& next)
{
    try {
        return next.slot->call(next.request).grants;
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 20) << "a permission request through " << next.slot->node
                                 << " failed: " << cause.what();
        return std::nullopt;
    }
}

/// Passes an answer on until no exception leaves its handler, or the dispatcher ends.
void permission_dispatcher::pass_answer(
    std::uint64_t number, const std::optional<std::vector<workflow::ticket_grant>>& grants)
{
    while (!run_guarded("a permission answer", [&] { answer_handler_(number, grants); }) &&
           !is_ending()) {
        std::this_thread::sleep_for(failure_pause);
    }
}

bool permission_dispatcher::is_ending()
{
    const std::lock_guard lock(mutex_);
    return ending_;
}

void permission_dispatcher::run()
{
    thread_timer timer(thread_duty::permissions);
    while (!is_ending()) {
        const bool has_ended = run_guarded("the dispatch of permission requests", [&] {
            if (const auto next = take_call()) {
                timer.update();
                perform(*next);
            }
        });
        if (!has_ended) {
            std::this_thread::sleep_for(failure_pause);
        }
    }
}

} // namespace flamingoseam::node
