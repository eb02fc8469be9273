#include "flamingoseam/node/load_line.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::node;
using namespace std::chrono_literals;

namespace {

std::int64_t field(const log_event& event, const std::string& name)
{
    const auto found = std::find_if(event.fields.begin(), event.fields.end(),
                                    [&](const log_field& one) { return one.name == name; });
    REQUIRE(found != event.fields.end());
    return found->value;
}

} // namespace

TEST_CASE("the load of an owner")
{
    const time_point begin{};
    load_meter meter(begin, {.thread = 100ms, .process = 300ms});

    SECTION("is due once a second")
    {
        CHECK_FALSE(meter.is_due(begin + 999ms));
        CHECK(meter.is_due(begin + 1s));
        meter.take({}, begin + 1s, {});
        CHECK_FALSE(meter.is_due(begin + 1'999ms));
    }
    SECTION("tells what a span was spent on, as numbers of the log line")
    {
        meter.note_step({.waited = 40ms, .took = 100ms, .queued = 3});
        meter.note_step({.waited = 70ms, .took = 100ms, .queued = 2});
        meter.note_decisions({.deciding = 500ms, .dispatching = 60ms, .starts = 4});
        meter.note_transaction(12);
        const auto line = to_event(meter.take({.open_jobs = 9,
                                               .overdue_jobs = 2,
                                               .waiting_steps = 5,
                                               .changes = 6,
                                               .oldest_change = 30ms,
                                               .permissions = {.requests = 8,
                                                               .oldest = 80ms,
                                                               .lanes = 30,
                                                               .busy_lanes = 3,
                                                               .calls = 11,
                                                               .in_calls = 700ms},
                                               .passes = 20,
                                               .repeated_requests = 1},
                                              begin + 2s, {.thread = 1'100ms, .process = 1'500ms}));
        CHECK(line.event == "owner_load");
        CHECK(field(line, "span_ms") == 2'000);
        CHECK(field(line, "open_jobs") == 9);
        CHECK(field(line, "overdue_jobs") == 2);
        CHECK(field(line, "waiting_steps") == 5);
        CHECK(field(line, "starts") == 4);
        CHECK(field(line, "loop_delay_ms") == 70);
        CHECK(field(line, "loop_steps") == 2);
        CHECK(field(line, "loop_queue") == 3);
        CHECK(field(line, "passes") == 20);
        CHECK(field(line, "steps_percent") == 10);
        CHECK(field(line, "deciding_percent") == 25);
        CHECK(field(line, "dispatching_percent") == 3);
        CHECK(field(line, "control_cpu_percent") == 50);
        CHECK(field(line, "process_cpu_percent") == 60);
        CHECK(field(line, "changes_waiting") == 6);
        CHECK(field(line, "oldest_change_ms") == 30);
        CHECK(field(line, "transactions") == 1);
        CHECK(field(line, "records_written") == 12);
        CHECK(field(line, "permissions_queued") == 8);
        CHECK(field(line, "oldest_permission_ms") == 80);
        CHECK(field(line, "lanes") == 30);
        CHECK(field(line, "busy_lanes") == 3);
        CHECK(field(line, "permission_calls") == 11);
        CHECK(field(line, "permission_calls_ms") == 700);
        CHECK(field(line, "repeated_permissions") == 1);
    }
    SECTION("begins anew with each span")
    {
        meter.note_step({.waited = 40ms, .took = 1ms, .queued = 1});
        meter.take(
            {.permissions = {.calls = 4, .in_calls = 90ms}, .passes = 20, .repeated_requests = 3},
            begin + 1s, {});
        const auto load = meter.take(
            {.permissions = {.calls = 6, .in_calls = 95ms}, .passes = 25, .repeated_requests = 3},
            begin + 2s, {});
        CHECK(load.state.permissions.calls == 2);
        CHECK(load.state.permissions.in_calls == 5ms);
        CHECK(load.steps == 0);
        CHECK(load.longest_wait == 0ms);
        CHECK(load.state.passes == 5);
        CHECK(load.state.repeated_requests == 0);
        CHECK(load.span == 1s);
    }
}

TEST_CASE("the load of a queue as a line of the log")
{
    const auto line = to_event(workflow::queue_load{.queue = "reviews",
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
    CHECK(line.event == "queue_load");
    CHECK(line.detail == "reviews");
    CHECK(field(line, "waiting_steps") == 9);
    CHECK(field(line, "unanswered_steps") == 4);
    CHECK(field(line, "oldest_unanswered_ms") == 1'500);
    CHECK(field(line, "permission_service_ms") == 510);
    CHECK(field(line, "lane_refusals") == 7);
    CHECK(field(line, "yielded_runs") == 2);
    CHECK(field(line, "run_time_percent") == 190);
}

TEST_CASE("the age of the change that waits longest")
{
    const time_point begin{};
    change_ages ages;
    ages.note(3, begin);
    ages.note(3, begin + 5ms);
    ages.note(7, begin + 10ms);

    CHECK(ages.age_of(2, begin + 20ms) == 20ms);
    CHECK(ages.age_of(4, begin + 20ms) == 10ms);
    CHECK(ages.age_of(std::nullopt, begin + 20ms) == 0ms);
    CHECK(ages.age_of(8, begin + 20ms) == 0ms);
}
