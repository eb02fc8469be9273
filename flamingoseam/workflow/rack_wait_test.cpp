#include "flamingoseam/workflow/workflow_state.hpp"
#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr const char* job_id = "fedcba9876543210";
constexpr int idle_workers = 12;
constexpr milliseconds pass{50};
/// A job that has room twice over, while less than half of the service is in use, must have started
/// after this time.
constexpr milliseconds max_wait_with_room{3'000};
constexpr milliseconds long_estimate{15'000};
/// A step is reported 5 s after its job has begun to wait, and at the next report of steps.
constexpr milliseconds latest_wait_report{8'000};

worker_entry worker_in(const std::string& id, const std::string& rack)
{
    auto entry = driven_state().worker();
    entry.id = id;
    entry.rack = rack;
    return entry;
}

/// Two workers in rack "near" and others in rack "far".
std::vector<worker_entry> two_racks()
{
    std::vector<worker_entry> workers{worker_in("near0", "near"), worker_in("near1", "near")};
    for (int number = 0; number < idle_workers; ++number) {
        workers.push_back(worker_in("far" + std::to_string(number), "far"));
    }
    return workers;
}

/// A state whose workers have all reported.
struct rack_cell {
    driven_state driver;

    explicit rack_cell(const std::vector<worker_entry>& workers) { use(workers); }

    void use(const std::vector<worker_entry>& workers)
    {
        driver.state.on_worker_list(workers, driver.time);
        for (const auto& entry : workers) {
            driver.state.on_report(index_of(entry.id), {.incarnation = 1}, driver.time, wall);
        }
        driver.store();
    }

    std::size_t index_of(const std::string& worker) const
    {
        return driver.state.find_worker(worker).value();
    }

    std::string rack_of(const start_order& order) const
    {
        return driver.state.workers().at(order.worker).entry.rack;
    }

    /// A job whose tasks run faster in rack "near".
    job_spec near_job(int tasks = 1) const
    {
        auto job = driver.job(job_id, 1'000, tasks);
        job.steps[0].estimate = long_estimate;
        job.steps[0].preferred_rack = "near";
        return job;
    }

    /// Makes a job that fills a worker for long, and confirms that its task has started there.
    void fill(const std::string& rack, int workers)
    {
        for (int number = 0; number < workers; ++number) {
            auto job = driver.job(rack + std::to_string(number), 8'000);
            job.steps[0].estimate = std::chrono::minutes(1);
            job.steps[0].preferred_rack = rack;
            driver.submit(job);
            const auto starts = driver.next().starts;
            REQUIRE(starts.size() == 1);
            REQUIRE(rack_of(starts[0]) == rack);
            driver.state.on_start(starts[0].worker, starts[0].name, start_outcome::started,
                                  driver.time);
        }
    }

    /// Returns what the first report on a waiting step says, nothing if none comes for a time.
    std::string first_wait_report()
    {
        for (const auto end = driver.time + latest_wait_report; driver.time < end;) {
            for (const auto& decision : driver.next(pass).decisions) {
                if (decision.event == "step_waits") {
                    return decision.detail;
                }
            }
        }
        return {};
    }

    /// Returns the starts of the first pass with any, none if there are none for a time.
    std::vector<start_order> starts_within(milliseconds limit)
    {
        for (const auto end = driver.time + limit; driver.time < end;) {
            auto starts = driver.next(pass).starts;
            if (!starts.empty()) {
                return starts;
            }
        }
        return {};
    }
};

} // namespace

// Guards against LOST: a job waited for a rack without any usable worker for twice its estimate.
TEST_CASE("a job whose preferred rack has no worker for it starts elsewhere at once")
{
    auto workers = two_racks();

    SECTION("the rack has never been there")
    {
        workers.erase(workers.begin(), workers.begin() + 2);
        rack_cell cell(workers);
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers are lost")
    {
        rack_cell cell(workers);
        workers.erase(workers.begin(), workers.begin() + 2);
        cell.use(workers);
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers are lost while the job waits for them")
    {
        rack_cell cell(workers);
        cell.fill("near", 2);
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.empty());
        workers.erase(workers.begin(), workers.begin() + 2);
        cell.driver.state.on_worker_list(workers, cell.driver.time);
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers leave")
    {
        workers[0].leaving = true;
        workers[1].leaving = true;
        rack_cell cell(workers);
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers are not reached")
    {
        rack_cell cell(workers);
        for (const std::size_t worker : {0, 1}) {
            cell.driver.state.on_unreachable_changed(worker, true, cell.driver.time,
                                                     cell.driver.time);
        }
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers are too small")
    {
        workers[0].capacity.milli_cpus = 500;
        workers[1].capacity.milli_cpus = 500;
        rack_cell cell(workers);
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers lack the label")
    {
        for (std::size_t index = 2; index < workers.size(); ++index) {
            workers[index].labels = {"gpu"};
        }
        rack_cell cell(workers);
        auto job = cell.near_job();
        job.steps[0].label = "gpu";
        cell.driver.submit(job);
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers belong to another service")
    {
        workers[0].service = "other";
        workers[1].service = "other";
        rack_cell cell(workers);
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("its workers are not permitted")
    {
        rack_cell cell(workers);
        auto terms = cell.driver.terms();
        terms.permission = permission_terms{.decision = fractional_ms(1),
                                            .per_worker = fractional_ms(1),
                                            .validity = milliseconds(2'000)};
        cell.driver.state.submit(1, cell.near_job(), terms, cell.driver.time, wall);
        cell.driver.store();
        const auto requests = cell.driver.next().permissions;
        REQUIRE(requests.size() == 1);
        REQUIRE(requests[0].workers.size() == workers.size());
        std::vector<ticket_grant> grants;
        for (const auto& worker : requests[0].workers) {
            if (worker.starts_with("far")) {
                grants.push_back({worker, "ticket"});
            }
        }
        cell.driver.state.on_permission(requests[0].number, grants, cell.driver.time);
        CHECK(cell.driver.next().starts.size() == 1);
    }
    SECTION("the gang is wider than the rack")
    {
        rack_cell cell(workers);
        auto job = cell.near_job(3);
        job.steps[0].size.milli_cpus = 8'000;
        job.steps[0].gang = true;
        cell.driver.submit(job);
        CHECK(cell.driver.next().starts.size() == 3);
    }
}

// Guards against LOST: a gang that fits in no rack waited for one for twice its estimate.
TEST_CASE("a gang that is to run in a single rack and fits in none starts at once")
{
    auto workers = two_racks();
    for (std::size_t index = 2; index < workers.size(); ++index) {
        workers[index].rack = index % 2 == 0 ? "even" : "odd";
    }
    rack_cell cell(workers);
    auto job = cell.driver.job(job_id, 8'000, 8);
    job.steps[0].estimate = long_estimate;
    job.steps[0].gang = true;
    job.steps[0].same_rack = true;

    SECTION("over several racks")
    {
        cell.driver.submit(job);
        CHECK(cell.driver.next().starts.size() == 8);
    }
    SECTION("in another one than the one that it prefers, if it fits there")
    {
        job.steps[0].tasks = 6;
        job.steps[0].preferred_rack = "near";
        cell.driver.submit(job);
        const auto starts = cell.driver.next().starts;
        REQUIRE(starts.size() == 6);
        for (const auto& start : starts) {
            CHECK(cell.rack_of(start) == cell.rack_of(starts[0]));
        }
    }
}

// Guards against a wait whose report does not tell what the step waits for.
TEST_CASE("a step that waits for a rack is reported with it")
{
    rack_cell cell(two_racks());
    cell.fill("near", 2);
    cell.fill("far", 6); // More than half of the service.

    SECTION("that it prefers")
    {
        cell.driver.submit(cell.near_job());
        CHECK(cell.first_wait_report() == "step 0: no room in its preferred rack near");
    }
    SECTION("that its gang needs, whichever it is")
    {
        auto gang = cell.driver.job(job_id, 8'000, 10);
        gang.steps[0].estimate = long_estimate;
        gang.steps[0].gang = true;
        gang.steps[0].same_rack = true;
        cell.driver.submit(gang);
        CHECK(cell.first_wait_report() == "step 0: no room in a single rack");
    }
}

// Guards against LOST: a rack was full of long work, while all other workers were idle.
TEST_CASE("a job doesn't wait for long for a full rack while other workers are idle")
{
    rack_cell cell(two_racks());
    cell.fill("near", 2);

    SECTION("it waits for a moment, since it runs faster there")
    {
        cell.driver.submit(cell.near_job());
        CHECK(cell.driver.next().starts.empty());
        CHECK(cell.starts_within(max_wait_with_room).size() == 1);
    }
    SECTION("a gang neither")
    {
        auto job = cell.near_job(2);
        job.steps[0].gang = true;
        cell.driver.submit(job);
        CHECK(cell.driver.next().starts.empty());
        CHECK(cell.starts_within(max_wait_with_room).size() == 2);
    }
    SECTION("a call to the permission service is made before the end of the wait")
    {
        constexpr milliseconds call_time{700};
        auto terms = cell.driver.terms();
        terms.permission = permission_terms{
            .decision = call_time, .per_worker = fractional_ms(1), .validity = milliseconds(1'500)};
        cell.driver.state.submit(1, cell.near_job(), terms, cell.driver.time, wall);
        cell.driver.store();
        const auto submitted = cell.driver.time;
        std::vector<start_order> starts;
        while (starts.empty() && cell.driver.time < submitted + max_wait_with_room) {
            auto actions = cell.driver.next(pass);
            starts = actions.starts;
            for (const auto& request : actions.permissions) {
                cell.driver.time += call_time;
                std::vector<ticket_grant> grants;
                for (const auto& worker : request.workers) {
                    grants.push_back({worker, "ticket"});
                }
                cell.driver.state.on_permission(request.number, grants, cell.driver.time);
            }
        }
        CHECK(starts.size() == 1);
    }
}

// Guards against needless slow runs: without idle capacity elsewhere the wait for a rack pays off
// up to twice the estimate.
TEST_CASE("a job waits longer for its preferred rack while most of the service is in use")
{
    rack_cell cell(two_racks());
    cell.fill("near", 2);
    cell.fill("far", 6);
    auto job = cell.near_job();
    job.steps[0].estimate = milliseconds(2'000);
    cell.driver.submit(job);

    CHECK(cell.starts_within(milliseconds(3'900)).empty());
    CHECK(cell.starts_within(milliseconds(300)).size() == 1);
}

// Guards against LOST: each owner began the wait for a rack anew.
TEST_CASE("a new owner doesn't begin the wait for a preferred rack anew")
{
    rack_cell earlier(two_racks());
    job_record job;
    job.spec = earlier.near_job();
    job.terms = earlier.driver.terms();
    job.accepted = wall - milliseconds(4'000);
    job.spec_stored = true;
    fill_steps(job, task_phase::waiting);

    driven_state driver;
    driver.state.load({job}, {}, driver.time, wall);
    const auto workers = two_racks();
    driver.state.on_worker_list(workers, driver.time);
    const run_name unknown{{"0123456789abcdef", 0, 0}, 7};
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        worker_report report{.incarnation = 1};
        if (workers[worker].rack == "near") {
            report.present.push_back({.name = unknown}); // It takes the whole worker.
        }
        driver.state.on_report(worker, report, driver.time, wall);
    }
    driver.store();
    CHECK(driver.next().starts.size() == 1);
}

// Guards against slow runs: a step that became ready late had used up the wait for its rack.
TEST_CASE("the wait for a preferred rack begins when the step's turn comes")
{
    rack_cell cell(two_racks());
    auto job = cell.near_job();
    job.steps[0].preferred_rack = "far";
    job.steps[0].estimate = milliseconds(1'000);
    job.steps.push_back(job.steps[0]);
    job.steps[1].preferred_rack = "near";
    job.steps[1].after = {0};
    cell.driver.submit(job);
    const auto first = cell.driver.next().starts;
    REQUIRE(first.size() == 1);
    cell.driver.state.on_start(first[0].worker, first[0].name, start_outcome::started,
                               cell.driver.time);
    cell.fill("near", 2);

    cell.driver.time += milliseconds(2'500);
    cell.driver.state.on_report(
        first[0].worker,
        {.incarnation = 1, .present = {}, .ended = {{.number = 1, .name = first[0].name}}},
        cell.driver.time, wall);
    CHECK(cell.driver.next().starts.empty());
    CHECK(cell.starts_within(max_wait_with_room).size() == 1);
}
