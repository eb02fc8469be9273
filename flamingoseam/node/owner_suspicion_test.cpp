#include "flamingoseam/node/owner_suspicion.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::node;

TEST_CASE("an owner whose port is closed")
{
    owner_suspicion suspicion;
    const time_point time{std::chrono::hours(1)};
    CHECK_FALSE(suspicion.awaits_confirmation(time));
    CHECK(suspicion.record_refusal(3, time));

    SECTION("is suspected until another node confirms it")
    {
        CHECK(suspicion.is_suspected(3, time));
        CHECK(suspicion.awaits_confirmation(time));
        CHECK_FALSE(suspicion.is_gone(3));
        suspicion.confirm(3);
        CHECK(suspicion.is_gone(3));
        CHECK_FALSE(suspicion.awaits_confirmation(time));
    }
    SECTION("is no longer suspected when no connection was refused for a while")
    {
        const auto later = time + owner_suspicion::suspicion_lifetime;
        CHECK_FALSE(suspicion.is_suspected(3, later));
        CHECK_FALSE(suspicion.awaits_confirmation(later));
        CHECK(suspicion.record_refusal(3, later));
    }
    SECTION("does not affect its successor")
    {
        suspicion.confirm(3);
        CHECK_FALSE(suspicion.is_suspected(4, time));
        CHECK_FALSE(suspicion.is_gone(4));
    }
    SECTION("is reported only once")
    {
        CHECK_FALSE(suspicion.record_refusal(3, time + milliseconds(100)));
    }
}
