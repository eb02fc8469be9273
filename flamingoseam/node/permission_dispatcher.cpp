#include "flamingoseam/node/permission_dispatcher.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/thread_times.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds delay_after_failure{500};

/// Maximum time until requests that the queue holds back are checked again.
constexpr milliseconds max_poll_delay{100};

} // namespace

permission_dispatcher::permission_dispatcher(permission_call_factory make_call,
                                             answer_handler handle_answer, call_observer observer)
    : make_call_(std::move(make_call)), answer_handler_(std::move(handle_answer)),
      observer_(std::move(observer))
{
}

permission_dispatcher::~permission_dispatcher()
{
    request_stop();
    for (const auto& slot : slots_) {
        slot->thread.join();
    }
}

void permission_dispatcher::request_stop()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    changed_.notify_all();
    work_pending_.notify_all();
}

std::size_t permission_dispatcher::open_slots() const
{
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(),
                                                  [](const auto& slot) { return !slot->ending; }));
}

void permission_dispatcher::set_nodes(const std::vector<std::string>& nodes)
{
    const std::lock_guard lock(mutex_);
    for (const auto& slot : slots_) {
        slot->ending = std::find(nodes.begin(), nodes.end(), slot->node) == nodes.end();
    }
    for (const auto& node : nodes) {
        const bool exists = std::any_of(slots_.begin(), slots_.end(),
                                        [&](const auto& slot) { return slot->node == node; });
        if (exists) {
            continue;
        }
        slots_.push_back(std::make_unique<call_slot>());
        auto& added = *slots_.back();
        added.node = node;
        added.thread = std::thread([this, &added] { run(added); });
    }
    changed_.notify_all();
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
        --load_.busy_slots;
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

std::optional<workflow::permission_request> permission_dispatcher::take_request(call_slot& slot)
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [&] { return ending_ || !slot.ending; });
        if (ending_) {
            return std::nullopt;
        }
        if (auto request = queue_.take(open_slots(), now())) {
            ++load_.busy_slots;
            return request;
        }
        if (queue_.size() == 0) {
            work_pending_.wait(lock);
        } else {
            work_pending_.wait_for(lock, max_poll_delay);
        }
    }
}

void permission_dispatcher::run(call_slot& slot)
{
    const auto call = make_call_(slot.node);
    thread_timer timer(thread_duty::permissions);
    while (auto request = take_request(slot)) {
        timer.update();
        const auto started = now();
        std::optional<std::vector<workflow::ticket_grant>> grants;
        try {
            grants = call(*request).grants;
        } catch (const error& cause) {
            LOG_EVERY_N(WARNING, 20)
                << "a permission request through " << slot.node << " failed: " << cause.what();
        }
        const bool failed = !grants;
        record_call(*request, started, !failed);
        answer_handler_(request->number, std::move(grants));
        {
            const std::lock_guard lock(mutex_);
            queue_.finish(*request);
        }
        if (failed) {
            work_pending_.notify_one(); // Another call slot may have to handle the queued requests.
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, delay_after_failure, [this] { return ending_; });
        }
    }
}

} // namespace flamingoseam::node
