#include "flamingoseam/log/event_log.hpp"
#include "flamingoseam/log/request_trace.hpp"
#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <memory>

using namespace flamingoseam;
using namespace flamingoseam::workflow;
using namespace std::chrono_literals;

namespace {

constexpr const char* id = "0123456789abcdef";

/// A state whose decisions are written to an event log, from which the trace of a request is read.
struct logged_state : driven_state {
    logged_state() : file(std::tmpfile(), &std::fclose), log(options()) {}

    event_log_options options() const
    {
        return {.program = "node", .node = "n1", .descriptor = ::fileno(file.get()), .flush = 1ms};
    }

    workflow_actions step(milliseconds elapsed = 60ms)
    {
        auto actions = next(elapsed);
        for (const auto& decision : actions.decisions) {
            log.write({.event = decision.event,
                       .request = decision.job,
                       .detail = decision.detail,
                       .fields = decision.fields});
        }
        return actions;
    }

    std::vector<trace_line> trace_lines()
    {
        log.flush();
        std::this_thread::sleep_for(50ms); // The log thread may still be writing.
        std::ifstream lines("/proc/self/fd/" + std::to_string(::fileno(file.get())));
        return trace_request(lines, id);
    }

    queue_terms permitted_terms() const
    {
        auto result = terms();
        result.permission = permission_terms{.validity = 2'000ms};
        return result;
    }

    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file;
    event_log log;
};

std::vector<std::string> events_of(const std::vector<trace_line>& trace_lines)
{
    std::vector<std::string> events;
    for (const auto& line : trace_lines) {
        events.push_back(line.event);
    }
    return events;
}

std::int64_t field(const trace_line& line, const std::string& name)
{
    for (const auto& value : line.fields) {
        if (value.name == name) {
            return value.value;
        }
    }
    FAIL(line.event << " has no field " << name);
    return 0;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE("the log leads from the id of a failed request to its cause")
{
    logged_state fixture;
    fixture.make_usable();

    SECTION("refused at once: the log line states the reason and the measured values")
    {
        fixture.state.submit(2, fixture.job("fedcba9876543210", 1'000), fixture.terms(),
                             fixture.time, wall);
        fixture.state.set_store_available(false);
        fixture.log.write({.event = "store_silent"});
        fixture.state.submit(1, fixture.job(id, 1'000), fixture.terms(), fixture.time, wall);
        fixture.step();
        const auto trace_lines = fixture.trace_lines();
        REQUIRE(events_of(trace_lines) == names{"refused"});
        CHECK(trace_lines[0].detail == "store_unavailable");
        CHECK(field(trace_lines[0], "open_jobs") == 0);
        CHECK(field(trace_lines[0], "changes_waiting") == 0);
        CHECK(field(trace_lines[0], "most_open_jobs") == 6'000);
    }
    SECTION("accepted and late: the ages show that the permission service answered slowly")
    {
        fixture.state.submit(1, fixture.job(id, 1'000), fixture.permitted_terms(), fixture.time,
                             wall);
        fixture.store();
        const auto asked = fixture.step().permissions;
        REQUIRE(asked.size() == 1);
        fixture.time += 3s;
        fixture.state.on_permission(asked[0].number, std::vector<ticket_grant>{{"w", "t"}},
                                    fixture.time);
        const auto starts = fixture.step(100ms).starts;
        REQUIRE(starts.size() == 1);
        fixture.state.on_report(
            0, {.incarnation = 1, .ended = {{.number = 1, .name = starts[0].name}}}, fixture.time,
            wall);
        fixture.step();
        const auto trace_lines = fixture.trace_lines();
        REQUIRE(events_of(trace_lines) ==
                names{"accepted", "permission_learnt", "placed", "completed"});
        CHECK(field(trace_lines[1], "request_age_ms") == 3'000);
        CHECK(trace_lines[2].detail.find("age 3160 ms") != std::string::npos);
        CHECK(field(trace_lines[2], "ticket_left_ms") == 1'800); // 100 ms are a margin.
        CHECK(to_text(trace_lines).find("request_age_ms=3000") != std::string::npos);
    }
    SECTION("accepted and reported as failed: each run that failed names its worker")
    {
        fixture.submit(fixture.job(id, 1'000));
        for (std::int64_t number = 1; number <= 2; ++number) {
            const auto starts = fixture.step(300ms).starts;
            REQUIRE(starts.size() == 1);
            fixture.state.on_report(
                0,
                {.incarnation = 1,
                 .ended = {{.number = number, .name = starts[0].name, .how = run_end::failed}}},
                fixture.time, wall);
        }
        fixture.step();
        const auto trace_lines = fixture.trace_lines();
        REQUIRE(events_of(trace_lines) ==
                names{"accepted", "placed", "run_failed", "placed", "run_failed", "failed"});
        CHECK(trace_lines[2].detail == std::string(id) + "/0/0#1001 on w");
        CHECK(trace_lines[5].detail == "task 0/0 failed 2 times");
    }
}
