#include "flamingoseam/workflow/permission_shares.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t call_slots = 6;
constexpr int urgent = 1;
constexpr int patient = 2;
const time_point time_now{std::chrono::hours(1)};

void begin(permission_shares& shares, const std::string& queue, int calls)
{
    for (int call = 0; call < calls; ++call) {
        shares.begin(queue);
    }
}

} // namespace

TEST_CASE("the call slots for long calls are shared among the queues")
{
    permission_shares shares;
    REQUIRE(shares.may_begin("batches", urgent, call_slots, time_now));

    SECTION("one queue may use all of them while no other queue needs any")
    {
        begin(shares, "batches", call_slots - 1);
        CHECK(shares.may_begin("batches", urgent, call_slots, time_now));
    }
    SECTION("a queue that has reached its share gets no more while another one needs its own")
    {
        begin(shares, "batches", 4);
        REQUIRE(shares.may_begin("reviews", patient, call_slots, time_now));
        shares.record_refused("reviews", time_now);
        CHECK_FALSE(shares.may_begin("batches", urgent, call_slots, time_now));

        SECTION("until the other queue has found a call slot")
        {
            shares.begin("reviews");
            CHECK(shares.may_begin("batches", urgent, call_slots, time_now));
        }
        SECTION("until the other queue has not asked for a call slot for some time")
        {
            CHECK(shares.may_begin("batches", urgent, call_slots, time_now + milliseconds(1'100)));
        }
        SECTION("until enough of its own calls have ended")
        {
            shares.end("batches");
            CHECK(shares.may_begin("batches", urgent, call_slots, time_now));
        }
    }
    SECTION("a queue without calls that has not asked for some time is removed")
    {
        shares.begin("batches");
        REQUIRE(shares.may_begin("reviews", patient, call_slots, time_now));
        REQUIRE(shares.size() == 2);
        REQUIRE(shares.may_begin("batches", urgent, call_slots, time_now + milliseconds(1'100)));
        CHECK(shares.size() == 1);
    }
    SECTION("the more urgent of two queues gets two thirds of them, the other one third")
    {
        REQUIRE(shares.may_begin("reviews", patient, call_slots, time_now));
        begin(shares, "batches", 3);
        begin(shares, "reviews", 2);
        shares.record_refused("batches", time_now);
        CHECK_FALSE(shares.may_begin("reviews", patient, call_slots, time_now));
        shares.record_refused("reviews", time_now);
        CHECK(shares.may_begin("batches", urgent, call_slots, time_now));
    }
}
