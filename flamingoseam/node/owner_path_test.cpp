#include "flamingoseam/node/owner_path.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::node;

// Calls to an owner that could not be reached were sent all the same and ended in doubt.
TEST_CASE("the path to an owner")
{
    const owner_process owner{.epoch = 3, .address = {"127.0.0.1", 8082}};
    const time_point time{std::chrono::hours(1)};
    owner_path path;
    CHECK_FALSE(path.ping_due(time));
    CHECK_FALSE(path.is_silent(owner));
    path.note_sent(owner, time);

    SECTION("is not pinged while answers come")
    {
        for (milliseconds after{0}; after < milliseconds(3'000); after += milliseconds(300)) {
            path.note_sent(owner, time + after);
            CHECK_FALSE(path.ping_due(time + after));
            CHECK_FALSE(path.note_answer(owner, time + after + milliseconds(200)));
            CHECK_FALSE(path.ping_due(time + after + milliseconds(200)));
        }
    }
    SECTION("is not pinged when nothing was asked")
    {
        path.note_answer(owner, time);
        CHECK_FALSE(path.ping_due(time + std::chrono::hours(1)));
    }
    SECTION("is pinged when a call has had no answer for the limit")
    {
        CHECK_FALSE(path.ping_due(time + owner_path::quiet_limit - milliseconds(1)));
        const auto pinged = time + owner_path::quiet_limit;
        CHECK(path.ping_due(pinged) == owner);
        path.note_sent(owner, pinged);
        CHECK(path.ping_due(pinged) == owner);
        path.note_ping(pinged);
        CHECK_FALSE(path.ping_due(pinged + milliseconds(1)));
        CHECK_FALSE(path.is_silent(owner));

        SECTION("and is good when the owner is only slow")
        {
            CHECK_FALSE(path.note_answer(owner, pinged + milliseconds(20)));
            CHECK_FALSE(path.is_silent(owner));
            CHECK_FALSE(path.ping_due(pinged + std::chrono::hours(1)));
            path.note_sent(owner, pinged + milliseconds(30));
            CHECK_FALSE(path.ping_due(pinged + milliseconds(30) + owner_path::quiet_limit / 2));
        }
        SECTION("and is good when another answer came during the ping")
        {
            path.note_answer(owner, pinged + milliseconds(20));
            CHECK_FALSE(path.note_silence(owner, pinged + owner_path::ping_timeout));
            CHECK_FALSE(path.is_silent(owner));
        }
        SECTION("and is silent when the ping has no answer")
        {
            const auto silent = pinged + owner_path::ping_timeout;
            CHECK(path.note_silence(owner, silent) ==
                  owner_path::quiet_limit + owner_path::ping_timeout);
            CHECK(path.is_silent(owner));

            SECTION("which is no news twice")
            {
                CHECK_FALSE(path.note_silence(owner, silent));
                CHECK(path.is_silent(owner));
            }
            SECTION("and is pinged until one is answered")
            {
                const auto again = pinged + owner_path::ping_interval;
                CHECK(path.ping_due(again) == owner);
                path.note_ping(again);
                CHECK_FALSE(path.ping_due(again + milliseconds(1)));
                const auto answered = again + milliseconds(10);
                CHECK(path.note_answer(owner, answered) ==
                      std::chrono::duration_cast<milliseconds>(answered - time));
                CHECK_FALSE(path.is_silent(owner));
                CHECK_FALSE(path.ping_due(answered + std::chrono::hours(1)));
            }
            SECTION("and says nothing about another epoch or address")
            {
                const owner_process next{.epoch = 4, .address = owner.address};
                const owner_process moved{.epoch = 3, .address = {"127.0.0.2", 8082}};
                CHECK_FALSE(path.is_silent(next));
                CHECK_FALSE(path.is_silent(moved));
                path.note_sent(next, silent);
                CHECK_FALSE(path.is_silent(next));
                CHECK_FALSE(path.ping_due(silent));
                CHECK_FALSE(path.note_silence(owner, silent));
                CHECK_FALSE(path.is_silent(next));
            }
            SECTION("and stays silent when another owner's answer comes late")
            {
                CHECK_FALSE(path.note_answer({.epoch = 2, .address = owner.address}, silent));
                CHECK(path.is_silent(owner));
            }
        }
    }
    SECTION("is pinged also when all its calls have ended without an answer")
    {
        CHECK(path.ping_due(time + std::chrono::seconds(5)) == owner);
    }
}
