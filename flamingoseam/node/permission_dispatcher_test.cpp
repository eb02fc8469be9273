#include "flamingoseam/node/permission_dispatcher.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

workflow::permission_request request_of(std::uint64_t number, int priority,
                                        milliseconds service_time)
{
    return {.number = number,
            .job = "job",
            .step = 0,
            .order = {.priority = priority},
            .workers = {"w"},
            .service_time = service_time};
}

template <typename Condition> bool holds_within(milliseconds limit, const Condition& condition)
{
    const auto end = now() + limit;
    while (now() < end && !condition()) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

} // namespace

TEST_CASE("dispatching requests to the permission service")
{
    std::mutex mutex;
    std::vector<std::uint64_t> answered;
    std::vector<bool> granted;
    std::atomic<int> long_calls{0};
    std::atomic<int> max_long_calls{0};
    std::atomic<bool> failing{false};
    std::vector<permission_timing> timings;
    permission_dispatcher dispatcher(
        [&](const std::string& node) {
            return [&, node](const workflow::permission_request& request) -> permission_answer {
                if (failing || node == "bad") {
                    throw transport_error(304, "no answer", true);
                }
                if (request.service_time > milliseconds(100)) {
                    max_long_calls = std::max(max_long_calls.load(), ++long_calls);
                    std::this_thread::sleep_for(request.service_time);
                    --long_calls;
                }
                return {.grants = {{"w", "ticket"}}};
            };
        },
        [&](std::uint64_t number, const auto& grants) {
            const std::lock_guard lock(mutex);
            answered.push_back(number);
            granted.push_back(grants.has_value());
        },
        [&](const permission_timing& timing) {
            const std::lock_guard lock(mutex);
            timings.push_back(timing);
        });
    const auto count = [&] {
        const std::lock_guard lock(mutex);
        return answered.size();
    };

    SECTION("requests of higher priority are sent first")
    {
        dispatcher.enqueue(request_of(1, 2, milliseconds(1)));
        dispatcher.enqueue(request_of(2, 0, milliseconds(1)));
        dispatcher.set_nodes({"a"});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return count() == 2; }));
        CHECK(answered == std::vector<std::uint64_t>{2, 1});
    }
    SECTION("the age of a request is the time that it waits for a call slot")
    {
        auto request = request_of(1, 2, milliseconds(120));
        request.asked = now() - milliseconds(300);
        dispatcher.enqueue(request);
        const auto load = dispatcher.load(now());
        CHECK(load.requests == 1);
        CHECK(load.oldest_age >= milliseconds(300));
        CHECK(load.call_slots == 0);
        dispatcher.set_nodes({"a"});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return count() == 1; }));
        CHECK(dispatcher.load(now()).requests == 0);
        CHECK(dispatcher.load(now()).call_slots == 1);
        CHECK(dispatcher.load(now()).calls == 1);
        CHECK(dispatcher.load(now()).call_time >= milliseconds(120));
        REQUIRE(timings.size() == 1);
        CHECK(timings[0].priority == 2);
        CHECK(timings[0].answered);
        CHECK(timings[0].queue_time >= milliseconds(300));
        CHECK(timings[0].call_time >= milliseconds(120));
    }
    SECTION("long requests leave a quarter of the call slots free while short requests arrive")
    {
        dispatcher.enqueue(request_of(1, 2, milliseconds(1)));
        dispatcher.set_nodes({"a", "b", "c", "d"});
        REQUIRE(holds_within(milliseconds(150), [&] { return count() == 1; }));
        for (std::uint64_t number = 2; number <= 7; ++number) {
            dispatcher.enqueue(request_of(number, 0, milliseconds(200)));
        }
        dispatcher.enqueue(request_of(8, 2, milliseconds(1)));
        REQUIRE(holds_within(milliseconds(150), [&] { return count() == 2; }));
        CHECK(answered[1] == 8);
        REQUIRE(holds_within(milliseconds(5'000), [&] { return count() == 8; }));
        CHECK(max_long_calls == 3);
    }
    SECTION("long requests leave one call slot to the first short request after a pause")
    {
        dispatcher.set_nodes({"a", "b", "c", "d"});
        for (std::uint64_t number = 1; number <= 6; ++number) {
            dispatcher.enqueue(request_of(number, 0, milliseconds(200)));
        }
        dispatcher.enqueue(request_of(7, 2, milliseconds(1)));
        REQUIRE(holds_within(milliseconds(150), [&] { return count() == 1; }));
        CHECK(answered[0] == 7);
        REQUIRE(holds_within(milliseconds(5'000), [&] { return count() == 7; }));
        CHECK(max_long_calls == 3);
    }
    SECTION("failing or removed call slots leave requests to the others immediately")
    {
        dispatcher.set_nodes({"a", "b", "c", "bad"});
        dispatcher.set_nodes({"a", "bad"});
        for (std::uint64_t number = 1; number <= 12; ++number) {
            dispatcher.enqueue(request_of(number, 0, milliseconds(1)));
            REQUIRE(holds_within(milliseconds(80), [&] { return count() == number; }));
        }
    }
    SECTION("a failed request is reported as failed")
    {
        failing = true;
        dispatcher.set_nodes({"a"});
        dispatcher.enqueue(request_of(1, 0, milliseconds(1)));
        REQUIRE(holds_within(milliseconds(2'000), [&] { return count() == 1; }));
        CHECK_FALSE(granted[0]);
        REQUIRE(timings.size() == 1);
        CHECK_FALSE(timings[0].answered);
    }
}

TEST_CASE("calls to the permission service whose answers are on the way leave it to the next calls")
{
    constexpr milliseconds transfer{50}; ///< Of a request to the service, and of its answer back.
    constexpr milliseconds service_time{10};
    constexpr int calls = 24;
    const std::vector<std::string> nodes{"a", "b"};
    std::map<std::string, std::mutex>
        services; ///< The service handles one call of a node at a time.
    for (const auto& node : nodes) {
        services[node];
    }
    std::atomic<int> answered{0};
    permission_dispatcher dispatcher(
        [&](const std::string& node) {
            return [&, node](const workflow::permission_request& request) -> permission_answer {
                std::this_thread::sleep_for(transfer);
                {
                    const std::lock_guard lock(services.at(node));
                    std::this_thread::sleep_for(request.service_time);
                }
                std::this_thread::sleep_for(transfer);
                return {.grants = {{"w", "ticket"}}};
            };
        },
        [&](std::uint64_t /*number*/, const auto& /*grants*/) { ++answered; });
    dispatcher.set_nodes(nodes);
    const auto began = now();
    for (int number = 1; number <= calls; ++number) {
        dispatcher.enqueue(request_of(static_cast<std::uint64_t>(number), 0, service_time));
    }
    REQUIRE(holds_within(milliseconds(10'000), [&] { return answered == calls; }));

    const auto one_after_the_other =
        calls / static_cast<int>(nodes.size()) * (2 * transfer + service_time);
    CHECK(now() - began <= one_after_the_other / 2);
}

TEST_CASE("requests stay in the queue while the permission service is busy with an earlier call")
{
    constexpr milliseconds service_time{40};
    constexpr milliseconds long_service_time{500};
    std::mutex mutex;
    std::vector<std::uint64_t> sent;
    std::atomic<int> answered{0};
    permission_dispatcher dispatcher(
        [&](const std::string& /*node*/) {
            return [&](const workflow::permission_request& request) -> permission_answer {
                {
                    const std::lock_guard lock(mutex);
                    sent.push_back(request.number);
                }
                std::this_thread::sleep_for(request.service_time);
                return {.grants = {{"w", "ticket"}}};
            };
        },
        [&](std::uint64_t /*number*/, const auto& /*grants*/) { ++answered; });
    dispatcher.set_nodes({"a"});
    dispatcher.enqueue(request_of(1, 0, service_time));
    REQUIRE(holds_within(milliseconds(2'000), [&] { return answered == 1; }));

    dispatcher.enqueue(request_of(2, 0, long_service_time));
    dispatcher.enqueue(request_of(3, 2, service_time));
    dispatcher.enqueue(request_of(4, 1, service_time));
    std::this_thread::sleep_for(2 * service_time);
    dispatcher.enqueue(request_of(5, 0, service_time));
    dispatcher.withdraw(4);
    REQUIRE(holds_within(milliseconds(5'000), [&] { return answered == 4; }));
    CHECK(sent == std::vector<std::uint64_t>{1, 2, 5, 3});
}

TEST_CASE("an exception in a call to the permission service counts as no answer")
{
    std::atomic<bool> fails{true};
    std::atomic<int> granted{0};
    std::atomic<int> failed{0};
    std::atomic<int> calls{0};
    std::string failing;
    SECTION("an exception of the call")
    {
        failing = "call";
    }
    SECTION("an exception of the handler of its answer")
    {
        failing = "answer";
    }
    SECTION("an exception of the observer of its timing")
    {
        failing = "timing";
    }
    const auto fail_once_in = [&](const std::string& part) {
        if (part == failing && fails.exchange(false)) {
            throw std::out_of_range("no such worker");
        }
    };
    permission_dispatcher dispatcher(
        [&](const std::string& /*node*/) {
            return [&](const workflow::permission_request& /*request*/) -> permission_answer {
                ++calls;
                fail_once_in("call");
                return {.grants = {{"w", "ticket"}}};
            };
        },
        [&](std::uint64_t /*number*/, const auto& grants) {
            fail_once_in("answer");
            ++(grants ? granted : failed);
        },
        [&](const permission_timing& /*timing*/) { fail_once_in("timing"); });
    dispatcher.enqueue(request_of(1, 0, milliseconds(1)));
    dispatcher.enqueue(request_of(2, 0, milliseconds(1)));
    dispatcher.set_nodes({"a"});
    REQUIRE(holds_within(milliseconds(3'000), [&] { return granted + failed == 2; }));
    CHECK(calls == 2);
    CHECK(failed == (failing == "call" ? 1 : 0));
    CHECK(dispatcher.load(now()).requests == 0);
    CHECK(holds_within(milliseconds(500), [&] { return dispatcher.load(now()).busy_slots == 0; }));
}

TEST_CASE("permission requests wait for the threads that there are if no more can be started")
{
    std::atomic<int> answered{0};
    permission_dispatcher dispatcher(
        [&](const std::string& /*node*/) {
            return [&](const workflow::permission_request& request) -> permission_answer {
                std::this_thread::sleep_for(request.service_time);
                return {.grants = {{"w", "ticket"}}};
            };
        },
        [&](std::uint64_t /*number*/, const auto& /*grants*/) { ++answered; });
    const thread_limit limit(0);
    dispatcher.set_nodes({"a", "b", "c"});
    for (std::uint64_t number = 1; number <= 6; ++number) {
        dispatcher.enqueue(request_of(number, 0, milliseconds(20)));
    }
    CHECK(holds_within(milliseconds(3'000), [&] { return answered == 6; }));
}
