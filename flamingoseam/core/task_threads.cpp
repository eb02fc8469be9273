#include "flamingoseam/core/task_threads.hpp"

#include <utility>

namespace flamingoseam {

task_threads::~task_threads()
{
    while (true) {
        auto left = take_tasks();
        if (left.empty()) {
            return;
        }
        for (auto& task : left) {
            task.thread.join();
        }
    }
}

std::list<task_threads::running_task> task_threads::take_tasks()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(tasks_, {});
}

void task_threads::run(std::function<void()> task)
{
    const std::lock_guard lock(mutex_);
    join_ended();
    auto& added = tasks_.emplace_back();
    added.thread = std::thread([this, &added, task = std::move(task)]() mutable {
        std::exchange(task, nullptr)();
        const std::lock_guard lock(mutex_);
        added.has_ended = true;
    });
}

/// Removes the tasks that have ended. Their threads have nothing left to do but to unlock the
/// mutex.
void task_threads::join_ended()
{
    std::erase_if(tasks_, [](running_task& task) {
        if (task.has_ended) {
            task.thread.join();
        }
        return task.has_ended;
    });
}

} // namespace flamingoseam
