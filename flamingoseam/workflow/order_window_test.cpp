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

TEST_CASE("orders under way are bounded")
{
    order_window window;
    time_point time{std::chrono::hours(1)};
    int sent = 0;
    while (window.has_room(true, workers, time)) {
        window.note_ordered(run_number(sent++), time);
        REQUIRE(sent < 1'000);
    }

    SECTION("an answer makes room")
    {
        window.note_answered(run_number(0), time + milliseconds(30));
        CHECK(window.has_room(true, workers, time + milliseconds(30)));
    }
    SECTION("late work leaves most of the window to others")
    {
        for (int number = 0; number < sent / 2; ++number) {
            window.note_answered(run_number(number), time + milliseconds(30));
        }
        CHECK(window.has_room(true, workers, time + milliseconds(30)));
        CHECK_FALSE(window.has_room(false, workers, time + milliseconds(30)));
    }
    SECTION("workers that never answer take no room for long")
    {
        CHECK(window.has_room(true, workers, time + milliseconds(1'001)));
    }
    SECTION("more are under way when more are answered")
    {
        for (int number = 0; number < 2'000; ++number) {
            const auto answered = time + milliseconds(number / 2);
            window.note_ordered(run_number(10'000 + number), answered);
            window.note_answered(run_number(10'000 + number), answered);
        }
        CHECK(window.has_room(true, workers, time + milliseconds(999)));
    }
}
