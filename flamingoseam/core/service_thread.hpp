#pragma once

#include <functional>
#include <string>
#include <thread>

namespace flamingoseam {

/// Returns the type and the text of the exception that is being handled, for a log line. To be
/// called in a catch block.
std::string describe_current_exception();

/// Calls `action`, and logs an exception of any type that leaves it. Returns whether there was
/// none. `duty` names the action in the log.
bool run_guarded(const char* duty, const std::function<void()>& action) noexcept;

/// Calls `action` again and again until no exception leaves it, for steps that an object can't end
/// without.
void run_until_done(const char* duty, const std::function<void()>& action) noexcept;

/// A thread that runs one function. An exception that leaves the function is logged and ends the
/// thread, not the process. Joined by the destructor, so the function must have been told to end
/// before.
class service_thread {
public:
    service_thread() noexcept = default;

    /// Starts `run` on a new thread with a name for logs, which must have static storage duration.
    /// Throws resource_error (id 401) if the system has no thread left for this process.
    service_thread(const char* name, std::function<void()> run);

    ~service_thread() { join(); }

    service_thread(service_thread&&) noexcept = default;

    /// Joins the thread that this object has had before.
    service_thread& operator=(service_thread&& other) noexcept;

    service_thread(const service_thread&) = delete;
    service_thread& operator=(const service_thread&) = delete;

    /// Checks whether there is a thread that has not been joined.
    [[nodiscard]] bool joinable() const noexcept { return thread_.joinable(); }

    /// Waits until the function has returned. Has no effect if there is no thread.
    void join() noexcept;

private:
    std::thread thread_;
};

} // namespace flamingoseam
