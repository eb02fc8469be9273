#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace flamingoseam {

/// Runs tasks in the background, each on a thread of its own. Thread-safe.
class task_threads {
public:
    task_threads() = default;

    /// Waits for all tasks, including those that are added meanwhile.
    ~task_threads();

    task_threads(const task_threads&) = delete;
    task_threads& operator=(const task_threads&) = delete;

    /// Starts a task, which must not throw. Complexity: linear in the tasks that run.
    void run(std::function<void()> task);

private:
    struct running_task {
        bool has_ended = false; ///< Guarded by `mutex_`.
        std::thread thread;
    };

    void join_ended();
    std::list<running_task> take_tasks();

    std::mutex mutex_;
    std::list<running_task> tasks_;
};

} // namespace flamingoseam
