#include "flamingoseam/workflow/workflow_state.hpp"
#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr int workers = 14;
constexpr std::int64_t whole_worker = 8'000;
constexpr milliseconds pass{50};
/// A job that has room twice over, while less than half of the service is in use, must have started
/// after this time.
constexpr milliseconds max_wait_with_room{3'000};

/// A cell in which a gang waits for all workers, of which some run other work for ten seconds.
struct reserved_cell {
    driven_state driver;

    explicit reserved_cell(int busy)
    {
        std::vector<worker_entry> entries;
        for (int number = 0; number < workers; ++number) {
            entries.push_back(driver.worker());
            entries.back().id = "w" + std::to_string(number);
        }
        driver.state.on_worker_list(entries, driver.time);
        for (std::size_t worker = 0; worker < workers; ++worker) {
            driver.state.on_report(worker, {.incarnation = 1}, driver.time, wall);
        }
        driver.store();
        driver.submit(job("busy", busy, milliseconds(10'000)));
        const auto starts = driver.next().starts;
        REQUIRE(starts.size() == static_cast<std::size_t>(busy));
        for (const auto& start : starts) {
            driver.state.on_start(start.worker, start.name, start_outcome::started, driver.time);
        }
        auto gang = job("gang", workers, milliseconds(2'000));
        gang.steps[0].gang = true;
        driver.submit(gang);
        REQUIRE(driver.next().starts.empty());
    }

    job_spec job(const std::string& id, int tasks, milliseconds estimate) const
    {
        auto spec = driver.job(id, whole_worker, tasks);
        spec.steps[0].estimate = estimate;
        return spec;
    }

    /// Submits a job with one long task and returns whether it starts within a time.
    bool starts_single_within(milliseconds limit)
    {
        driver.submit(job("single", 1, milliseconds(15'000)));
        for (const auto end = driver.time + limit; driver.time < end;) {
            if (!driver.next(pass).starts.empty()) {
                return true;
            }
        }
        return false;
    }
};

} // namespace

// Guards against LOST: idle workers that were reserved for a gang of another job were kept from a
// job for more than ten seconds.
TEST_CASE("a reservation for a gang doesn't keep a job waiting while most of the service is idle")
{
    reserved_cell cell(2);
    CHECK_FALSE(cell.starts_single_within(pass));
    CHECK(cell.driver.next(max_wait_with_room).starts.size() == 1);
}

// Guards against gangs that never start: small tasks take each worker as soon as it is idle.
TEST_CASE("a reservation for a gang holds while most of the service is in use")
{
    reserved_cell cell(8);
    CHECK_FALSE(cell.starts_single_within(max_wait_with_room));
}
