#pragma once

#include "flamingoseam/core/clock.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <utility>

namespace flamingoseam {

/// The measured times of one step.
struct step_times {
    time_point::duration waited{0}; ///< From post() to the start of its execution.
    time_point::duration took{0};   ///< Execution time.
    std::size_t queued = 0;         ///< Steps dequeued in the same batch, including this one.
};

/// An event loop whose thread alone may access the control state. Other threads post steps to it,
/// and it runs them in order.
class control_loop {
public:
    using step = std::function<void()>;
    using step_observer = std::function<void(const step_times&)>;

    /// Called with a description of the exception that has left a step.
    using failure_handler = std::function<void(const std::string& cause)>;

    /// Creates a loop. `observer`, if set, is called on the loop's thread after each step.
    /// `handle_failure`, if set, is called there when an exception leaves a step, or the function
    /// that is called after a batch: the control state may be incomplete then. The loop logs the
    /// exception and goes on.
    explicit control_loop(step_observer observer = nullptr,
                          failure_handler handle_failure = nullptr)
        : observer_(std::move(observer)), handle_failure_(std::move(handle_failure))
    {
    }

    /// Queues a step. Safe to call from any thread. Complexity: constant.
    void post(step run);

    /// Runs `callback` on the loop's thread, waits for it and returns its result. Must not be
    /// called on the loop's thread, where it would wait for itself.
    template <typename Result> Result ask(std::function<Result()> callback)
    {
        std::packaged_task<Result()> task(std::move(callback));
        auto result = task.get_future();
        post([&task] { task(); });
        return result.get();
    }

    /// Runs steps on the calling thread until stop(). Calls `after_batch` after every batch of
    /// steps and at least once per `tick`. Batches start at least `spacing` apart, so that steps
    /// that are posted in quick succession are run as one batch.
    void run(milliseconds tick, const step& after_batch, milliseconds spacing = milliseconds(0));

    /// Makes run() return after the steps that are already queued.
    void stop();

private:
    struct queued_step {
        step run;
        time_point posted{};
    };

    std::deque<queued_step> take_batch(milliseconds tick, milliseconds spacing);
    void run_batch(std::deque<queued_step> batch) const;
    template <typename Action> void run_step(const Action& action) const;

    step_observer observer_;
    failure_handler handle_failure_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<queued_step> steps_;
    bool stopping_ = false;
    time_point next_batch_{}; ///< Earliest start. Accessed only by the loop's thread.
};

} // namespace flamingoseam
