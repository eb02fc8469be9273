#pragma once

#include "flamingoseam/core/service_thread.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace flamingoseam {

/// Runs tasks in the background on a bounded number of threads. Tasks wait while all threads are
/// busy. Thread-safe.
class task_threads {
public:
    /// Starts the first of at most `max_threads` threads; the others are started when they are
    /// needed. Throws resource_error if the system has no thread left.
    explicit task_threads(std::size_t max_threads);

    /// Waits for all tasks, including those that are added meanwhile.
    ~task_threads();

    task_threads(const task_threads&) = delete;
    task_threads& operator=(const task_threads&) = delete;

    /// Queues a task. An exception that leaves it is logged. Complexity: constant.
    void run(std::function<void()> task);

private:
    void add_thread_if_needed();
    void run_tasks();

    std::size_t max_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    std::size_t busy_threads_ = 0;
    bool stopping_ = false;
    std::vector<service_thread> threads_;
};

} // namespace flamingoseam
