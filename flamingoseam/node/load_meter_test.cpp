#include "flamingoseam/node/load_event.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::node;
using namespace std::chrono_literals;

namespace {

std::int64_t field(const log_event& event, const std::string& name)
{
    const auto found =
        std::find_if(event.fields.begin(), event.fields.end(),
                     [&](const log_field& candidate) { return candidate.name == name; });
    REQUIRE(found != event.fields.end());
    return found->value;
}

} // namespace

TEST_CASE("the load of an owner")
{
    const time_point start{};
    load_meter meter(start, {.thread = 100ms, .process = 300ms});

    SECTION("is due once a second")
    {
        CHECK_FALSE(meter.is_due(start + 999ms));
        CHECK(meter.is_due(start + 1s));
        meter.take({}, start + 1s, {});
        CHECK_FALSE(meter.is_due(start + 1'999ms));
    }
    SECTION("reports the work of an interval as fields of a log event")
    {
        meter.record_step({.waited = 40ms, .took = 100ms, .queued = 3});
        meter.record_step({.waited = 70ms, .took = 100ms, .queued = 2});
        meter.record_decisions({.decision_time = 500ms, .dispatch_time = 60ms, .starts = 4});
        meter.record_transaction(12);
        const auto event = to_event(meter.take(
            {.open_jobs = 9,
             .overdue_jobs = 2,
             .waiting_steps = 5,
             .changes = 6,
             .oldest_change_age = 30ms,
             .permissions = {.requests = 8,
                             .oldest_age = 80ms,
                             .call_slots = 30,
                             .busy_slots = 3,
                             .calls = 11,
                             .call_time = 700ms},
             .passes = 20,
             .repeated_requests = 1},
            start + 2s,
            {.thread = 1'100ms, .process = 1'500ms, .duties = {200ms, 140ms, 60ms, 20ms}}));
        CHECK(event.event == "owner_load");
        CHECK(field(event, "span_ms") == 2'000);
        CHECK(field(event, "open_jobs") == 9);
        CHECK(field(event, "overdue_jobs") == 2);
        CHECK(field(event, "waiting_steps") == 5);
        CHECK(field(event, "starts") == 4);
        CHECK(field(event, "loop_delay_ms") == 70);
        CHECK(field(event, "loop_steps") == 2);
        CHECK(field(event, "loop_queue") == 3);
        CHECK(field(event, "passes") == 20);
        CHECK(field(event, "steps_percent") == 10);
        CHECK(field(event, "deciding_percent") == 25);
        CHECK(field(event, "dispatching_percent") == 3);
        CHECK(field(event, "control_cpu_percent") == 50);
        CHECK(field(event, "process_cpu_percent") == 60);
        CHECK(field(event, "orders_cpu_percent") == 10);
        CHECK(field(event, "polls_cpu_percent") == 7);
        CHECK(field(event, "commits_cpu_percent") == 3);
        CHECK(field(event, "permissions_cpu_percent") == 1);
        CHECK(field(event, "changes_waiting") == 6);
        CHECK(field(event, "oldest_change_ms") == 30);
        CHECK(field(event, "transactions") == 1);
        CHECK(field(event, "records_written") == 12);
        CHECK(field(event, "permissions_queued") == 8);
        CHECK(field(event, "oldest_permission_ms") == 80);
        CHECK(field(event, "lanes") == 30);
        CHECK(field(event, "busy_lanes") == 3);
        CHECK(field(event, "permission_calls") == 11);
        CHECK(field(event, "permission_calls_ms") == 700);
        CHECK(field(event, "repeated_permissions") == 1);
    }
    SECTION("starts from zero in each interval")
    {
        meter.record_step({.waited = 40ms, .took = 1ms, .queued = 1});
        meter.take(
            {.permissions = {.calls = 4, .call_time = 90ms}, .passes = 20, .repeated_requests = 3},
            start + 1s, {});
        const auto load = meter.take(
            {.permissions = {.calls = 6, .call_time = 95ms}, .passes = 25, .repeated_requests = 3},
            start + 2s, {});
        CHECK(load.state.permissions.calls == 2);
        CHECK(load.state.permissions.call_time == 5ms);
        CHECK(load.steps == 0);
        CHECK(load.max_wait == 0ms);
        CHECK(load.state.passes == 5);
        CHECK(load.state.repeated_requests == 0);
        CHECK(load.interval == 1s);
    }
}

TEST_CASE("the load of a queue as a log event")
{
    const auto event = to_event(workflow::queue_load{.queue = "reviews",
                                                     .priority = 2,
                                                     .waiting_steps = 9,
                                                     .unanswered_steps = 4,
                                                     .oldest_unanswered = 1'500ms,
                                                     .permission_calls = 3,
                                                     .permission_service = 510ms,
                                                     .repeated_calls = 1,
                                                     .call_slot_refusals = 7,
                                                     .starts = 12,
                                                     .preempted_runs = 2,
                                                     .done_runs = 5,
                                                     .declared_run_time = 1'000ms,
                                                     .measured_run_time = 1'900ms});
    CHECK(event.event == "queue_load");
    CHECK(event.detail == "reviews");
    CHECK(field(event, "waiting_steps") == 9);
    CHECK(field(event, "unanswered_steps") == 4);
    CHECK(field(event, "oldest_unanswered_ms") == 1'500);
    CHECK(field(event, "permission_service_ms") == 510);
    CHECK(field(event, "lane_refusals") == 7);
    CHECK(field(event, "yielded_runs") == 2);
    CHECK(field(event, "run_time_percent") == 190);
}

TEST_CASE("the age of the oldest unstored change")
{
    const time_point start{};
    change_ages ages;
    ages.record(3, start);
    ages.record(3, start + 5ms);
    ages.record(7, start + 10ms);

    CHECK(ages.age_of(2, start + 20ms) == 20ms);
    CHECK(ages.age_of(4, start + 20ms) == 10ms);
    CHECK(ages.age_of(std::nullopt, start + 20ms) == 0ms);
    CHECK(ages.age_of(8, start + 20ms) == 0ms);
}
