#include "flamingoseam/workflow/admission.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr milliseconds look{250};

/// A pool that starts 100 tasks a second of one priority for 4 s, with a backlog.
struct busy_pool {
    admission decisions;
    time_point time{std::chrono::hours(1)};

    explicit busy_pool(const waiting_work& backlog)
    {
        for (int count = 0; count < 16; ++count) {
            time += look;
            decisions.begin_look(time);
            decisions.note_waiting(backlog);
            decisions.note_started("service", 0, amount(25), false, time);
        }
    }

    static work_amount amount(double tasks) { return {.tasks = tasks, .processor_seconds = tasks}; }

    static waiting_work backlog(double tasks, milliseconds waited, int priority = 0)
    {
        return {
            .service = "service", .priority = priority, .amount = amount(tasks), .waited = waited};
    }

    admission_verdict ask(int priority = 0)
    {
        return decisions.decide({.service = "service",
                                 .priority = priority,
                                 .work = amount(10),
                                 .slack = milliseconds(500),
                                 .late_slack = milliseconds(3'000)},
                                time);
    }
};

} // namespace

TEST_CASE("a new job is refused only when it is known to come too late")
{
    constexpr milliseconds stood{2'000};
    SECTION("nothing is known at the beginning")
    {
        admission decisions;
        CHECK(decisions.decide({.service = "service"}, time_point{}).is_accepted);
    }
    SECTION("a backlog that is served in time is no reason")
    {
        CHECK(busy_pool(busy_pool::backlog(200, stood)).ask().is_accepted);
    }
    SECTION("a longer one is")
    {
        CHECK_FALSE(busy_pool(busy_pool::backlog(500, stood)).ask().is_accepted);
    }
    SECTION("work that has just come may be gone after the next pass")
    {
        CHECK(busy_pool(busy_pool::backlog(500, milliseconds(100))).ask().is_accepted);
    }
    SECTION("less urgent work does not stand in the way")
    {
        CHECK(busy_pool(busy_pool::backlog(500, stood, 1)).ask().is_accepted);
    }
    SECTION("another pool's backlog is no reason")
    {
        auto other = busy_pool::backlog(500, stood);
        other.service = "other";
        CHECK(busy_pool(other).ask().is_accepted);
    }
}

TEST_CASE("refused callers are told to return one after the other")
{
    busy_pool pool(busy_pool::backlog(500, milliseconds(2'000)));
    const auto first = pool.ask();
    const auto second = pool.ask();
    REQUIRE_FALSE(first.is_accepted);
    REQUIRE_FALSE(second.is_accepted);
    CHECK(first.retry_after >= milliseconds(1'000)); // 5 s of work wait and 3 s are allowed.
    CHECK(first.retry_after <= milliseconds(3'000));
    CHECK(second.retry_after > first.retry_after);
}

TEST_CASE("a refused caller's time runs from the first attempt")
{
    admission decisions;
    const time_point first{std::chrono::hours(1)};
    decisions.note_refused("a", first);
    CHECK(decisions.first_asked("a", first + milliseconds(1'000)) == first);
    CHECK(decisions.first_asked("b", first + milliseconds(1'000)) == first + milliseconds(1'000));
}

// The owner read an empty list when a caller came back after all refusals were forgotten.
TEST_CASE("a caller that is refused again long after the first time")
{
    admission decisions;
    const time_point first{std::chrono::hours(1)};
    const auto later = first + std::chrono::seconds(31);
    decisions.note_refused("a", first);
    CHECK(decisions.first_asked("a", later) == later);
    decisions.note_refused("a", later);
    CHECK(decisions.first_asked("a", later + milliseconds(1'000)) == later);
}
