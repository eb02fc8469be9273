#include "flamingoseam/core/control_loop.hpp"

#include <thread>

namespace flamingoseam {

void control_loop::post(step one)
{
    {
        const std::lock_guard lock(mutex_);
        steps_.push_back({.run = std::move(one), .posted = now()});
    }
    changed_.notify_one();
}

std::deque<control_loop::queued_step> control_loop::take_batch(milliseconds tick,
                                                               milliseconds gather)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, tick, [this] { return stopping_ || !steps_.empty(); });
    if (gather > milliseconds(0) && !stopping_ && !steps_.empty()) {
        lock.unlock();
        std::this_thread::sleep_for(gather);
        lock.lock();
    }
    return std::exchange(steps_, {});
}

void control_loop::run_batch(std::deque<queued_step> batch) const
{
    auto began = now();
    for (auto& one : batch) {
        one.run();
        const auto ended = now();
        if (observer_) {
            observer_(
                {.waited = began - one.posted, .took = ended - began, .queued = batch.size()});
        }
        began = ended;
    }
}

void control_loop::run(milliseconds tick, const step& after_batch, milliseconds gather)
{
    while (true) {
        run_batch(take_batch(tick, gather));
        after_batch();
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
