#include "flamingoseam/core/task_threads.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <utility>

namespace flamingoseam {

task_threads::task_threads(std::size_t max_threads) : max_threads_(max_threads)
{
    threads_.reserve(max_threads); // So that a thread that has been started can always be kept.
    threads_.emplace_back("tasks", [this] { run_tasks(); });
}

task_threads::~task_threads()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
}

void task_threads::run(std::function<void()> task)
{
    {
        const std::lock_guard lock(mutex_);
        tasks_.push_back(std::move(task));
        add_thread_if_needed();
    }
    changed_.notify_one();
}

/// Adds a thread if all are busy. If the system has none left, the task waits for one of those that
/// there are. Requires `mutex_`.
void task_threads::add_thread_if_needed()
{
    const bool is_needed = busy_threads_ + tasks_.size() > threads_.size();
    if (!is_needed || stopping_ || threads_.size() == max_threads_) {
        return;
    }
    try {
        threads_.emplace_back("tasks", [this] { run_tasks(); });
    } catch (const resource_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "a task waits for a thread: " << cause.what();
    }
}

void task_threads::run_tasks()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        if (tasks_.empty()) {
            return;
        }
        auto task = std::move(tasks_.front());
        tasks_.pop_front();
        ++busy_threads_;
        lock.unlock();
        run_guarded("a task", task);
        task = nullptr; // Ends what the task refers to outside of the lock.
        lock.lock();
        --busy_threads_;
    }
}

} // namespace flamingoseam
