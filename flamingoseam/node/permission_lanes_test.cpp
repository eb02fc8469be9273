#include "flamingoseam/node/permission_lanes.hpp"

#include "flamingoseam/core/error.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

workflow::permission_request request_of(std::uint64_t number, int priority, milliseconds time)
{
    return {.number = number,
            .job = "job",
            .step = 0,
            .order = {.priority = priority},
            .workers = {"w"},
            .service_time = time};
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

TEST_CASE("lanes to the permission service")
{
    std::mutex mutex;
    std::vector<std::uint64_t> answered;
    std::vector<bool> granted;
    std::atomic<int> long_calls{0};
    std::atomic<int> most_long_calls{0};
    std::atomic<bool> failing{false};
    std::vector<permission_timing> timings;
    permission_lanes lanes(
        [&](const std::string& node) {
            return [&, node](const workflow::permission_request& request) -> permission_answer {
                if (failing || node == "bad") {
                    throw transport_error(304, "silent", true);
                }
                if (request.service_time > milliseconds(100)) {
                    most_long_calls = std::max(most_long_calls.load(), ++long_calls);
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

    SECTION("urgent requests go first")
    {
        lanes.ask(request_of(1, 2, milliseconds(1)));
        lanes.ask(request_of(2, 0, milliseconds(1)));
        lanes.set_nodes({"a"});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return count() == 2; }));
        CHECK(answered == std::vector<std::uint64_t>{2, 1});
    }
    SECTION("the age of a request tells how long it waits for a lane")
    {
        auto request = request_of(1, 2, milliseconds(120));
        request.asked = now() - milliseconds(300);
        lanes.ask(request);
        const auto load = lanes.load(now());
        CHECK(load.requests == 1);
        CHECK(load.oldest >= milliseconds(300));
        CHECK(load.lanes == 0);
        lanes.set_nodes({"a"});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return count() == 1; }));
        CHECK(lanes.load(now()).requests == 0);
        CHECK(lanes.load(now()).lanes == 1);
        CHECK(lanes.load(now()).calls == 1);
        CHECK(lanes.load(now()).in_calls >= milliseconds(120));
        REQUIRE(timings.size() == 1);
        CHECK(timings[0].priority == 2);
        CHECK(timings[0].answered);
        CHECK(timings[0].waited >= milliseconds(300));
        CHECK(timings[0].took >= milliseconds(120));
    }
    SECTION("long requests leave a quarter of the lanes free while short ones come")
    {
        lanes.ask(request_of(1, 2, milliseconds(1)));
        lanes.set_nodes({"a", "b", "c", "d"});
        REQUIRE(holds_within(milliseconds(150), [&] { return count() == 1; }));
        for (std::uint64_t number = 2; number <= 7; ++number) {
            lanes.ask(request_of(number, 0, milliseconds(200)));
        }
        lanes.ask(request_of(8, 2, milliseconds(1)));
        REQUIRE(holds_within(milliseconds(150), [&] { return count() == 2; }));
        CHECK(answered[1] == 8);
        REQUIRE(holds_within(milliseconds(5'000), [&] { return count() == 8; }));
        CHECK(most_long_calls == 3);
    }
    SECTION("long requests leave one lane to the first short one after a pause")
    {
        lanes.set_nodes({"a", "b", "c", "d"});
        for (std::uint64_t number = 1; number <= 6; ++number) {
            lanes.ask(request_of(number, 0, milliseconds(200)));
        }
        lanes.ask(request_of(7, 2, milliseconds(1)));
        REQUIRE(holds_within(milliseconds(150), [&] { return count() == 1; }));
        CHECK(answered[0] == 7);
        REQUIRE(holds_within(milliseconds(5'000), [&] { return count() == 7; }));
        CHECK(most_long_calls == 3);
    }
    SECTION("lanes that take no requests leave them to the others at once")
    {
        lanes.set_nodes({"a", "b", "c", "bad"});
        lanes.set_nodes({"a", "bad"});
        for (std::uint64_t number = 1; number <= 12; ++number) {
            lanes.ask(request_of(number, 0, milliseconds(1)));
            REQUIRE(holds_within(milliseconds(80), [&] { return count() == number; }));
        }
    }
    SECTION("a failed request is answered as such")
    {
        failing = true;
        lanes.set_nodes({"a"});
        lanes.ask(request_of(1, 0, milliseconds(1)));
        REQUIRE(holds_within(milliseconds(2'000), [&] { return count() == 1; }));
        CHECK_FALSE(granted[0]);
        REQUIRE(timings.size() == 1);
        CHECK_FALSE(timings[0].answered);
    }
}
