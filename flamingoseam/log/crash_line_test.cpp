#include "flamingoseam/core/thread_name.hpp"
#include "tests/child_process.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

using namespace flamingoseam;

namespace {

/// Runs `task` in a thread that is named after its duty.
void run_in_thread(const std::function<void()>& task)
{
    std::thread([&task] {
        set_thread_name("control");
        task();
    }).join();
}

/// Returns the only last line of a process that must have ended by `signal`, after the stack that
/// glog prints.
nlohmann::json last_line_of(const ended_process& ended, int signal)
{
    INFO(ended.output);
    REQUIRE(WIFSIGNALED(ended.status));
    CHECK(WTERMSIG(ended.status) == signal);
    CHECK(ended.output.find("*** Aborted at ") != std::string::npos);
    const auto lines = ended.lines_with("event", "process_ends");
    REQUIRE(lines.size() == 1);
    return lines[0];
}

std::int64_t address_space_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t pages = 0;
    file >> pages;
    return pages * ::sysconf(_SC_PAGESIZE);
}

/// An exception whose text can't be read without an error.
class unreadable_error : public std::exception {
public:
    explicit unreadable_error(void (*fail)()) : fail_(fail) {}

    [[nodiscard]] const char* what() const noexcept override
    {
        fail_();
        return "";
    }

private:
    void (*fail_)();
};

void throw_error()
{
    throw std::runtime_error("inner");
}

void raise_fault()
{
    ::raise(SIGSEGV);
}

/// Ends the process by an exception in a thread.
ended_process run_throwing(const std::function<void()>& task)
{
    return run_in_child([&task] { run_in_thread(task); });
}

/// Starts threads until one can't be started.
[[maybe_unused]] void use_up_address_space()
{
    set_limit(RLIMIT_AS, static_cast<rlim_t>(address_space_bytes()));
    constexpr std::size_t too_many = 10'000;
    std::vector<std::thread> threads;
    threads.reserve(too_many);
    while (threads.size() < too_many) {
        threads.emplace_back([] { std::this_thread::sleep_for(std::chrono::hours(1)); });
    }
}

void use_up_descriptors()
{
    set_limit(RLIMIT_NOFILE, 64);
    while (::dup(STDERR_FILENO) >= 0) {
    }
}

} // namespace

TEST_CASE("the last line of a process names the exception that ended it, and its thread")
{
    const auto ended = run_throwing([] { throw std::out_of_range("no \"such\" worker"); });
    const auto line = last_line_of(ended, SIGABRT);
    CHECK(line.at("severity") == "FATAL");
    CHECK(line.at("program") == "flamingoseam-node");
    CHECK(line.at("cause") == "St12out_of_range: no \"such\" worker");
    CHECK(line.at("thread") == "control");
    CHECK(line.at("time_ms") > 1'000'000'000'000);
    CHECK(line.at("descriptors") > 3);
    CHECK(line.at("resident_kb") > 100);
    CHECK(line.at("address_space_kb") > line.at("resident_kb"));
    CHECK(line.contains("thread_limit"));
    CHECK(line.contains("descriptor_limit"));
    CHECK(line.at("address_space_limit_kb") == "unlimited");
}

TEST_CASE("the last line of a process has the number of its threads")
{
    const auto ended = run_throwing([] {
        const std::filesystem::directory_iterator threads("/proc/self/task");
        throw std::runtime_error(std::to_string(std::distance(begin(threads), end(threads))));
    });
    const auto line = last_line_of(ended, SIGABRT);
    CHECK(line.at("cause") == "St13runtime_error: " + line.at("threads").dump());
    CHECK(line.at("threads") >= 2);
}

TEST_CASE("the last line of a process names the signal that ended it")
{
    const auto raised = run_in_child([] { ::raise(SIGSEGV); });
    CHECK(last_line_of(raised, SIGSEGV).at("cause") == "SIGSEGV");

    const auto sent = run_in_child([] { ::kill(::getpid(), SIGBUS); });
    const auto cause = last_line_of(sent, SIGBUS).at("cause").get<std::string>();
    CHECK(cause.find("SIGBUS sent by process ") == 0);

    const auto aborted = last_line_of(run_in_child([] { std::abort(); }), SIGABRT);
    CHECK(aborted.at("cause") == "SIGABRT");
    CHECK(aborted.at("thread") == "main");
}

// The runtime of a sanitizer ends a process whose address space is used up before it can throw.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
TEST_CASE("the last line of a process is written when its address space is used up")
{
    const auto line = last_line_of(run_throwing(use_up_address_space), SIGABRT);
    CHECK(line.at("cause") == "St12system_error: Resource temporarily unavailable");
    CHECK(line.at("thread") == "control");
    CHECK(line.at("address_space_limit_kb").is_number());
    CHECK(line.at("address_space_kb") <= line.at("address_space_limit_kb"));
}
#endif

TEST_CASE("the last line of a process is written when no descriptor is left")
{
    const auto ended = run_in_child([] {
        use_up_descriptors();
        std::abort();
    });
    const auto line = last_line_of(ended, SIGABRT);
    CHECK(line.at("descriptors") == 64);
    CHECK(line.at("descriptor_limit") == 64);
    CHECK(line.at("threads").is_number());
}

TEST_CASE("the last line of a process is valid JSON whatever the exception says")
{
    const auto ended = run_throwing([] { throw std::runtime_error("cut \x80 z\n\xc3"); });
    CHECK(last_line_of(ended, SIGABRT).at("cause") == "St13runtime_error: cut ? z??");

    const std::string long_text(100'000, '"');
    const auto longer = run_throwing([&long_text] { throw std::runtime_error(long_text); });
    const auto line = last_line_of(longer, SIGABRT);
    CHECK(line.at("cause").get<std::string>().size() == 1'024);
    CHECK(line.contains("address_space_limit_kb"));
}

TEST_CASE("the last line of a process is written by one of the threads that fail at once")
{
    const auto ended = run_in_child([] {
        std::vector<std::thread> threads;
        for (int count = 0; count < 8; ++count) {
            threads.emplace_back([] { throw std::runtime_error("at once"); });
        }
        for (auto& thread : threads) {
            thread.join();
        }
    });
    CHECK(last_line_of(ended, SIGABRT).at("cause") == "St13runtime_error: at once");
}

TEST_CASE("the last line of a process is written although the text of the exception can't be read")
{
    const auto by_exception = run_throwing([] { throw unreadable_error(throw_error); });
    const auto by_fault = run_throwing([] { throw unreadable_error(raise_fault); });
    const auto line = last_line_of(by_fault, SIGSEGV);
    CHECK(last_line_of(by_exception, SIGABRT).at("cause") == line.at("cause"));
    const auto cause = line.at("cause").get<std::string>();
    CHECK(cause.find("unreadable_error") != std::string::npos);
    CHECK(cause.find(" (then an error in its report)") != std::string::npos);
}
