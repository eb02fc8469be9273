#include "flamingoseam/workflow/order_window.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t workers = 10;

run_name run_number(int number)
{
    return {{"job", 0, number}, 1};
}

} // namespace

TEST_CASE("the number of orders in flight is limited")
{
    order_window window;
    time_point time{std::chrono::hours(1)};
    int sent = 0;
    while (window.has_capacity(true, workers, time)) {
        window.record_sent(run_number(sent++), time);
        REQUIRE(sent < 1'000);
    }

    SECTION("an answer frees a place in the window")
    {
        window.record_answered(run_number(0), time + milliseconds(30));
        CHECK(window.has_capacity(true, workers, time + milliseconds(30)));
    }
    SECTION("late work may use only a part of the window")
    {
        for (int number = 0; number < sent / 2; ++number) {
            window.record_answered(run_number(number), time + milliseconds(30));
        }
        CHECK(window.has_capacity(true, workers, time + milliseconds(30)));
        CHECK_FALSE(window.has_capacity(false, workers, time + milliseconds(30)));
    }
    SECTION("orders to unresponsive workers stop counting after a timeout")
    {
        CHECK(window.has_capacity(true, workers, time + milliseconds(1'001)));
    }
    SECTION("the limit grows with the rate of answers")
    {
        for (int number = 0; number < 2'000; ++number) {
            const auto answered = time + milliseconds(number / 2);
            window.record_sent(run_number(10'000 + number), answered);
            window.record_answered(run_number(10'000 + number), answered);
        }
        CHECK(window.has_capacity(true, workers, time + milliseconds(999)));
    }
}
