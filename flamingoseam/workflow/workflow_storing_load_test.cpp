#include "tests/workflow_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr milliseconds max_progress_delay{100};
/// Half of the writes per second that the store of such a deployment can execute.
constexpr int max_writes_per_second = 600;

/// Returns the time that the given share of the times does not exceed.
milliseconds quantile(std::vector<milliseconds> times, double share)
{
    std::ranges::sort(times);
    return times.at(static_cast<std::size_t>(share * static_cast<double>(times.size() - 1)));
}

} // namespace

// Issue 16: the records of new jobs waited behind the progress of hundreds of other jobs.
TEST_CASE("new jobs and completions are stored in time at 1050 ends a second")
{
    load_options options{
        .queues = load_of_350_workers(), .workers = 8, .drain_time = milliseconds(1'000)};
    options.milli_cpus *= 350; // Capacity is not scarce in this test.
    options.state.streams = 3;
    SECTION("under the usual load") {}
    SECTION("in a burst")
    {
        options.burst = 1.5;
        options.burst_begins = milliseconds(2'000);
        options.burst_ends = milliseconds(6'000);
    }
    workflow_load load(options);
    load.run();

    std::vector<milliseconds> to_stored;
    std::vector<milliseconds> to_shown;
    for (const auto& job : load.jobs()) {
        REQUIRE(job.answered);
        to_stored.push_back(*job.answered - job.arrival);
        if (job.completed) {
            to_shown.push_back(*job.completed - *job.last_end);
        }
    }
    // A change may just miss the transaction in flight and is then in the next one.
    const auto bound = 2 * (options.collection_time + options.store_answer);
    CHECK(quantile(to_stored, 0.99) <= bound);
    CHECK(quantile(to_shown, 0.99) <= bound);
    CHECK(load.max_acknowledgement_delay() <= max_progress_delay + bound);
    const auto seconds = (options.arrival_period + options.drain_time) / std::chrono::seconds(1);
    CHECK(load.transactions() <= max_writes_per_second * seconds);
    INFO(load.jobs().size() << " jobs, " << load.ends() << " ends, " << load.records()
                            << " records in " << load.transactions() << " transactions in "
                            << seconds << " s");
    INFO("50 %, 99 % and 100 % stored after "
         << quantile(to_stored, 0.5).count() << ", " << quantile(to_stored, 0.99).count() << ", "
         << quantile(to_stored, 1).count() << " ms, shown after " << quantile(to_shown, 0.5).count()
         << ", " << quantile(to_shown, 0.99).count() << ", " << quantile(to_shown, 1).count()
         << " ms, acknowledged after at most " << load.max_acknowledgement_delay().count()
         << " ms");
    CHECK(load.ends() > 900 * (options.arrival_period / std::chrono::seconds(1)));
}
