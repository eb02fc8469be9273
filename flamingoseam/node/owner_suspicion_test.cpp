#include "flamingoseam/node/owner_suspicion.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::node;

TEST_CASE("an owner whose port is closed")
{
    owner_suspicion one;
    const time_point time{std::chrono::hours(1)};
    CHECK_FALSE(one.is_open(time));
    CHECK(one.note_refused(3, time));

    SECTION("is suspected until another node confirms it")
    {
        CHECK(one.is_suspected(3, time));
        CHECK(one.is_open(time));
        CHECK_FALSE(one.is_gone(3));
        one.confirm(3);
        CHECK(one.is_gone(3));
        CHECK_FALSE(one.is_open(time));
    }
    SECTION("is trusted again when nothing was refused for a while")
    {
        const auto later = time + owner_suspicion::fresh_for;
        CHECK_FALSE(one.is_suspected(3, later));
        CHECK_FALSE(one.is_open(later));
        CHECK(one.note_refused(3, later));
    }
    SECTION("says nothing about its successor")
    {
        one.confirm(3);
        CHECK_FALSE(one.is_suspected(4, time));
        CHECK_FALSE(one.is_gone(4));
    }
    SECTION("is no news twice")
    {
        CHECK_FALSE(one.note_refused(3, time + milliseconds(100)));
    }
}
