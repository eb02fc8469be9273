#pragma once

#include "flamingoseam/core/clock.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <utility>

namespace flamingoseam {

/// How one step fared.
struct step_times {
    time_point::duration waited{0}; ///< From post() until it ran.
    time_point::duration took{0};
    std::size_t queued = 0; ///< Steps that were taken off the queue together, this one included.
};

/// The one thread that may touch control state. Others post steps to it; it runs them in order.
class control_loop {
public:
    using step = std::function<void()>;
    using step_observer = std::function<void(const step_times&)>;

    /// `observer` hears of each step on the loop's thread, if it is given.
    explicit control_loop(step_observer observer = nullptr) : observer_(std::move(observer)) {}

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
    /// Batches begin at least `spacing` apart, so that many steps share one when they come fast.
    void run(milliseconds tick, const step& after_batch, milliseconds spacing = milliseconds(0));

    /// Makes run() return after the steps queued so far.
    void stop();

private:
    struct queued_step {
        step run;
        time_point posted{};
    };

    std::deque<queued_step> take_batch(milliseconds tick, milliseconds spacing);
    void run_batch(std::deque<queued_step> batch) const;

    step_observer observer_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<queued_step> steps_;
    bool stopping_ = false;
    time_point next_batch_{}; ///< Of the loop's thread.
};

} // namespace flamingoseam
