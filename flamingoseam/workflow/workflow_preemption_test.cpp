#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr milliseconds long_estimate{6'000};
constexpr milliseconds after_min_run_time{400};

job_spec long_job(const driven_state& driven, const std::string& id, bool checkpoints)
{
    auto job = driven.job(id, 4'000, 2);
    job.steps[0].estimate = long_estimate;
    job.steps[0].checkpoints = checkpoints;
    return job;
}

job_spec gang(const driven_state& driven)
{
    auto job = driven.job("00000000000000aa", 4'000, 2);
    job.steps[0].gang = true;
    return job;
}

void submit(driven_state& driven, const job_spec& job, int priority, double stretch = 4)
{
    auto terms = driven.terms();
    terms.priority = priority;
    terms.stretch = stretch;
    driven.state.submit(1, job, terms, driven.time, wall);
    driven.store();
}

/// Fills the worker with a job of priority 2 and lets it run for `after_min_run_time`.
std::vector<start_order> fill(driven_state& driven, bool checkpoints, double stretch = 4)
{
    driven.make_usable();
    submit(driven, long_job(driven, "0000000000000001", checkpoints), 2, stretch);
    const auto starts = driven.next().starts;
    for (const auto& order : starts) {
        driven.state.on_start(order.worker, order.name, start_outcome::started, driven.time);
    }
    driven.time += after_min_run_time;
    return starts;
}

} // namespace

TEST_CASE("a gang that finds no free capacity")
{
    driven_state driven;

    SECTION("preempts less urgent runs, which resume from their checkpoints")
    {
        const auto running = fill(driven, true);
        REQUIRE(running.size() == 2);
        submit(driven, gang(driven), 1);
        auto actions = driven.next();
        REQUIRE(actions.stops.size() == 2);

        worker_report report{.incarnation = 1, .asked = driven.time};
        std::int64_t number = 0;
        for (const auto& order : running) {
            report.ended.push_back({.number = ++number,
                                    .name = order.name,
                                    .how = run_end::stopped,
                                    .checkpoint = "half"});
        }
        driven.state.on_report(0, report, driven.time, wall);
        actions = driven.next();
        REQUIRE(actions.starts.size() == 2);
        for (const auto& order : actions.starts) {
            CHECK(order.name.task.job == "00000000000000aa");
        }

        worker_report done{.incarnation = 1, .asked = driven.time};
        done.ended.push_back({.number = ++number,
                              .name = actions.starts[0].name,
                              .how = run_end::done,
                              .checkpoint = {}});
        done.ended.push_back({.number = ++number,
                              .name = actions.starts[1].name,
                              .how = run_end::done,
                              .checkpoint = {}});
        driven.state.on_report(0, done, driven.time, wall);
        actions = driven.next();
        REQUIRE(actions.starts.size() == 2);
        CHECK(actions.starts[0].name.task.job == "0000000000000001");
        CHECK(actions.starts[0].checkpoint == "half");
    }
    SECTION("does not preempt runs that would lose their work")
    {
        fill(driven, false);
        submit(driven, gang(driven), 1);
        CHECK(driven.next().stops.empty());
    }
    SECTION("does not preempt runs of the same priority")
    {
        fill(driven, true);
        submit(driven, gang(driven), 2);
        CHECK(driven.next().stops.empty());
    }
    SECTION("does not preempt runs whose job would become late")
    {
        fill(driven, true, 1.1);
        submit(driven, gang(driven), 1);
        CHECK(driven.next().stops.empty());
    }
    SECTION("does not preempt runs if it is already late")
    {
        fill(driven, true);
        submit(driven, gang(driven), 1, 0);
        CHECK(driven.next().stops.empty());
    }
}
