#include "flamingoseam/node/permission_pacer.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::node;

TEST_CASE("pacing the calls to the permission service through one node")
{
    constexpr milliseconds service_time{10};
    constexpr milliseconds round_trip{110};
    const time_point time{std::chrono::hours(1)};
    permission_pacer pacer;
    pacer.begin(service_time, time);

    SECTION("the first call is answered before the next one is sent")
    {
        CHECK(pacer.next_call() == time_point::max());
        pacer.end(true, time + round_trip);
        CHECK(pacer.next_call() == time + round_trip);
        CHECK(pacer.calls_in_flight() == 0);
    }
    SECTION("calls are sent one service time apart while answers are on the way")
    {
        const auto later = time + round_trip;
        pacer.end(true, later);
        pacer.begin(service_time, later);
        CHECK(pacer.next_call() == later + service_time);
        constexpr milliseconds long_service_time{430};
        pacer.begin(long_service_time, later + service_time);
        CHECK(pacer.next_call() == later + service_time + long_service_time);
        pacer.end(true, later + round_trip);
        CHECK(pacer.next_call() == later + service_time + long_service_time);
    }
    SECTION("few calls are in flight, however late the answers are")
    {
        auto later = time + round_trip;
        pacer.end(true, later);
        for (; pacer.next_call() <= later; later += service_time) {
            pacer.begin(service_time, later);
        }
        CHECK(pacer.calls_in_flight() == 4);
        CHECK(pacer.next_call() == time_point::max());
        pacer.end(true, later);
        CHECK(pacer.next_call() == later);
    }
    SECTION("a call that ends early leaves the service to the next one")
    {
        pacer.end(true, time + service_time / 2);
        CHECK(pacer.next_call() == time + service_time / 2);
    }
    SECTION("after a failure the node is left alone, then called once until it answers")
    {
        constexpr milliseconds delay{500};
        const auto later = time + round_trip;
        pacer.end(true, later);
        pacer.begin(service_time, later);
        pacer.begin(service_time, later + service_time);
        const auto failed = later + round_trip;
        pacer.end(false, failed);
        CHECK(pacer.next_call() == time_point::max());
        pacer.end(false, failed);
        CHECK(pacer.next_call() == failed + delay);
        pacer.begin(service_time, failed + delay);
        CHECK(pacer.next_call() == time_point::max());
        pacer.end(true, failed + delay + round_trip);
        pacer.begin(service_time, failed + delay + round_trip);
        CHECK(pacer.next_call() == failed + delay + round_trip + service_time);
    }
}
