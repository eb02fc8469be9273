#include "flamingoseam/workflow/admission.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr milliseconds sample_interval{250};

/// A pool that has started 100 tasks per second of one priority for 4 s and has a backlog.
struct busy_pool {
    admission decisions;
    time_point time{std::chrono::hours(1)};

    explicit busy_pool(const waiting_work& backlog)
    {
        for (int count = 0; count < 16; ++count) {
            time += sample_interval;
            decisions.begin_sample(time);
            decisions.record_waiting(backlog);
            decisions.record_started({.service = "service"}, 0, amount(25), false, time);
        }
    }

    static work_amount amount(double tasks) { return {.tasks = tasks, .processor_seconds = tasks}; }

    static waiting_work backlog(double tasks, milliseconds waited, int priority = 0)
    {
        return {.kind = {.service = "service"},
                .priority = priority,
                .amount = amount(tasks),
                .waited = waited};
    }

    admission_decision ask(int priority = 0)
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

TEST_CASE("a new job is refused only if it would certainly complete too late")
{
    constexpr milliseconds long_wait{2'000};
    SECTION("without measurements, a job is accepted")
    {
        admission decisions;
        CHECK(decisions.decide({.service = "service"}, time_point{}).is_accepted);
    }
    SECTION("a backlog that can be served in time does not cause a refusal")
    {
        CHECK(busy_pool(busy_pool::backlog(200, long_wait)).ask().is_accepted);
    }
    SECTION("a longer backlog does")
    {
        CHECK_FALSE(busy_pool(busy_pool::backlog(500, long_wait)).ask().is_accepted);
    }
    SECTION("work that has just arrived does not count as a backlog")
    {
        CHECK(busy_pool(busy_pool::backlog(500, milliseconds(100))).ask().is_accepted);
    }
    SECTION("less urgent work does not cause a refusal")
    {
        CHECK(busy_pool(busy_pool::backlog(500, long_wait, 1)).ask().is_accepted);
    }
    SECTION("the backlog of another pool does not cause a refusal")
    {
        auto other = busy_pool::backlog(500, long_wait);
        other.kind.service = "other";
        CHECK(busy_pool(other).ask().is_accepted);
    }
}

TEST_CASE("refused callers get increasing retry delays")
{
    busy_pool pool(busy_pool::backlog(500, milliseconds(2'000)));
    const auto first = pool.ask();
    const auto second = pool.ask();
    REQUIRE_FALSE(first.is_accepted);
    REQUIRE_FALSE(second.is_accepted);
    CHECK(first.retry_after >=
          milliseconds(1'000)); // The backlog takes 5 s and a wait of 3 s is allowed.
    CHECK(first.retry_after <= milliseconds(3'000));
    CHECK(second.retry_after > first.retry_after);
}

TEST_CASE("the wait of a refused caller is counted from its first attempt")
{
    admission decisions;
    const time_point first{std::chrono::hours(1)};
    decisions.record_refused("a", first);
    CHECK(decisions.first_submission("a", first + milliseconds(1'000)) == first);
    CHECK(decisions.first_submission("b", first + milliseconds(1'000)) ==
          first + milliseconds(1'000));
}

// Guards against a read from an empty list: the owner did that when a caller was refused again
// after all earlier refusals had expired.
TEST_CASE("a caller can be refused again after its first refusal has expired")
{
    admission decisions;
    const time_point first{std::chrono::hours(1)};
    const auto later = first + std::chrono::seconds(31);
    decisions.record_refused("a", first);
    CHECK(decisions.first_submission("a", later) == later);
    decisions.record_refused("a", later);
    CHECK(decisions.first_submission("a", later + milliseconds(1'000)) == later);
}

TEST_CASE("a gang is refused while earlier ones wait that were not started in time")
{
    admission control;
    const time_point time{std::chrono::hours(1)};
    const admission_request gang{.service = "s",
                                 .has_gang = true,
                                 .priority = 1,
                                 .work = {.tasks = 20, .processor_seconds = 80},
                                 .slack = milliseconds(5'000),
                                 .late_slack = milliseconds(20'000)};
    auto other = gang;
    other.has_gang = false;

    SECTION("they need less than twice the workers")
    {
        control.record_obsolete_gangs("s", 200, 100);
        CHECK(control.decide(gang, time).is_accepted);
    }
    SECTION("they need more than twice the workers")
    {
        control.record_obsolete_gangs("s", 201, 100);
        const auto refused = control.decide(gang, time);
        CHECK_FALSE(refused.is_accepted);
        CHECK(refused.retry_after >= milliseconds(2'000));
        CHECK(refused.reason == "gangs_late");
    }
    SECTION("callers that are refused together return one after the other")
    {
        control.record_obsolete_gangs("s", 300, 100);
        control.record_started({.service = "s", .gang_priority = 1}, 1,
                               {.tasks = 20, .processor_seconds = 80}, false, time);
        const auto first = control.decide(gang, time);
        const auto second = control.decide(gang, time);
        CHECK(second.retry_after > first.retry_after);
    }
    SECTION("other work does not wait for them")
    {
        control.record_obsolete_gangs("s", 300, 100);
        CHECK(control.decide(other, time).is_accepted);
    }
}

// Guards against gangs that are refused because of wider ones, however soon they could start.
TEST_CASE("a gang is judged by the wait for the gangs before it")
{
    admission control;
    const time_point time{std::chrono::hours(1)};
    const work_class gangs{.service = "s", .gang_priority = 1};
    const work_amount gang_work{.tasks = 20, .processor_seconds = 80};
    const admission_request gang{.service = "s",
                                 .has_gang = true,
                                 .priority = 1,
                                 .work = gang_work,
                                 .slack = milliseconds(5'000),
                                 .late_slack = milliseconds(20'000)};
    control.record_obsolete_gangs("s", 100, 100);
    control.record_started(gangs, 1, gang_work, true, time);
    const auto later = time + std::chrono::seconds(1);
    const auto record_waiting = [&](const work_class& kind, int gangs_of_20, bool late) {
        control.record_waiting(
            {.kind = kind,
             .priority = 1,
             .amount = {.tasks = 20.0 * gangs_of_20, .processor_seconds = 80.0 * gangs_of_20},
             .late = late,
             .waited = milliseconds(2'000)});
    };

    SECTION("it is accepted if it can start in time")
    {
        record_waiting(gangs, 4, false);
        CHECK(control.decide(gang, later).is_accepted);
    }
    SECTION("it is accepted if it can start so soon that it is of use")
    {
        record_waiting(gangs, 15, true);
        CHECK(control.decide(gang, later).is_accepted);
    }
    SECTION("it is refused if the gangs before it take too long")
    {
        record_waiting(gangs, 25, false);
        const auto decision = control.decide(gang, later);
        CHECK_FALSE(decision.is_accepted);
        CHECK(decision.reason == "would_be_too_late");
        CHECK(decision.wait > gang.late_slack);
    }
    SECTION("it is accepted while the gangs before it start in time")
    {
        control.record_obsolete_gangs("s", 50, 100);
        record_waiting(gangs, 25, false);
        CHECK(control.decide(gang, later).is_accepted);
    }
    SECTION("gangs of other priorities do not count")
    {
        record_waiting({.service = "s", .gang_priority = 0}, 100, false);
        CHECK(control.decide(gang, later).is_accepted);
    }
    SECTION("it is refused if the work that is no gang takes too long")
    {
        control.record_started({.service = "s"}, 1, gang_work, true, time);
        record_waiting({.service = "s"}, 25, false);
        CHECK(control.decide(gang, later).reason == "would_be_too_late");
    }
    SECTION("gangs do not keep other work waiting")
    {
        control.record_started({.service = "s"}, 1, gang_work, true, time);
        record_waiting(gangs, 100, false);
        auto other = gang;
        other.has_gang = false;
        CHECK(control.decide(other, later).is_accepted);
    }
}
