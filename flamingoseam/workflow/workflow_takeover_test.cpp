#include "flamingoseam/workflow/stored_job.hpp"
#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

std::vector<worker_entry> numbered_workers(int count)
{
    std::vector<worker_entry> workers;
    for (int number = 0; number < count; ++number) {
        auto entry = driven_state().worker();
        entry.id = "w" + std::to_string(number);
        workers.push_back(entry);
    }
    return workers;
}

/// Commits the pending changes and returns the list of leased workers among them.
std::vector<worker_entry> store_leased_workers(driven_state& driver)
{
    std::vector<worker_entry> stored;
    for (const auto& change : driver.state.take_batch(0, 30, driver.time).changes) {
        if (change.key == record_keys{.prefix = "fs/"}.leased_workers()) {
            stored = read_leased_workers(*change.value);
        }
    }
    driver.state.on_stored(0);
    return stored;
}

} // namespace

TEST_CASE("an owner takes over workers with unknown runs")
{
    driven_state driver;
    auto leased_worker = driver.worker();
    leased_worker.capacity = {};
    leased_worker.leaving = true;
    driver.state.load({}, {leased_worker}, driver.time, wall);
    const run_name unknown{{"0123456789abcdef", 0, 0}, 7};

    SECTION("a run of an ended job is stopped and occupies the whole worker until it has ended")
    {
        driver.state.on_report(0, {.incarnation = 1, .present = {{.name = unknown}}}, driver.time,
                               wall);
        driver.state.on_worker_list({driver.worker()}, driver.time);
        driver.submit(driver.job("fedcba9876543210", 1'000));
        auto actions = driver.next();
        REQUIRE(actions.stops.size() == 1);
        CHECK(actions.stops[0].name == unknown);
        CHECK(actions.starts.empty());

        driver.state.on_stop(0, unknown, driver.time);
        CHECK(driver.next().starts.empty());

        driver.state.on_report(0,
                               {.incarnation = 1,
                                .present = {},
                                .ended = {{.number = 1, .name = unknown, .how = run_end::stopped}}},
                               driver.time, wall);
        CHECK(driver.next().starts.size() == 1);
    }
}

TEST_CASE("an owner takes over jobs whose tasks are all done but which are not closed")
{
    constexpr int jobs = 40;
    driven_state driver;
    std::vector<job_record> stored;
    for (int number = 0; number < jobs; ++number) {
        job_record job;
        job.spec = driver.job("done" + std::to_string(number), 1'000);
        job.terms = driver.terms();
        job.accepted = wall;
        job.spec_stored = true;
        fill_steps(job, task_phase::done);
        job.steps[0].done = 1;
        stored.push_back(std::move(job));
    }
    driver.state.load(std::move(stored), {}, driver.time, wall);

    CHECK(driver.state.open_jobs() == 0);
    CHECK(driver.state.counts().completed == jobs);
    driver.store();
    CHECK(driver.state.find("done0") == job_phase::completed);
    CHECK(driver.state.find("done39") == job_phase::completed);
}

TEST_CASE("the answers of a majority of the leased workers allow renewals without the store")
{
    driven_state driver;
    const auto workers = numbered_workers(3);
    driver.state.load({}, workers, driver.time, wall);
    const auto certain_at = driver.time;
    const auto answer = [&](std::size_t worker, milliseconds after, std::int64_t incarnation = 1) {
        driver.state.on_report(worker, {.incarnation = incarnation, .asked = certain_at + after},
                               driver.time + after, wall);
    };
    CHECK_FALSE(driver.state.has_majority_accepted());
    answer(0, milliseconds(100));
    CHECK_FALSE(driver.state.has_majority_accepted());
    CHECK(driver.state.majority_answered_at(certain_at) == time_point{});
    answer(1, milliseconds(200));
    CHECK(driver.state.has_majority_accepted());
    CHECK(driver.state.majority_answered_at(certain_at) == certain_at + milliseconds(100));

    SECTION("a worker that has restarted since does not count")
    {
        answer(1, milliseconds(300), 2);
        CHECK(driver.state.majority_answered_at(certain_at) == time_point{});
        answer(2, milliseconds(400));
        CHECK(driver.state.majority_answered_at(certain_at) == certain_at + milliseconds(100));
    }
    SECTION("the list that the store has counts until a smaller one is stored")
    {
        auto leaving = workers;
        leaving[0].leaving = true;
        leaving[1].leaving = true;
        driver.state.on_worker_list(leaving, driver.time);
        answer(0, milliseconds(100)); // A single report may miss a run.
        answer(1, milliseconds(200));
        driver.next(milliseconds(200)); // Drops the idle leaving workers.
        answer(2, milliseconds(400));
        CHECK(driver.state.majority_answered_at(certain_at) == certain_at + milliseconds(200));
        driver.store();
        CHECK(driver.state.majority_answered_at(certain_at) == certain_at + milliseconds(400));
    }
}

// Guards against a second run of a task: a third owner had the majority of a list to which the
// second one had added workers, while a majority of the shorter list still answered the first one.
TEST_CASE("workers that join while an earlier owner may extend leases don't end its majority")
{
    const auto workers = numbered_workers(7);
    const std::vector<worker_entry> leased_by_first(workers.begin(), workers.begin() + 3);
    const auto answer = [](driven_state& driver, std::size_t worker) {
        driver.state.on_report(worker, {.incarnation = 1, .asked = driver.time}, driver.time, wall);
    };
    driven_state second;
    second.state.load({}, leased_by_first, second.time, wall);
    second.state.on_worker_list(workers, second.time);
    for (const std::size_t worker : {3, 4, 5, 6}) {
        answer(second, worker);
    }
    CHECK_FALSE(second.state.has_majority_accepted());
    auto stored = store_leased_workers(second);
    REQUIRE(stored.size() == 7);

    SECTION("an owner that begins meanwhile needs a majority of the earlier list")
    {
        driven_state third;
        third.state.load({}, stored, third.time, wall);
        for (const std::size_t worker : {3, 4, 5, 6, 0}) {
            answer(third, worker);
            CHECK_FALSE(third.state.has_majority_accepted());
        }
        answer(third, 1);
        CHECK(third.state.has_majority_accepted());
        CHECK(third.state.is_recovering());
        answer(third, 2);
        CHECK(third.state.is_recovering());
        for (const std::size_t worker : {3, 4, 5, 6, 0, 1, 2}) {
            answer(third, worker); // A single report may miss a run.
        }
        CHECK_FALSE(third.state.is_recovering());
    }
    SECTION("they count once the earlier owner extends none any more")
    {
        second.state.on_earlier_renewals_ended();
        stored = store_leased_workers(second);
        driven_state third;
        third.state.load({}, stored, third.time, wall);
        for (const std::size_t worker : {0, 1, 2}) {
            answer(third, worker);
            CHECK_FALSE(third.state.has_majority_accepted());
        }
        answer(third, 3);
        CHECK(third.state.has_majority_accepted());
    }
}

TEST_CASE("a lease is stored as withheld only once no earlier owner extends it")
{
    driven_state driver;
    driver.state.load({}, numbered_workers(2), driver.time, wall);
    driver.state.on_worker_list(numbered_workers(2), driver.time);
    // The first worker has accepted this owner. It may have restarted since and accept an earlier
    // one.
    driver.state.on_report(0, {.incarnation = 1, .asked = driver.time}, driver.time, wall);
    for (const std::size_t worker : {0, 1}) {
        driver.state.on_unreachable_changed(worker, true, driver.time, driver.time);
    }
    using renewals = std::vector<lease_renewal>;
    const auto stored_renewals = [&driver] {
        renewals stored;
        for (const auto& change : driver.state.take_batch(0, 30, driver.time).changes) {
            if (change.key == record_keys{.prefix = "fs/"}.leased_workers()) {
                for (const auto& worker : read_leased_workers(*change.value)) {
                    stored.push_back(worker.renewal);
                }
            }
        }
        driver.state.on_stored(0);
        return stored;
    };
    CHECK(stored_renewals() == renewals{lease_renewal::renewed, lease_renewal::renewed});

    driver.state.on_earlier_renewals_ended();
    CHECK(stored_renewals() == renewals{lease_renewal::withheld, lease_renewal::withheld});

    driver.state.on_emptied(1, emptied_reason::lease_expired, driver.time, wall);
    CHECK(stored_renewals() == renewals{lease_renewal::withheld, lease_renewal::expired});

    driver.state.on_unreachable_changed(1, false, driver.time, driver.time);
    CHECK(stored_renewals() == renewals{lease_renewal::withheld, lease_renewal::renewed});
}

// Guards against LOST: workers that were lost before their owner was killed counted for the
// majority that the next owner waits for.
TEST_CASE("workers whose lease is stored as withheld don't count for a majority")
{
    constexpr int lost_workers = 3;
    const auto workers = numbered_workers(5);
    driven_state owner;
    owner.state.load({}, workers, owner.time, wall);
    owner.state.on_worker_list(workers, owner.time);
    owner.state.on_earlier_renewals_ended();
    const auto certain_at = owner.time;
    const auto answer = [&](driven_state& driver, std::size_t worker) {
        driver.state.on_report(worker, {.incarnation = 1, .asked = driver.time}, driver.time, wall);
    };
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        answer(owner, worker);
    }
    for (std::size_t worker = 0; worker < lost_workers; ++worker) {
        owner.state.on_unreachable_changed(worker, true, owner.time, owner.time);
    }
    const auto stored = store_leased_workers(owner);
    REQUIRE(stored.size() == workers.size());

    SECTION("a later owner needs the other ones only")
    {
        driven_state later;
        later.state.load({}, stored, later.time, wall);
        CHECK_FALSE(later.state.has_majority_accepted());
        answer(later, 3);
        CHECK(later.state.has_majority_accepted());
    }
    SECTION("and the owner may not count them either")
    {
        owner.time += milliseconds(100);
        answer(owner, 0);
        answer(owner, 1);
        answer(owner, 2);
        answer(owner, 3);
        CHECK(owner.state.majority_answered_at(certain_at) == certain_at);
        answer(owner, 4);
        CHECK(owner.state.majority_answered_at(certain_at) == owner.time);
    }
    SECTION("until the store says that their lease is renewed")
    {
        owner.state.on_unreachable_changed(0, false, owner.time, owner.time);
        const auto renewed = store_leased_workers(owner);
        driven_state later;
        later.state.load({}, renewed, later.time, wall);
        answer(later, 3);
        CHECK_FALSE(later.state.has_majority_accepted());
        answer(later, 0);
        CHECK(later.state.has_majority_accepted());
    }
}

TEST_CASE("a later owner waits for workers whose leases have not expired, and only for these")
{
    driven_state driver;
    auto workers = numbered_workers(3);
    workers[0].renewal = lease_renewal::expired;
    workers[1].renewal = lease_renewal::withheld;
    driver.state.load({}, workers, driver.time, wall);
    CHECK(driver.state.is_recovering());
    CHECK_FALSE(driver.state.has_majority_accepted());

    driver.state.on_report(2, {.incarnation = 1, .asked = driver.time}, driver.time, wall);
    CHECK(driver.state.has_majority_accepted());
    driver.state.on_report(2, {.incarnation = 1, .asked = driver.time}, driver.time, wall);
    CHECK(driver.state.is_recovering());
    driver.state.on_emptied(1, emptied_reason::lease_expired, driver.time, wall);
    CHECK_FALSE(driver.state.is_recovering());
}

namespace {

const std::string loaded_job = "0123456789abcdef";

/// An owner that has loaded a job with one task and two workers.
struct successor : driven_state {
    explicit successor(bool awaits_earlier_owner)
    {
        job_record record;
        record.spec = job(loaded_job, 1'000);
        record.terms = terms();
        record.accepted = wall;
        record.spec_stored = true;
        record.has_begun = true;
        fill_steps(record, task_phase::unlocated);
        if (awaits_earlier_owner) {
            state.await_earlier_owner();
        }
        std::vector<job_record> jobs;
        jobs.push_back(std::move(record));
        state.load(std::move(jobs), workers, time, wall);
        state.on_worker_list(workers, time);
    }

    void report(std::size_t worker, const std::vector<ended_run>& ended = {},
                const std::vector<present_run>& present = {})
    {
        time += milliseconds(1);
        state.on_report(worker,
                        {.incarnation = workers[worker].incarnation,
                         .present = present,
                         .ended = ended,
                         .asked = time},
                        time, wall);
    }

    void restart(std::size_t worker)
    {
        ++workers[worker].incarnation;
        state.on_worker_list(workers, time);
    }

    /// Stores the pending changes and returns whether a task is started.
    bool starts_task()
    {
        store();
        return !next().starts.empty();
    }

    std::vector<worker_entry> workers = numbered_workers(2);
    run_name earlier_run{{loaded_job, 0, 0}, 1};
};

} // namespace

// Guards against a second run of a task: the report was made while the run was ending, and the next
// one contained its end as done.
TEST_CASE("a loaded task is not started again because a single report lacks its run")
{
    successor driver(false);
    driver.report(0);
    driver.report(1);
    CHECK_FALSE(driver.starts_task());
    driver.report(0);
    SECTION("and not if the second report contains its end")
    {
        driver.report(1, {{.number = 1, .name = driver.earlier_run, .how = run_end::done}});
        CHECK_FALSE(driver.starts_task());
        CHECK(driver.state.find(loaded_job) == job_phase::completed);
    }
    SECTION("but if the second one lacks it, too")
    {
        driver.report(1);
        CHECK(driver.starts_task());
    }
}

// Guards against a second run of a task: the earlier owner, which still acted, started it on a
// worker that had restarted after its report, where the token of the later owner was not known any
// more.
TEST_CASE("a worker that may have a run of the earlier owner in its next incarnation is awaited")
{
    successor driver(true);
    for (const std::size_t worker : {0, 1, 0, 1}) {
        driver.report(worker);
    }
    CHECK_FALSE(driver.starts_task());
    SECTION("if its restart is known")
    {
        driver.restart(0);
    }
    SECTION("if its restart is not known") {}
    driver.time += milliseconds(1);
    driver.state.on_earlier_owner_ended(driver.time);
    CHECK_FALSE(driver.starts_task());
    driver.report(1);
    driver.report(1);
    CHECK_FALSE(driver.starts_task());

    if (driver.workers[0].incarnation == 1) {
        driver.restart(0);
    }
    driver.report(0);
    driver.report(0, {{.number = 1, .name = driver.earlier_run, .how = run_end::done}});
    CHECK_FALSE(driver.starts_task());
    CHECK(driver.state.find(loaded_job) == job_phase::completed);
}

// Guards against loaded tasks that wait for as long as one worker goes down and up by turns.
TEST_CASE("a worker that restarts before its second report does not delay loaded tasks")
{
    successor driver(true);
    driver.state.on_earlier_owner_ended(driver.time);
    driver.report(1);
    driver.report(1);
    driver.report(0);
    CHECK_FALSE(driver.starts_task());
    driver.restart(0);
    driver.report(0);
    CHECK(driver.starts_task());
}
