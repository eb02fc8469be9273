#include "flamingoseam/core/control_loop.hpp"

#include "tests/child_exit.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace flamingoseam;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t mebibyte = std::int64_t{1} << 20;

/// An exception with a text of 64 MiB.
struct long_exception : std::exception {
    const char* what() const noexcept override { return text.c_str(); }

    static inline std::string text;
};

} // namespace

TEST_CASE("steps posted in quick succession run in one batch")
{
    control_loop loop;
    std::atomic<int> batches{0};
    std::atomic<int> steps{0};
    std::thread runner([&] {
        loop.run(
            10s, [&] { ++batches; }, 60ms);
    });
    for (int number = 0; number < 5; ++number) {
        loop.post([&] { ++steps; });
        std::this_thread::sleep_for(2ms);
    }
    CHECK(loop.ask<int>([&] { return steps.load(); }) == 5);
    CHECK(batches <= 2);
    std::this_thread::sleep_for(150ms);
    const auto began = now();
    CHECK(loop.ask<int>([] { return 1; }) == 1);
    CHECK(now() - began < 50ms); // A single step is not delayed for later ones.
    loop.stop();
    runner.join();
}

TEST_CASE("a control loop reports the wait and execution time of each step")
{
    std::vector<step_times> observed;
    control_loop loop([&](const step_times& times) { observed.push_back(times); });
    loop.post([] { std::this_thread::sleep_for(20ms); });
    loop.post([] {});
    loop.stop();
    loop.run(1ms, [] {});

    REQUIRE(observed.size() == 2);
    CHECK(observed[0].took >= 20ms);
    CHECK(observed[1].waited >= 20ms);
    CHECK(observed[0].queued == 2);
    CHECK(observed[1].queued == 2);
}

TEST_CASE("an exception of a step is reported and does not end the control loop")
{
    std::vector<std::string> causes;
    control_loop loop(nullptr, [&](const std::string& cause) { causes.push_back(cause); });
    int steps = 0;
    loop.post([] { throw std::out_of_range("no such job"); });
    loop.post([&] { ++steps; });
    loop.stop();

    SECTION("of a step that was posted")
    {
        loop.run(1ms, [] {});
        REQUIRE(causes.size() == 1);
    }
    SECTION("of the step after a batch")
    {
        loop.run(1ms, [] { throw std::bad_alloc(); });
        REQUIRE(causes.size() == 2);
        CHECK(causes[1] == "std::bad_alloc: std::bad_alloc");
    }
    CHECK(causes[0] == "std::out_of_range: no such job");
    CHECK(steps == 1);
}

// The runtime of a sanitizer ends a process for which there is no memory.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
// Guards against an owner that went on deciding with an incomplete state.
TEST_CASE("an exception of a step is reported although there is no memory to describe it")
{
    const auto ended = exit_of_child([] {
        long_exception::text.assign(64 * mebibyte, 'x');
        limit_address_space(16 * mebibyte);
        std::string reported;
        control_loop loop(nullptr, [&](const std::string& cause) { reported = cause; });
        loop.post([] { throw long_exception(); });
        loop.stop();
        loop.run(1ms, [] {});
        return reported == "out of memory" ? 0 : 1;
    });
    CHECK(ended.code == 0);
}
#endif
