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
constexpr std::int64_t whole_worker = 8'000;
constexpr std::size_t old_worker = 0;
constexpr std::size_t new_worker = 1;
constexpr milliseconds longer_than_a_change{2'000};

worker_entry worker_of(const std::string& service)
{
    auto entry = driven_state().worker();
    entry.id = "worker of " + service;
    entry.service = service;
    return entry;
}

/// A cell with one worker of the service "old", to which the queue is sent at first, and one of the
/// service "new".
struct moving_cell {
    driven_state driver;
    std::vector<worker_entry> workers{worker_of("old"), worker_of("new")};

    moving_cell()
    {
        configure(1, {terms("old", 1)});
        list_workers();
        for (const auto worker : {old_worker, new_worker}) {
            report(worker, {.incarnation = 1});
        }
        driver.store();
    }

    queue_terms terms(const std::string& service, std::int64_t version) const
    {
        auto result = driver.terms();
        result.version = version;
        result.service = service;
        return result;
    }

    void configure(std::int64_t version, const std::vector<queue_terms>& queues)
    {
        driver.state.on_queue_configuration({version, queues}, driver.time);
    }

    void send_queue_to(const std::string& service, std::int64_t version)
    {
        configure(version, {terms(service, version)});
    }

    void list_workers() { driver.state.on_worker_list(workers, driver.time); }

    void report(std::size_t worker, const worker_report& content)
    {
        driver.state.on_report(worker, content, driver.time, wall);
    }

    void remove_old_worker()
    {
        workers.erase(workers.begin());
        list_workers();
        driver.state.on_emptied(old_worker, emptied_reason::lease_expired, driver.time, wall);
    }

    void submit(const job_spec& spec, const queue_terms& job_terms)
    {
        driver.state.submit(1, spec, job_terms, driver.time, wall);
        driver.store();
    }

    /// Submits a job that fills a worker under the terms of the first version.
    void submit_wide(const std::string& id = job_id)
    {
        submit(driver.job(id, whole_worker), terms("old", 1));
    }

    /// Returns the workers on which the next pass starts runs.
    std::vector<std::size_t> next_workers()
    {
        std::vector<std::size_t> started;
        for (const auto& start : driver.next().starts) {
            started.push_back(start.worker);
        }
        return started;
    }

    void fill_old_worker()
    {
        submit_wide("0000000000000001");
        REQUIRE(next_workers() == std::vector{old_worker});
    }
};

const std::vector<std::size_t> nowhere;

} // namespace

