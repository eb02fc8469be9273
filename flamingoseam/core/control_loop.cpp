#include "flamingoseam/core/control_loop.hpp"

#include <utility>

namespace flamingoseam {

void control_loop::post(step one)
{
    {
        const std::lock_guard lock(mutex_);
        steps_.push_back(std::move(one));
    }
    changed_.notify_one();
}

std::deque<control_loop::step> control_loop::take_batch(milliseconds tick)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, tick, [this] { return stopping_ || !steps_.empty(); });
    return std::exchange(steps_, {});
}

void control_loop::run(milliseconds tick, const step& after_batch)
{
    while (true) {
        auto batch = take_batch(tick);
        for (auto& one : batch) {
            one();
        }
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
