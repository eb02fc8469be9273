#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr milliseconds long_estimate{6'000};
constexpr milliseconds after_least_run_time{400};

job_spec long_job(const driven_state& one, const std::string& id, bool checkpoints)
{
    auto job = one.job(id, 4'000, 2);
    job.steps[0].estimate = long_estimate;
    job.steps[0].checkpoints = checkpoints;
    return job;
}

job_spec gang(const driven_state& one)
{
    auto job = one.job("00000000000000aa", 4'000, 2);
    job.steps[0].gang = true;
    return job;
}

void submit(driven_state& one, const job_spec& job, int priority, double stretch = 4)
{
    auto terms = one.terms();
    terms.priority = priority;
    terms.stretch = stretch;
    one.state.submit(1, job, terms, one.time, wall);
    one.store();
}

/// Fills the worker with a job of priority 2 and lets it run for `after_least_run_time`.
std::vector<start_order> fill(driven_state& one, bool checkpoints, double stretch = 4)
{
    one.make_usable();
    submit(one, long_job(one, "0000000000000001", checkpoints), 2, stretch);
    const auto starts = one.next().starts;
    for (const auto& order : starts) {
        one.state.on_start(order.worker, order.name, start_outcome::started, one.time);
    }
    one.time += after_least_run_time;
    return starts;
}

} // namespace

TEST_CASE("a gang that finds no free capacity")
{
    driven_state one;

    SECTION("preempts less urgent runs, which resume from their checkpoints")
    {
        const auto running = fill(one, true);
        REQUIRE(running.size() == 2);
        submit(one, gang(one), 1);
        auto actions = one.next();
        REQUIRE(actions.stops.size() == 2);

        worker_report report{.life = 1, .asked = one.time};
        std::int64_t number = 0;
        for (const auto& order : running) {
            report.ended.push_back({.number = ++number,
                                    .name = order.name,
                                    .how = run_end::stopped,
                                    .checkpoint = "half"});
        }
        one.state.on_report(0, report, one.time, wall);
        actions = one.next();
        REQUIRE(actions.starts.size() == 2);
        for (const auto& order : actions.starts) {
            CHECK(order.name.task.job == "00000000000000aa");
        }

        worker_report done{.life = 1, .asked = one.time};
        done.ended.push_back({.number = ++number,
                              .name = actions.starts[0].name,
                              .how = run_end::done,
                              .checkpoint = {}});
        done.ended.push_back({.number = ++number,
                              .name = actions.starts[1].name,
                              .how = run_end::done,
                              .checkpoint = {}});
        one.state.on_report(0, done, one.time, wall);
        actions = one.next();
        REQUIRE(actions.starts.size() == 2);
        CHECK(actions.starts[0].name.task.job == "0000000000000001");
        CHECK(actions.starts[0].checkpoint == "half");
    }
    SECTION("does not preempt runs that would lose their work")
    {
        fill(one, false);
        submit(one, gang(one), 1);
        CHECK(one.next().stops.empty());
    }
    SECTION("does not preempt runs of the same priority")
    {
        fill(one, true);
        submit(one, gang(one), 2);
        CHECK(one.next().stops.empty());
    }
    SECTION("does not preempt runs whose job would become late")
    {
        fill(one, true, 1.1);
        submit(one, gang(one), 1);
        CHECK(one.next().stops.empty());
    }
    SECTION("does not preempt runs if it is already late")
    {
        fill(one, true);
        submit(one, gang(one), 1, 0);
        CHECK(one.next().stops.empty());
    }
}
