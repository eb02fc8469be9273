#pragma once

#include "flamingoseam/core/clock.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>

namespace flamingoseam {

/// The one thread that may touch control state. Others post steps to it; it runs them in order.
class control_loop {
public:
    using step = std::function<void()>;

    /// Queues a step; safe from any thread. Complexity: constant.
    void post(step one);

    /// Runs a step on the loop's thread and waits for its result. Must not be called from there.
    template <typename Result> Result ask(std::function<Result()> question)
    {
        std::packaged_task<Result()> task(std::move(question));
        auto answer = task.get_future();
        post([&task] { task(); });
        return answer.get();
    }

    /// Runs steps on the calling thread until stop(). `after_batch` runs after every batch of steps
    /// and at least once per `tick`.
    void run(milliseconds tick, const step& after_batch);

    /// Makes run() return after the steps queued so far.
    void stop();

private:
    std::deque<step> take_batch(milliseconds tick);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<step> steps_;
    bool stopping_ = false;
};

} // namespace flamingoseam
