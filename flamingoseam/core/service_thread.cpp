#include "flamingoseam/core/service_thread.hpp"

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/thread_name.hpp"

#include <cxxabi.h>
#include <glog/logging.h>

#include <memory>
#include <system_error>
#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds retry_pause{10};

/// Returns the type of the exception that is being handled, as it stands in the source.
std::string current_exception_type()
{
    const auto* type = abi::__cxa_current_exception_type();
    if (type == nullptr) {
        return "no exception";
    }
    int status = 0;
    const std::unique_ptr<char, decltype(&std::free)> name(
        abi::__cxa_demangle(type->name(), nullptr, nullptr, &status), &std::free);
    return name ? name.get() : type->name();
}

void log_current_exception(const char* duty) noexcept
{
    try {
        LOG(ERROR) << duty << " failed: " << describe_current_exception();
    } catch (...) { // NOLINT(bugprone-empty-catch): there is no memory left to report it with.
    }
}

} // namespace

std::string describe_current_exception()
{
    try {
        throw;
    } catch (const std::exception& cause) {
        return current_exception_type() + ": " + cause.what();
    } catch (...) {
        return current_exception_type();
    }
}

bool run_guarded(const char* duty, const std::function<void()>& action) noexcept
{
    try {
        action();
        return true;
    } catch (...) {
        log_current_exception(duty);
        return false;
    }
}

void run_until_done(const char* duty, const std::function<void()>& action) noexcept
{
    while (!run_guarded(duty, action)) {
        std::this_thread::sleep_for(retry_pause);
    }
}

service_thread::service_thread(const char* name, std::function<void()> run)
{
    try {
        thread_ = std::thread([name, run = std::move(run)] {
            set_thread_name(name);
            run_guarded(name, run);
        });
    } catch (const std::system_error& cause) {
        throw resource_error(401,
                             std::string("can't start a thread for ") + name + ": " + cause.what());
    }
}

service_thread& service_thread::operator=(service_thread&& other) noexcept
{
    if (this != &other) {
        join();
        thread_ = std::move(other.thread_);
    }
    return *this;
}

void service_thread::join() noexcept
{
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace flamingoseam
