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

/// A state whose decisions go through the real log, to be read as an engineer would.
struct logged_state : driven_state {
    logged_state() : file(std::tmpfile(), &std::fclose), log(options()) {}

    event_log_options options() const
    {
        return {.program = "node", .node = "n1", .descriptor = ::fileno(file.get()), .flush = 1ms};
    }

    workflow_actions step(milliseconds later = 60ms)
    {
        auto actions = next(later);
        for (const auto& note : actions.decisions) {
            log.write({.event = note.event,
                       .request = note.job,
                       .detail = note.detail,
                       .fields = note.fields});
        }
        return actions;
    }

    std::vector<trace_line> story()
    {
        log.flush();
        std::this_thread::sleep_for(50ms); // The log's own thread may be about to write.
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

std::vector<std::string> events_of(const std::vector<trace_line>& story)
{
    std::vector<std::string> events;
    for (const auto& line : story) {
        events.push_back(line.event);
    }
    return events;
}

std::int64_t field(const trace_line& line, const std::string& name)
{
    for (const auto& one : line.fields) {
        if (one.name == name) {
            return one.value;
        }
    }
    FAIL(line.event << " has no field " << name);
    return 0;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE("from a failed request's id to its cause through the log")
{
    logged_state one;
    one.make_usable();

    SECTION("refused at once: the line tells the reason and what was measured")
    {
        one.state.submit(2, one.job("fedcba9876543210", 1'000), one.terms(), one.time, wall);
        one.state.set_store_available(false);
        one.log.write({.event = "store_silent"});
        one.state.submit(1, one.job(id, 1'000), one.terms(), one.time, wall);
        one.step();
        const auto story = one.story();
        REQUIRE(events_of(story) == names{"refused"});
        CHECK(story[0].detail == "store_unavailable");
        CHECK(field(story[0], "open_jobs") == 0);
        CHECK(field(story[0], "changes_waiting") == 0);
        CHECK(field(story[0], "most_open_jobs") == 6'000);
    }
    SECTION("accepted and late: the ages tell that the answer about permission was slow")
    {
        one.state.submit(1, one.job(id, 1'000), one.permitted_terms(), one.time, wall);
        one.store();
        const auto asked = one.step().permissions;
        REQUIRE(asked.size() == 1);
        one.time += 3s;
        one.state.on_permission(asked[0].number, std::vector<ticket_grant>{{"w", "t"}}, one.time);
        const auto starts = one.step(100ms).starts;
        REQUIRE(starts.size() == 1);
        one.state.on_report(0, {.incarnation = 1, .ended = {{.number = 1, .name = starts[0].name}}},
                            one.time, wall);
        one.step();
        const auto story = one.story();
        REQUIRE(events_of(story) == names{"accepted", "permission_learnt", "placed", "completed"});
        CHECK(field(story[1], "request_age_ms") == 3'000);
        CHECK(story[2].detail.find("age 3160 ms") != std::string::npos);
        CHECK(field(story[2], "ticket_left_ms") == 1'800); // 100 ms of the validity is a margin.
        CHECK(to_text(story).find("request_age_ms=3000") != std::string::npos);
    }
    SECTION("accepted and reported as failed: each run that failed names its worker")
    {
        one.submit(one.job(id, 1'000));
        for (std::int64_t number = 1; number <= 2; ++number) {
            const auto starts = one.step(300ms).starts;
            REQUIRE(starts.size() == 1);
            one.state.on_report(
                0,
                {.incarnation = 1,
                 .ended = {{.number = number, .name = starts[0].name, .how = run_end::failed}}},
                one.time, wall);
        }
        one.step();
        const auto story = one.story();
        REQUIRE(events_of(story) ==
                names{"accepted", "placed", "run_failed", "placed", "run_failed", "failed"});
        CHECK(story[2].detail == std::string(id) + "/0/0#1001 on w");
        CHECK(story[5].detail == "task 0/0 failed 2 times");
    }
}
