#include "flamingoseam/core/task_threads.hpp"

#include "flamingoseam/core/clock.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace flamingoseam;

TEST_CASE("tasks in the background")
{
    std::atomic<int> ended{0};
    const auto task = [&ended] {
        std::this_thread::sleep_for(milliseconds(50));
        ++ended;
    };
    auto tasks = std::make_unique<task_threads>(8);

    SECTION("run at the same time, and all have ended when their object has")
    {
        const auto began = now();
        for (int number = 0; number < 20; ++number) {
            tasks->run(task);
        }
        tasks.reset();
        CHECK(ended == 20);
        CHECK(now() - began < milliseconds(20 * 50));
    }
    SECTION("may add tasks")
    {
        tasks->run([&] {
            tasks->run(task);
            tasks->run(task);
            ++ended;
        });
        std::this_thread::sleep_for(milliseconds(20));
        tasks.reset();
        CHECK(ended == 3);
    }
    SECTION("wait for others if there are more than threads")
    {
        for (int number = 0; number < 9; ++number) {
            tasks->run(task);
        }
        std::this_thread::sleep_for(milliseconds(25));
        CHECK(ended == 0);
        tasks.reset();
        CHECK(ended == 9);
    }
    SECTION("may fail, which ends neither the process nor a thread")
    {
        for (int number = 0; number < 9; ++number) {
            tasks->run([] { throw std::out_of_range("no such element"); });
        }
        tasks->run(task);
        tasks.reset();
        CHECK(ended == 1);
    }
    SECTION("are run after others have ended")
    {
        tasks->run(task);
        std::this_thread::sleep_for(milliseconds(100));
        tasks->run(task);
        tasks.reset();
        CHECK(ended == 2);
    }
}
