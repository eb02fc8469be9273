#include "tests/workflow_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr double starts_per_second = 1'200; ///< Of the control plane; the usual load needs 1,050.

/// A burst of twice the usual load for 4 s.
load_options burst_options()
{
    load_options options{.queues = load_of_350_workers(),
                         .traffic = milliseconds(14'000),
                         .rest = milliseconds(12'000),
                         .burst = 2,
                         .burst_begins = milliseconds(2'000),
                         .burst_ends = milliseconds(6'000)};
    options.state.streams = 3;
    return options;
}

/// Returns the tasks of the jobs that are refused and never accepted.
int refused_tasks(const workflow_load& load)
{
    int tasks = 0;
    for (const auto& job : load.jobs()) {
        tasks += job.refused ? job.spec.steps.front().tasks : 0;
    }
    return tasks;
}

int count_hopeless(const workflow_load& load)
{
    return static_cast<int>(std::ranges::count_if(
        load.jobs(), [](const load_job& job) { return !job.refused && job.credit() == 0; }));
}

double worth_between(const workflow_load& load, milliseconds from, milliseconds to)
{
    return load.worth([&](const load_job& job) { return from <= job.arrival && job.arrival < to; });
}

} // namespace

// SHORT, issue 16: after a burst everything that was accepted was late for ever.
TEST_CASE("a burst at twice what the control plane carries is over within seconds")
{
    auto options = burst_options();
    options.starts_per_second = starts_per_second;
    workflow_load load(options);
    load.run();

    const auto excess = 2 * 1'050 - starts_per_second;
    const auto burst_s =
        static_cast<double>((options.burst_ends - options.burst_begins).count()) / 1'000;
    const auto recovered = options.burst_ends + milliseconds(2'000);
    INFO("worth " << load.worth() << ", after the burst "
                  << worth_between(load, recovered, options.traffic) << ", " << load.jobs().size()
                  << " jobs, " << count_hopeless(load) << " hopeless");
    CHECK(worth_between(load, recovered, options.traffic) >= 0.95);
    CHECK(count_hopeless(load) <= static_cast<int>(load.jobs().size()) / 50);
    CHECK(refused_tasks(load) <= excess * burst_s);
    CHECK(std::ranges::none_of(load.jobs(), [&](const load_job& job) {
        return job.refused && (job.arrival < options.burst_begins || job.arrival >= recovered);
    }));
}

TEST_CASE("what room can carry is not refused")
{
    auto options = burst_options();
    SECTION("on a calm day")
    {
        options.burst = 1;
    }
    SECTION("in a burst that the order of work makes up for") {}
    SECTION("when everything comes at once")
    {
        options.burst = 20;
        options.burst_ends = options.burst_begins + milliseconds(100);
    }
    workflow_load load(options);
    load.run();
    CHECK(refused_tasks(load) == 0);
}

// SHORT, issue 16: 0 of 5,318 jobs were refused while everything was served 10 to 25 s late.
TEST_CASE("urgent jobs beyond what can be served are refused")
{
    auto options = burst_options();
    options.queues.resize(1);
    options.queues[0].per_second = 320;
    options.starts_per_second = starts_per_second;
    workflow_load load(options);
    load.run();

    const auto refused = std::ranges::count_if(load.jobs(), &load_job::refused);
    INFO("worth " << load.worth() << ", " << load.jobs().size() << " jobs, " << refused
                  << " refused, " << count_hopeless(load) << " hopeless, after the burst "
                  << worth_between(load, milliseconds(8'000), options.traffic));
    CHECK(refused > 0);
    CHECK(refused_tasks(load) <= (2 * 1'024 - starts_per_second) * 4);
    CHECK(worth_between(load, milliseconds(8'000), options.traffic) >= 0.95);
    CHECK(count_hopeless(load) <= refused);
}
