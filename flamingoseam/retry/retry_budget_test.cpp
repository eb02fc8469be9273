#include "flamingoseam/retry/retry_budget.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;

TEST_CASE("retry_budget allows a fraction of the new requests on top of an initial budget")
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_new_request(10);
        retries += budget.take() ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 110);
}

TEST_CASE("backoff doubles, has jitter and is bounded")
{
    using std::chrono::milliseconds;
    for (std::uint64_t random = 0; random < 50; ++random) {
        CHECK(backoff(milliseconds(20), 1, random) >= milliseconds(10));
        CHECK(backoff(milliseconds(20), 1, random) <= milliseconds(20));
        CHECK(backoff(milliseconds(20), 3, random) >= milliseconds(40));
        CHECK(backoff(milliseconds(20), 50, random) <= milliseconds(1280));
    }
}
