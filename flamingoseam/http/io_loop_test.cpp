#include "flamingoseam/http/io_loop.hpp"

#include <catch2/catch.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <new>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace flamingoseam;

namespace {

/// Calls a function on the thread of a loop and waits for it.
template <typename Function> void run_on(io_loop& loop, const Function& function)
{
    const auto done = std::make_shared<std::promise<void>>();
    loop.post([done, &function] {
        function();
        done->set_value();
    });
    done->get_future().wait();
}

/// A file descriptor that can be read at once.
class readable_descriptor {
public:
    readable_descriptor() : number_(::eventfd(1, EFD_CLOEXEC)) {}
    ~readable_descriptor() { ::close(number_); }
    readable_descriptor(const readable_descriptor&) = delete;
    readable_descriptor& operator=(const readable_descriptor&) = delete;

    [[nodiscard]] int number() const { return number_; }

private:
    int number_;
};

} // namespace

TEST_CASE("an I/O loop")
{
    io_loop loop("test", thread_duty::polls);

    SECTION("calls functions in the order in which they were posted")
    {
        std::vector<int> called;
        for (int number = 0; number < 100; ++number) {
            loop.post([&called, number] { called.push_back(number); });
        }
        run_on(loop, [] {});
        REQUIRE(called.size() == 100);
        CHECK(std::is_sorted(called.begin(), called.end()));
    }
    SECTION("goes on after an exception of any type")
    {
        loop.post([] { throw std::out_of_range("no such element"); });
        loop.post([] { throw 1; });
        io_timer timer(loop, [] { throw std::bad_alloc(); });
        run_on(loop, [&timer] { timer.start(milliseconds(0)); });
        std::atomic<bool> called{false};
        run_on(loop, [&called] { called = true; });
        CHECK(called);
    }
    SECTION("calls a timer's function once, at the time that was set last")
    {
        std::atomic<int> calls{0};
        std::atomic<time_point> called_at{};
        io_timer timer(loop, [&] {
            ++calls;
            called_at = now();
        });
        const auto began = now();
        run_on(loop, [&] {
            timer.start(milliseconds(10));
            timer.start(milliseconds(60));
        });
        std::this_thread::sleep_for(milliseconds(150));
        CHECK(calls == 1);
        CHECK(called_at.load() - began >= milliseconds(60));
    }
    SECTION("does not call the function of a timer that was stopped")
    {
        std::atomic<int> calls{0};
        io_timer timer(loop, [&calls] { ++calls; });
        run_on(loop, [&] {
            timer.start(milliseconds(20));
            timer.stop();
        });
        std::this_thread::sleep_for(milliseconds(60));
        CHECK(calls == 0);
    }
    SECTION("does not call the function of a watch that another one has destroyed")
    {
        const readable_descriptor first;
        const readable_descriptor second;
        std::optional<io_watch> watches[2]; // NOLINT(modernize-avoid-c-arrays)
        std::atomic<int> calls{0};
        const auto on_ready = [&] {
            ++calls;
            watches[0].reset();
            watches[1].reset();
        };
        run_on(loop, [&] {
            watches[0].emplace(loop, on_ready);
            watches[1].emplace(loop, on_ready);
            watches[0]->wait_for(first.number(), false);
            watches[1]->wait_for(second.number(), false);
        });
        std::this_thread::sleep_for(milliseconds(50));
        run_on(loop, [] {});
        CHECK(calls == 1);
    }
    SECTION("calls a watch once for each request to wait")
    {
        const readable_descriptor readable;
        std::atomic<int> calls{0};
        std::unique_ptr<io_watch> watch;
        run_on(loop, [&] {
            watch = std::make_unique<io_watch>(loop, [&calls] { ++calls; });
            watch->wait_for(readable.number(), false);
        });
        std::this_thread::sleep_for(milliseconds(30));
        CHECK(calls == 1);
        run_on(loop, [&] { watch->wait_for(readable.number(), false); });
        std::this_thread::sleep_for(milliseconds(30));
        CHECK(calls == 2);
        run_on(loop, [&] { watch.reset(); });
    }
}

TEST_CASE("an activity on an I/O loop")
{
    io_loop loop("test", thread_duty::polls);
    std::atomic<int> steps{0};

    SECTION("has one step for requests that come while the loop is busy")
    {
        std::optional<io_activity> activity;
        activity.emplace(loop, "test", [&] {
            if (++steps == 2) {
                activity->end();
            }
        });
        run_on(loop, [&] {
            for (int request = 0; request < 5; ++request) {
                activity->wake();
            }
        });
        run_on(loop, [] {});
        CHECK(steps == 1);
        CHECK_FALSE(activity->has_ended());
        activity->wake();
        activity->wait_until_ended();
        activity->wake();
        run_on(loop, [] {});
        CHECK(steps == 2);
    }
    SECTION("is still in a step that requests another one, and goes on after an exception")
    {
        std::optional<io_activity> activity;
        activity.emplace(loop, "test", [&] {
            if (++steps == 1) {
                activity->wake();
                throw std::bad_alloc();
            }
            activity->wake();
            activity->end();
        });
        activity->wake();
        activity->wait_until_ended();
        activity.reset();
        run_on(loop, [] {});
        CHECK(steps == 2);
    }
    SECTION("has a further step some time after an exception")
    {
        io_activity activity(loop, "test", [&] {
            if (++steps == 1) {
                throw 1;
            }
            activity.end();
        });
        activity.wake();
        activity.wait_until_ended();
        CHECK(steps == 2);
    }
}
