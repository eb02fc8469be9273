#include "flamingoseam/node/permission_lanes.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds pause_after_failure{500};
constexpr milliseconds longest_wait{100}; ///< Of a request that the queue holds back.

} // namespace

permission_lanes::permission_lanes(permission_call_factory calls, on_answer answer,
                                   call_observer observer)
    : calls_(std::move(calls)), answer_(std::move(answer)), observer_(std::move(observer))
{
}

permission_lanes::~permission_lanes()
{
    request_end();
    for (const auto& one : lanes_) {
        one->thread.join();
    }
}

void permission_lanes::request_end()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    changed_.notify_all();
    work_waits_.notify_all();
}

std::size_t permission_lanes::open_lanes() const
{
    return static_cast<std::size_t>(
        std::count_if(lanes_.begin(), lanes_.end(), [](const auto& one) { return !one->ending; }));
}

void permission_lanes::set_nodes(const std::vector<std::string>& nodes)
{
    const std::lock_guard lock(mutex_);
    for (const auto& one : lanes_) {
        one->ending = std::find(nodes.begin(), nodes.end(), one->node) == nodes.end();
    }
    for (const auto& node : nodes) {
        const bool exists = std::any_of(lanes_.begin(), lanes_.end(),
                                        [&](const auto& one) { return one->node == node; });
        if (exists) {
            continue;
        }
        lanes_.push_back(std::make_unique<lane>());
        auto& added = *lanes_.back();
        added.node = node;
        added.thread = std::thread([this, &added] { run(added); });
    }
    changed_.notify_all();
    work_waits_.notify_all();
}

void permission_lanes::ask(workflow::permission_request request)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.add(std::move(request));
    }
    work_waits_.notify_one();
}

permission_load permission_lanes::load(time_point time)
{
    const std::lock_guard lock(mutex_);
    auto load = load_;
    load.requests = queue_.size();
    load.oldest = queue_.oldest_age(time);
    load.lanes = open_lanes();
    return load;
}

void permission_lanes::note_call(const workflow::permission_request& request, time_point began,
                                 bool answered)
{
    const permission_timing timing{.priority = request.order.priority,
                                   .waited = began - request.asked,
                                   .took = now() - began,
                                   .answered = answered};
    {
        const std::lock_guard lock(mutex_);
        --load_.busy_lanes;
        ++load_.calls;
        load_.in_calls += timing.took;
    }
    if (observer_) {
        observer_(timing);
    }
}

void permission_lanes::withdraw(std::uint64_t number)
{
    const std::lock_guard lock(mutex_);
    queue_.drop(number);
}

std::optional<workflow::permission_request> permission_lanes::take(lane& one)
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [&] { return ending_ || !one.ending; });
        if (ending_) {
            return std::nullopt;
        }
        if (auto request = queue_.take(open_lanes(), now())) {
            ++load_.busy_lanes;
            return request;
        }
        if (queue_.size() == 0) {
            work_waits_.wait(lock);
        } else {
            work_waits_.wait_for(lock, longest_wait);
        }
    }
}

void permission_lanes::run(lane& one)
{
    const auto call = calls_(one.node);
    while (auto request = take(one)) {
        const auto began = now();
        std::optional<std::vector<workflow::ticket_grant>> grants;
        try {
            grants = call(*request).grants;
        } catch (const error& cause) {
            LOG_EVERY_N(WARNING, 20)
                << "a permission request through " << one.node << " failed: " << cause.what();
        }
        const bool failed = !grants;
        note_call(*request, began, !failed);
        answer_(request->number, std::move(grants));
        {
            const std::lock_guard lock(mutex_);
            queue_.finish(*request);
        }
        if (failed) {
            work_waits_.notify_one(); // Another lane may have to work on what waits.
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, pause_after_failure, [this] { return ending_; });
        }
    }
}

} // namespace flamingoseam::node
