#include "flamingoseam/retry/retry_budget.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;

TEST_CASE("retry_budget allows a share of the fresh load on top of a first few")
{
    retry_budget budget;
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_fresh(10);
        taken += budget.take() ? 1 : 0;
    }
    CHECK(taken >= 100);
    CHECK(taken <= 110);
}

TEST_CASE("backoff doubles, is jittered and bounded")
{
    using std::chrono::milliseconds;
    for (std::uint64_t random = 0; random < 50; ++random) {
        CHECK(backoff(milliseconds(20), 1, random) >= milliseconds(10));
        CHECK(backoff(milliseconds(20), 1, random) <= milliseconds(20));
        CHECK(backoff(milliseconds(20), 3, random) >= milliseconds(40));
        CHECK(backoff(milliseconds(20), 50, random) <= milliseconds(1280));
    }
}
