#include "flamingoseam/core/control_loop.hpp"

#include "flamingoseam/core/service_thread.hpp"

#include <glog/logging.h>

#include <thread>

namespace flamingoseam {

namespace {

constexpr milliseconds failure_pause{10}; ///< Before the next batch when one could not be taken.

} // namespace

void control_loop::post(step run)
{
    {
        const std::lock_guard lock(mutex_);
        steps_.push_back({.run = std::move(run), .posted = now()});
    }
    changed_.notify_one();
}

std::deque<control_loop::queued_step> control_loop::take_batch(milliseconds tick,
                                                               milliseconds spacing)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, tick, [this] { return stopping_ || !steps_.empty(); });
    if (!stopping_ && now() < next_batch_) {
        lock.unlock();
        std::this_thread::sleep_until(next_batch_);
        lock.lock();
    }
    next_batch_ = now() + spacing;
    return std::exchange(steps_, {});
}

/// Calls a function of the control state, and reports an exception that leaves it.
template <typename Action> void control_loop::run_step(const Action& action) const
{
    try {
        action();
    } catch (...) {
        run_guarded("the handling of a failed step", [this] {
            const auto cause = describe_current_exception();
            LOG(ERROR) << "a step of the control thread failed: " << cause;
            if (handle_failure_) {
                handle_failure_(cause);
            }
        });
    }
}

void control_loop::run_batch(std::deque<queued_step> batch) const
{
    auto began = now();
    for (auto& queued : batch) {
        run_step([&] {
            queued.run();
            const auto ended = now();
            if (observer_) {
                observer_({.waited = began - queued.posted,
                           .took = ended - began,
                           .queued = batch.size()});
            }
            began = ended;
        });
    }
}

void control_loop::run(milliseconds tick, const step& after_batch, milliseconds spacing)
{
    while (true) {
        const bool has_run =
            run_guarded("the control thread", [&] { run_batch(take_batch(tick, spacing)); });
        if (!has_run) {
            std::this_thread::sleep_for(failure_pause);
        }
        run_step(after_batch);
        const std::lock_guard lock(mutex_);
        if (stopping_ && steps_.empty()) {
            return;
        }
    }
}

void control_loop::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
}

} // namespace flamingoseam
