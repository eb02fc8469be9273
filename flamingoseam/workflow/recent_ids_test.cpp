#include "flamingoseam/workflow/recent_ids.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

TEST_CASE("recent ids are forgotten after a time")
{
    constexpr milliseconds retention{1'000};
    constexpr std::size_t max_ids = 3;
    recent_ids ids(retention, max_ids);
    const time_point first{std::chrono::hours(1)};
    ids.record("a", first);

    SECTION("an id keeps the time at which it was recorded first")
    {
        ids.record("a", first + milliseconds(500));
        CHECK(ids.find("a", first + retention) == first);
        CHECK_FALSE(ids.find("a", first + retention + milliseconds(1)));
        CHECK_FALSE(ids.find("b", first));
    }
    SECTION("it can be recorded again after that")
    {
        const auto later = first + 2 * retention;
        ids.record("a", later);
        CHECK(ids.find("a", later) == later);
    }
    SECTION("the oldest ones go first if there are too many")
    {
        for (const auto* id : {"b", "c", "d"}) {
            ids.record(id, first + milliseconds(1));
        }
        CHECK_FALSE(ids.find("a", first + milliseconds(1)));
        CHECK(ids.find("b", first + milliseconds(1)));
    }
}
