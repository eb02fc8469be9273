#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

// Guards against a gang that never starts again: the acceptance of a stop by an earlier life of the
// worker was taken for that of the run that it lists now, which waits for the other members for
// ever.
TEST_CASE("a run that is still listed after its stop was accepted is stopped again")
{
    constexpr milliseconds pass{100};
    constexpr milliseconds missing_time{1'500};
    driven_state driver;
    driver.make_usable();
    auto gang = driver.job("fedcba9876543210", 1'000, 2);
    gang.steps[0].gang = true;
    driver.submit(gang);
    const auto started = driver.next().starts;
    REQUIRE(started.size() == 2);
    for (const auto& order : started) {
        driver.state.on_start(0, order.name, start_outcome::started, driver.time);
    }
    const auto& left = started[1].name;
    const auto report = [&](std::vector<present_run> present) {
        driver.state.on_report(
            0, {.incarnation = 1, .present = std::move(present), .asked = driver.time}, driver.time,
            wall);
    };
    std::vector<stop_order> stops;
    for (const auto end = driver.time + missing_time; driver.time < end && stops.empty();) {
        driver.time += pass;
        report({{.name = left}});
        stops = driver.next().stops;
    }
    REQUIRE(stops.size() == 1);
    REQUIRE(stops[0].name == left);
    driver.state.on_stop(0, left, driver.time);

    SECTION("not for a report that was requested before")
    {
        report({{.name = left}});
        CHECK(driver.next(pass).stops.empty());
    }
    SECTION("and the gang starts again once it has ended")
    {
        stops.clear();
        for (const auto end = driver.time + missing_time; driver.time < end && stops.empty();) {
            driver.time += pass;
            report({{.name = left}});
            stops = driver.next().stops;
        }
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].name == left);
        driver.state.on_report(0,
                               {.incarnation = 1,
                                .ended = {{.number = 1, .name = left, .how = run_end::stopped}},
                                .asked = driver.time},
                               driver.time, wall);
        CHECK(driver.next(pass).starts.size() == 2);
    }
}

TEST_CASE("the log tells why a run is stopped and a job is refused")
{
    driven_state driver;
    driver.make_usable();
    const auto detail_of = [](const workflow_actions& actions, const std::string& event) {
        const auto found = std::ranges::find(actions.decisions, event, &logged_decision::event);
        return found == actions.decisions.end() ? std::string() : found->detail;
    };
    driver.submit(driver.job("fedcba9876543210", 1'000, 1));
    const auto started = driver.next().starts;
    REQUIRE(started.size() == 1);
    driver.state.on_start(0, started[0].name, start_outcome::started, driver.time);
    driver.state.cancel(2, "fedcba9876543210", driver.time, wall);
    CHECK(detail_of(driver.next(), "stop") ==
          to_string(started[0].name) + " on w: its job has ended");

    driver.state.set_store_available(false);
    driver.submit_unstored(driver.job("0123456789abcdef", 1'000));
    const auto refused = driver.next();
    const auto line = std::ranges::find(refused.decisions, "refused", &logged_decision::event);
    REQUIRE(line != refused.decisions.end());
    CHECK(std::ranges::find(line->fields, "retry_after_ms", &log_field::name) !=
          line->fields.end());
}
