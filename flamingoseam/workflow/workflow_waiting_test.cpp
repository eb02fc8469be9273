#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::int64_t small_job = 1'000;  ///< Processors, in thousandths, that one worker has.
constexpr std::int64_t too_large = 12'000; ///< More than a worker has.
constexpr milliseconds report_interval{2'500};
constexpr milliseconds always_named{10'000};

std::string id_of(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "a%015d", number);
    return id;
}

std::int64_t field(const logged_decision& decision, const std::string& name)
{
    const auto found = std::ranges::find(decision.fields, name, &log_field::name);
    REQUIRE(found != decision.fields.end());
    return found->value;
}

/// A state whose decisions are collected while time passes.
struct reporting_state : driven_state {
    std::vector<logged_decision> decisions;

    void pass(milliseconds length)
    {
        constexpr milliseconds pause{100};
        for (const auto end = time + length; time < end;) {
            auto actions = next(pause);
            for (const auto& start : actions.starts) {
                state.on_start(start.worker, start.name, start_outcome::started, time);
            }
            std::ranges::move(actions.decisions, std::back_inserter(decisions));
        }
    }

    std::vector<logged_decision> events(const std::string& name) const
    {
        std::vector<logged_decision> found;
        std::ranges::copy_if(decisions, std::back_inserter(found),
                             [&](const auto& decision) { return decision.event == name; });
        return found;
    }
};

} // namespace

// Guards against a step that waits unseen because another step of its job runs.
TEST_CASE("a step that waits beside a running one of its job is reported")
{
    reporting_state driver;
    driver.make_usable();
    auto job = driver.job(id_of(0), small_job);
    job.steps.push_back(job.steps[0]);
    job.steps[1].size.milli_cpus = too_large;
    driver.submit(job);
    driver.pass(milliseconds(8'000));
    const auto reports = driver.events("step_waits");
    REQUIRE(!reports.empty());
    CHECK(reports[0].detail == "step 1: no room");
    CHECK(field(reports[0], "waits_ms") >= 5'000);
    const auto summaries = driver.events("steps_wait");
    REQUIRE(!summaries.empty());
    CHECK(field(summaries[0], "steps") == 1);
    CHECK(field(summaries[0], "longest_ms") >= 5'000);
    CHECK(field(summaries[0], "idle_jobs") == 0);
}

// Guards against a step that waits unseen behind many older jobs that wait for the same reason.
TEST_CASE("each step that waits for very long is named, and all are counted")
{
    constexpr int jobs = 60;
    reporting_state driver;
    driver.make_usable();
    for (int number = 0; number < jobs; ++number) {
        driver.submit(driver.job(id_of(number), too_large));
    }
    driver.pass(always_named + milliseconds(500));
    const auto lines_before = driver.events("step_waits").size();
    driver.pass(report_interval);
    constexpr std::size_t max_lines = 16 + 2;
    CHECK(driver.events("step_waits").size() <= lines_before + max_lines);
    driver.pass(4 * report_interval);
    std::set<std::string> named;
    for (const auto& report : driver.events("step_waits")) {
        named.insert(report.job);
    }
    CHECK(named.size() == jobs);
    const auto summaries = driver.events("steps_wait");
    REQUIRE(!summaries.empty());
    std::map<std::string, std::int64_t> steps;
    std::int64_t total = 0;
    for (const auto& summary : summaries) {
        steps[summary.detail] = field(summary, "steps");
    }
    for (const auto& [reason, count] : steps) {
        total += count;
    }
    CHECK(total == jobs);
    CHECK(field(summaries.back(), "longest_ms") >= always_named.count());
}

// Guards against a step whose last line in a log is old although it still waits.
TEST_CASE("a step that goes on waiting is named again")
{
    constexpr int jobs = 10;
    reporting_state driver;
    driver.make_usable();
    for (int number = 0; number < jobs; ++number) {
        driver.submit(driver.job(id_of(number), too_large));
    }
    driver.pass(6 * always_named);
    driver.decisions.clear();
    driver.pass(always_named + 2 * report_interval);
    std::set<std::string> named;
    for (const auto& report : driver.events("step_waits")) {
        named.insert(report.job);
    }
    CHECK(named.size() == jobs);
}

// Guards against a tail of waits that a log doesn't show.
TEST_CASE("a step that starts after a long wait is logged with its wait")
{
    constexpr std::int64_t whole_worker = 8'000;
    constexpr milliseconds run_time{7'000};
    reporting_state driver;
    driver.make_usable();
    driver.submit(driver.job(id_of(0), whole_worker));
    driver.pass(milliseconds(200));
    driver.submit(driver.job(id_of(1), whole_worker));
    driver.pass(run_time);
    CHECK(driver.events("started_late").empty());
    const run_name ended{{id_of(0), 0, 0}, 1'001};
    driver.state.on_report(0,
                           {.incarnation = 1,
                            .ended = {{.number = 1, .name = ended, .how = run_end::done}},
                            .asked = driver.time},
                           driver.time, wall);
    driver.pass(milliseconds(200));
    const auto late = driver.events("started_late");
    REQUIRE(late.size() == 1);
    CHECK(late[0].job == id_of(1));
    CHECK(late[0].detail == "step 0");
    CHECK(field(late[0], "waits_ms") >= run_time.count() - 200);
    CHECK(field(late[0], "overdue") == 0);
    CHECK(field(late[0], "tasks") == 1);
}

// Guards against an owner that starts nothing and reports reasons that hold for another one only.
TEST_CASE("a step is reported to wait for the owner's certainty while it starts no runs")
{
    reporting_state driver;
    driver.make_usable();
    driver.state.set_certain(false);
    driver.submit(driver.job(id_of(0), small_job));
    driver.pass(milliseconds(8'000));
    const auto reports = driver.events("step_waits");
    REQUIRE(!reports.empty());
    CHECK(reports[0].detail == "step 0: a later owner may exist");
    driver.state.set_certain(true);
    driver.pass(milliseconds(200));
    driver.pass(report_interval);
    CHECK(driver.state.long_waits().empty());
}
