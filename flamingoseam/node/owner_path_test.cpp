#include "flamingoseam/node/owner_path.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::node;

// Calls used to be sent to an unreachable owner, so that their outcome stayed unconfirmed.
TEST_CASE("the path to an owner")
{
    const owner_process owner{.epoch = 3, .address = {"127.0.0.1", 8082}};
    const time_point time{std::chrono::hours(1)};
    owner_path path;
    CHECK_FALSE(path.ping_due(time));
    CHECK_FALSE(path.is_unreachable(owner));
    path.record_call(owner, time);

    SECTION("is not pinged while answers arrive")
    {
        for (milliseconds after{0}; after < milliseconds(3'000); after += milliseconds(300)) {
            path.record_call(owner, time + after);
            CHECK_FALSE(path.ping_due(time + after));
            CHECK_FALSE(path.record_answer(owner, time + after + milliseconds(200)));
            CHECK_FALSE(path.ping_due(time + after + milliseconds(200)));
        }
    }
    SECTION("is not pinged without a pending call")
    {
        path.record_answer(owner, time);
        CHECK_FALSE(path.ping_due(time + std::chrono::hours(1)));
    }
    SECTION("is pinged when a call has been unanswered for the limit")
    {
        CHECK_FALSE(path.ping_due(time + owner_path::unanswered_limit - milliseconds(1)));
        const auto pinged = time + owner_path::unanswered_limit;
        CHECK(path.ping_due(pinged) == owner);
        path.record_call(owner, pinged);
        CHECK(path.ping_due(pinged) == owner);
        path.record_ping(pinged);
        CHECK_FALSE(path.ping_due(pinged + milliseconds(1)));
        CHECK_FALSE(path.is_unreachable(owner));

        SECTION("and is reachable when the owner is only slow")
        {
            CHECK_FALSE(path.record_answer(owner, pinged + milliseconds(20)));
            CHECK_FALSE(path.is_unreachable(owner));
            CHECK_FALSE(path.ping_due(pinged + std::chrono::hours(1)));
            path.record_call(owner, pinged + milliseconds(30));
            CHECK_FALSE(
                path.ping_due(pinged + milliseconds(30) + owner_path::unanswered_limit / 2));
        }
        SECTION("and is reachable when another call was answered during the ping")
        {
            path.record_answer(owner, pinged + milliseconds(20));
            CHECK_FALSE(path.record_ping_timeout(owner, pinged + owner_path::ping_timeout));
            CHECK_FALSE(path.is_unreachable(owner));
        }
        SECTION("and is unreachable when the ping times out")
        {
            const auto timed_out = pinged + owner_path::ping_timeout;
            CHECK(path.record_ping_timeout(owner, timed_out) ==
                  owner_path::unanswered_limit + owner_path::ping_timeout);
            CHECK(path.is_unreachable(owner));

            SECTION("which is reported only once")
            {
                CHECK_FALSE(path.record_ping_timeout(owner, timed_out));
                CHECK(path.is_unreachable(owner));
            }
            SECTION("and is pinged until a ping is answered")
            {
                const auto again = pinged + owner_path::ping_interval;
                CHECK(path.ping_due(again) == owner);
                path.record_ping(again);
                CHECK_FALSE(path.ping_due(again + milliseconds(1)));
                const auto answered = again + milliseconds(10);
                CHECK(path.record_answer(owner, answered) ==
                      std::chrono::duration_cast<milliseconds>(answered - time));
                CHECK_FALSE(path.is_unreachable(owner));
                CHECK_FALSE(path.ping_due(answered + std::chrono::hours(1)));
            }
            SECTION("and does not affect another epoch or address")
            {
                const owner_process next{.epoch = 4, .address = owner.address};
                const owner_process moved{.epoch = 3, .address = {"127.0.0.2", 8082}};
                CHECK_FALSE(path.is_unreachable(next));
                CHECK_FALSE(path.is_unreachable(moved));
                path.record_call(next, timed_out);
                CHECK_FALSE(path.is_unreachable(next));
                CHECK_FALSE(path.ping_due(timed_out));
                CHECK_FALSE(path.record_ping_timeout(owner, timed_out));
                CHECK_FALSE(path.is_unreachable(next));
            }
            SECTION("and stays unreachable after a late answer from an earlier owner")
            {
                CHECK_FALSE(path.record_answer({.epoch = 2, .address = owner.address}, timed_out));
                CHECK(path.is_unreachable(owner));
            }
        }
    }
    SECTION("is also pinged when all its calls have ended without an answer")
    {
        CHECK(path.ping_due(time + std::chrono::seconds(5)) == owner);
    }
}
