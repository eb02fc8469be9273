#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;
using namespace std::chrono_literals;

namespace {

const std::string unknown_job = "00000000000000bb";

ended_run end_of(std::int64_t number, const run_name& name, run_end how = run_end::done)
{
    return {.number = number, .name = name, .how = how};
}

/// Returns the logged decision of a kind, which must have been logged once.
logged_decision find_decision(const workflow_actions& actions, const std::string& event)
{
    CHECK(std::ranges::count(actions.decisions, event, &logged_decision::event) == 1);
    const auto found = std::ranges::find(actions.decisions, event, &logged_decision::event);
    REQUIRE(found != actions.decisions.end());
    return *found;
}

std::int64_t field_of(const logged_decision& decision, const std::string& name)
{
    const auto found = std::ranges::find(decision.fields, name, &log_field::name);
    REQUIRE(found != decision.fields.end());
    return found->value;
}

} // namespace

TEST_CASE("ends and runs of unknown jobs are logged")
{
    driven_state driver;
    driver.make_usable();
    driver.next();
    const run_name ended{{unknown_job, 0, 1}, 7};
    const run_name running{{unknown_job, 0, 2}, 8};
    driver.state.on_report(
        0, {.incarnation = 1, .present = {{.name = running}}, .ended = {end_of(3, ended)}},
        driver.time, wall);
    const auto actions = driver.next();

    const auto end = find_decision(actions, "end_unknown_job");
    CHECK(end.job == unknown_job);
    CHECK(end.detail == to_string(ended) + " on w: done");
    CHECK(field_of(end, "end") == 3);
    CHECK(field_of(end, "token_base") == 0);
    CHECK(field_of(end, "epoch") == 2);
    CHECK(field_of(end, "incarnation") == 1);

    const auto run = find_decision(actions, "run_unknown_job");
    CHECK(run.job == unknown_job);
    CHECK(run.detail.starts_with(to_string(running) + " on w"));
}