// Guards against LOST: the service of a queue was fixed when a job was accepted.
TEST_CASE("a job that waits follows its queue to another service")
{
    moving_cell cell;

    SECTION("while the earlier service is full")
    {
        cell.fill_old_worker();
        cell.submit_wide();
        REQUIRE(cell.next_workers() == nowhere);
        cell.send_queue_to("new", 2);
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
    SECTION("when the earlier service has no worker left")
    {
        cell.fill_old_worker();
        cell.submit_wide();
        cell.send_queue_to("new", 2);
        cell.remove_old_worker();
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
    SECTION("with the runs that it has lost")
    {
        cell.fill_old_worker();
        cell.send_queue_to("new", 2);
        REQUIRE(cell.next_workers() == nowhere);
        cell.remove_old_worker();
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
    SECTION("and back, if the configuration changes again at once")
    {
        cell.send_queue_to("new", 2);
        cell.submit_wide();
        cell.send_queue_to("old", 3);
        CHECK(cell.next_workers() == std::vector{old_worker});
    }
    SECTION("with the second step, after the first one ran on the earlier service")
    {
        auto job = cell.driver.job(job_id, whole_worker);
        job.steps.push_back(job.steps[0]);
        job.steps[1].after = {0};
        job.steps[1].gang = true;
        cell.submit(job, cell.terms("old", 1));
        const auto first = cell.driver.next().starts.at(0);
        cell.driver.state.on_start(old_worker, first.name, start_outcome::started,
                                   cell.driver.time);
        cell.send_queue_to("new", 2);
        cell.report(
            old_worker,
            {.incarnation = 1, .present = {}, .ended = {{.number = 1, .name = first.name}}});
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
    SECTION("without a reservation for its gang on the earlier service")
    {
        cell.fill_old_worker();
        auto gang = cell.driver.job(job_id, whole_worker);
        gang.steps[0].gang = true;
        cell.submit(gang, cell.terms("old", 1));
        REQUIRE(cell.next_workers() == nowhere); // It reserves the old worker.
        cell.send_queue_to("new", 2);
        REQUIRE(cell.next_workers() == std::vector{new_worker});
        cell.driver.state.cancel(2, "0000000000000001", cell.driver.time, wall);
        cell.remove_old_worker();
        cell.workers.insert(cell.workers.begin(), worker_of("old"));
        cell.list_workers();
        cell.report(old_worker, {.incarnation = 1});
        cell.driver.store();
        auto other = cell.terms("old", 1);
        other.name = "other";
        auto job = cell.driver.job("0000000000000002", whole_worker);
        job.queue = other.name;
        cell.submit(job, other);
        CHECK(cell.next_workers() == std::vector{old_worker});
    }
}

// Guards against LOST: an owner that loads jobs knows the service only that they were accepted for.
TEST_CASE("a job that an earlier owner has stored follows its queue to another service")
{
    moving_cell cell;
    job_record job;
    job.spec = cell.driver.job(job_id, whole_worker);
    job.terms = cell.terms("old", 1);
    job.accepted = wall;
    job.spec_stored = true;
    fill_steps(job, task_phase::waiting);

    auto loaded = read_specification(write_specification(job));
    CHECK(loaded.terms.version == 1);
    loaded.spec.id = job_id;
    driven_state driver;
    driver.state.load({loaded}, {}, driver.time, wall);
    driver.state.on_queue_configuration({2, {cell.terms("new", 2)}}, driver.time);
    driver.state.on_worker_list({worker_of("new")}, driver.time);
    driver.state.on_report(0, {.incarnation = 1}, driver.time, wall);
    driver.store();
    CHECK(driver.next().starts.size() == 1);
}

// Guards against LOST: the queue was sent to a service that has no worker, while the earlier one
// has.
TEST_CASE("a job runs on the service of its acceptance while the newer one has no usable worker")
{
    moving_cell cell;
    cell.workers.pop_back();
    cell.list_workers();
    cell.submit_wide();
    cell.send_queue_to("new", 2);

    SECTION("until one is there")
    {
        CHECK(cell.next_workers() == std::vector{old_worker});
        cell.submit_wide("0000000000000002");
        CHECK(cell.next_workers() == nowhere);
        cell.workers.push_back(worker_of("new"));
        cell.list_workers();
        cell.report(new_worker, {.incarnation = 1});
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
    SECTION("but a job that was accepted for the newer one does not")
    {
        CHECK(cell.next_workers() == std::vector{old_worker});
        cell.remove_old_worker();
        cell.workers.insert(cell.workers.begin(), worker_of("old"));
        cell.list_workers();
        cell.report(old_worker, {.incarnation = 1});
        cell.driver.store();
        cell.submit(cell.driver.job("0000000000000002", 1'000), cell.terms("new", 2));
        const auto starts = cell.driver.next(longer_than_a_change).starts;
        CHECK(std::ranges::none_of(starts, [](const start_order& start) {
            return start.name.task.job == "0000000000000002";
        }));
    }
}

// Guards against LOST: workers of the newer service are usable, but none of them can run what
// waits.
TEST_CASE("a job runs on the service of its acceptance while only that one can run what waits")
{
    moving_cell cell;
    auto job = cell.driver.job(job_id, whole_worker);

    SECTION("as no worker of the newer one has the label")
    {
        cell.workers[old_worker].labels = {"gpu"};
        job.steps[0].label = "gpu";
    }
    SECTION("as the workers of the newer one are too small")
    {
        cell.workers[new_worker].capacity.milli_cpus = whole_worker / 2;
    }
    SECTION("as the newer one has too few workers for a gang")
    {
        cell.workers[new_worker].capacity.milli_cpus = whole_worker / 2;
        job.steps[0].size.milli_cpus = whole_worker / 4;
        job.steps[0].tasks = 3;
        job.steps[0].gang = true;
    }
    SECTION("as the newer one may run too few tasks of a gang on a worker")
    {
        auto second_old_worker = worker_of("old");
        second_old_worker.id = "second worker of old";
        cell.workers.push_back(second_old_worker);
        job.steps[0].size.milli_cpus = whole_worker / 4;
        job.steps[0].tasks = 2;
        job.steps[0].gang = true;
        job.steps[0].max_per_worker = 1;
    }
    cell.list_workers();
    for (std::size_t worker = 0; worker < cell.workers.size(); ++worker) {
        cell.report(worker, {.incarnation = 1});
    }
    cell.driver.store();
    cell.submit(job, cell.terms("old", 1));
    cell.send_queue_to("new", 2);
    const auto started = cell.next_workers();
    CHECK(static_cast<int>(started.size()) == job.steps[0].tasks);
    CHECK(std::ranges::find(started, new_worker) == started.end());

    cell.submit(cell.driver.job("0000000000000002", 1'000), cell.terms("old", 1));
    CHECK(cell.next_workers() == std::vector{new_worker});
}

// Guards against LOST: the service is chosen for each step, not once for the job.
TEST_CASE("a step returns to the service of the job's acceptance if only that one can run it")
{
    moving_cell cell;
    cell.workers[old_worker].labels = {"gpu"};
    cell.list_workers();
    auto job = cell.driver.job(job_id, whole_worker);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};
    job.steps[1].label = "gpu";
    cell.submit(job, cell.terms("old", 1));
    cell.send_queue_to("new", 2);
    const auto first = cell.driver.next().starts;
    REQUIRE(first.size() == 1);
    REQUIRE(first[0].worker == new_worker);
    cell.driver.state.on_start(new_worker, first[0].name, start_outcome::started, cell.driver.time);
    cell.report(new_worker,
                {.incarnation = 1, .present = {}, .ended = {{.number = 1, .name = first[0].name}}});
    cell.driver.store();
    CHECK(cell.driver.next(longer_than_a_change).starts.at(0).worker == old_worker);
}

// Guards against a start on the service of an older configuration.
TEST_CASE("the terms of a queue never go back to an older version")
{
    moving_cell cell;
    cell.send_queue_to("new", 3);

    SECTION("by an older configuration")
    {
        cell.submit_wide();
        cell.send_queue_to("old", 2);
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
    SECTION("by a job from a node that knows an older one")
    {
        cell.submit_wide();
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
    SECTION("by a configuration that is older than the one under which a job was accepted")
    {
        cell.submit(cell.driver.job(job_id, whole_worker), cell.terms("old", 5));
        cell.send_queue_to("new", 4);
        CHECK(cell.next_workers() == std::vector{old_worker});
    }
    SECTION("when the queue is dropped while its jobs wait")
    {
        cell.submit_wide();
        cell.configure(4, {});
        CHECK(cell.next_workers() == std::vector{new_worker});
    }
}

// Guards against a wrong order of jobs: the priority of a queue was fixed when a job was accepted.
TEST_CASE("a job that waits follows the priority of its queue")
{
    moving_cell cell;
    cell.fill_old_worker();
    auto urgent = cell.terms("old", 1);
    urgent.name = "other";
    urgent.priority = 1;
    auto job = cell.driver.job("0000000000000002", whole_worker);
    job.queue = urgent.name;
    cell.submit(job, urgent);
    cell.driver.time += milliseconds(1);
    cell.submit_wide();
    auto moved = cell.terms("old", 2);
    moved.priority = 5;
    urgent.version = 2;
    cell.configure(2, {moved, urgent});
    REQUIRE(cell.next_workers() == nowhere);
    const auto run = cell.driver.state.workers().at(old_worker).runs.begin()->first;
    cell.report(old_worker,
                {.incarnation = 1, .present = {}, .ended = {{.number = 1, .name = run}}});
    const auto starts = cell.driver.next().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].name.task.job == "0000000000000002");
}

// Guards against LOST and against a crash: whether a queue needs permission was fixed when a job
// was accepted.
TEST_CASE("a job that waits follows whether its queue needs permission")
{
    moving_cell cell;
    auto with_permission = cell.terms("old", 2);
    with_permission.permission = permission_terms{.decision = fractional_ms(1),
                                                  .per_worker = fractional_ms(1),
                                                  .validity = milliseconds(2'000)};

    SECTION("from now on")
    {
        cell.fill_old_worker();
        cell.submit_wide();
        cell.configure(2, {with_permission});
        CHECK(cell.driver.next().permissions.size() == 1);
    }
    SECTION("not any more, although a request is not answered")
    {
        cell.configure(2, {with_permission});
        cell.submit(cell.driver.job(job_id, whole_worker), with_permission);
        const auto requests = cell.driver.next().permissions;
        REQUIRE(requests.size() == 1);
        cell.send_queue_to("old", 3);
        CHECK(cell.next_workers() == std::vector{old_worker});
        cell.driver.state.on_permission(requests[0].number,
                                        std::vector<ticket_grant>{{"worker of old", "ticket"}},
                                        cell.driver.time);
        CHECK(cell.next_workers() == nowhere);
    }
}

// The queue's attempts and target are part of what a job was accepted for.
TEST_CASE("the attempts of a job stay those of its acceptance")
{
    moving_cell cell;
    cell.submit_wide();
    auto changed = cell.terms("old", 2);
    changed.max_attempts = 1;
    cell.configure(2, {changed});
    const auto start = cell.driver.next().starts.at(0);
    cell.driver.state.on_start(old_worker, start.name, start_outcome::started, cell.driver.time);
    cell.report(old_worker, {.incarnation = 1,
                             .present = {},
                             .ended = {{.number = 1, .name = start.name, .how = run_end::failed}}});
    cell.driver.store();
    CHECK(cell.driver.state.find(job_id) == job_phase::running);
    CHECK(cell.driver.next(milliseconds(200)).starts.size() == 1);
}
