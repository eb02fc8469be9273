#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;
using namespace std::chrono_literals;

namespace {

const std::string known_job = "00000000000000aa";
const std::string unknown_job = "00000000000000bb";

ended_run end_of(std::int64_t number, const run_name& name, run_end how = run_end::done)
{
    return {.number = number, .name = name, .how = how};
}

/// Returns the number up to which the worker may discard ends; 0 if there is no such order.
std::int64_t forgotten_up_to(const workflow_actions& actions)
{
    std::int64_t up_to = 0;
    for (const auto& order : actions.forgets) {
        up_to = std::max(up_to, order.up_to);
    }
    return up_to;
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

/// A worker with one run of a stored job.
struct running_state : driven_state {
    running_state()
    {
        make_usable();
        submit(job(known_job, 1'000));
        const auto starts = next().starts;
        REQUIRE(starts.size() == 1);
        name = starts[0].name;
        state.on_start(0, name, start_outcome::started, time);
    }

    void report(const std::vector<ended_run>& ended, bool has_more_ends = false)
    {
        time += 1ms;
        state.on_report(
            0, {.incarnation = 1, .ended = ended, .has_more_ends = has_more_ends, .asked = time},
            time, wall);
    }

    /// Lets the worker be silent until its lease has lapsed, and answer again.
    void lapse()
    {
        const auto silent_since = time;
        state.on_unreachable_changed(0, true, silent_since, time);
        time += 7s;
        state.on_emptied(0, emptied_reason::lease_expired, time, wall);
        state.on_unreachable_changed(0, false, silent_since, time);
    }

    run_name name;
};

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

// A later owner did not wait for the worker, whose end it did not know, and started the task again.
TEST_CASE("a leaving worker stays among the stored leased workers until its ends are stored")
{
    running_state driver;
    auto& state = driver.state;
    auto leaving = driver.worker();
    leaving.leaving = true;
    state.on_worker_list({leaving}, driver.time);
    driver.report({end_of(1, driver.name)});
    driver.next(200ms);

    const auto batch = state.take_batch(0, 2, driver.time); // Too small for both records.
    CHECK(std::ranges::count(batch.changes, "fs/roster", &record_change::key) == 0);
    CHECK(state.workers().at(0).lease_stored);
    state.on_stored(0);
    driver.next(200ms);
    driver.store();
    CHECK_FALSE(state.workers().at(0).lease_stored);
}

// An owner knows its loaded workers as leaving until it has the platform's list of workers.
TEST_CASE("a loaded worker stays among the stored leased workers until its ends are stored")
{
    running_state driver;
    job_record stored;
    stored.spec = driver.job(known_job, 1'000);
    stored.terms = driver.terms();
    stored.spec_stored = true;
    fill_steps(stored, task_phase::unlocated);
    auto loaded = driver.worker();
    loaded.leaving = true;
    driver.state = workflow_state({.epoch = 3, .streams = 3});
    driver.state.load({stored}, {loaded}, driver.time, wall);
    driver.report({end_of(1, driver.name)});
    driver.next(200ms);

    const auto batch = driver.state.take_batch(0, 2, driver.time); // Too small for both.
    CHECK(std::ranges::count(batch.changes, "fs/roster", &record_change::key) == 0);
}

TEST_CASE("an unstored end is not acknowledged with a later one after its worker's lease lapsed")
{
    running_state driver;
    driver.report({end_of(1, driver.name)});
    driver.state.take_batch(0, 30, driver.time);
    driver.lapse();
    driver.report({end_of(1, driver.name), end_of(2, {{unknown_job, 0, 0}, 1})});
    CHECK(forgotten_up_to(driver.next()) == 0);
    driver.state.on_stored(0);
    CHECK(forgotten_up_to(driver.next()) == 2);
}

TEST_CASE("a run is not taken for lost while its worker lists only a part of its ends")
{
    constexpr std::int64_t listed_at_a_time = 500;
    running_state driver;
    std::vector<ended_run> ended;
    for (std::int64_t number = 1; number <= listed_at_a_time; ++number) {
        ended.push_back(end_of(number, {{unknown_job, 0, 0}, number}));
    }
    for (int report = 0; report < 3; ++report) {
        driver.report(ended, true);
    }
    CHECK(driver.state.workers().at(0).runs.contains(driver.name));

    driver.report({end_of(listed_at_a_time + 1, driver.name)});
    driver.store();
    CHECK(driver.state.find(known_job) == job_phase::completed);
    CHECK(forgotten_up_to(driver.next()) == listed_at_a_time + 1);
}

TEST_CASE("the tasks of a worker that lists only a part of its ends are not located yet")
{
    constexpr std::int64_t listed_at_a_time = 500;
    running_state driver;
    auto stored = read_specification(write_specification([&driver] {
        job_record record;
        record.spec = driver.job(known_job, 1'000);
        record.terms = driver.terms();
        return record;
    }()));
    stored.spec.id = known_job;
    workflow_state next_owner({.epoch = 3, .streams = 3});
    next_owner.load({stored}, {driver.worker()}, driver.time, wall);
    worker_report report{.incarnation = 1, .has_more_ends = true};
    for (std::int64_t number = 1; number <= listed_at_a_time; ++number) {
        report.ended.push_back(end_of(number, {{unknown_job, 0, 0}, number}));
    }
    next_owner.on_report(0, report, driver.time, wall);
    CHECK(next_owner.is_recovering());
    for (int count = 0; count < reports_until_certain; ++count) {
        CHECK(next_owner.is_recovering());
        next_owner.on_report(0, {.incarnation = 1, .ended = {end_of(501, driver.name)}},
                             driver.time, wall);
    }
    CHECK_FALSE(next_owner.is_recovering());
    CHECK(next_owner.open_jobs() == 0);
}

// The session of a worker that has moved begins without the number of the last acknowledged end.
TEST_CASE("ends that are listed again after they were acknowledged are acknowledged again")
{
    running_state driver;
    driver.report({end_of(1, driver.name)});
    driver.store();
    CHECK(forgotten_up_to(driver.next()) == 1);
    driver.report({end_of(1, driver.name)});
    CHECK(forgotten_up_to(driver.next()) == 1);
}

// A later owner that can read the records starts the task again.
TEST_CASE("the end of a job whose records can't be read is not acknowledged")
{
    const std::string unreadable_job = "00000000000000cc";
    constexpr std::int64_t many_ends = 300;
    running_state driver;
    driver.state.set_unreadable_jobs({unreadable_job});

    SECTION("but later ends are processed, and acknowledged after it")
    {
        driver.report({end_of(1, {{unreadable_job, 0, 0}, 1}), end_of(2, driver.name)});
        driver.store();
        CHECK(driver.state.find(known_job) == job_phase::completed);
        CHECK(driver.next().forgets.empty());
    }
    SECTION("but if it was stopped")
    {
        driver.report({end_of(1, {{unreadable_job, 0, 0}, 1}, run_end::stopped)});
        CHECK(forgotten_up_to(driver.next()) == 1);
    }
    SECTION("until so many ends follow that the worker's list might become full")
    {
        std::vector<ended_run> ended;
        for (std::int64_t number = 1; number <= many_ends; ++number) {
            const auto& job = number == 1 || number == 90 ? unreadable_job : unknown_job;
            ended.push_back(end_of(number, {{job, 0, 0}, number}));
        }
        driver.report({ended.begin(), ended.begin() + 50});
        CHECK(forgotten_up_to(driver.next()) == 0);
        driver.report({ended.begin(), ended.begin() + 150});
        const auto actions = driver.next();
        CHECK(forgotten_up_to(actions) == 89);
        CHECK(find_decision(actions, "unreadable_end_dropped").job == unreadable_job);
        driver.report(ended);
        CHECK(forgotten_up_to(driver.next()) == many_ends);
    }
}

// Guards against a second run of a task: the end with the lower number was passed over, and was
// acknowledged together with the other one.
TEST_CASE("an end that is listed after one with a higher number is processed")
{
    running_state driver;
    const auto later_end = end_of(2, {{unknown_job, 0, 0}, 1});
    const auto earlier_end = end_of(1, driver.name);

    SECTION("in the same report")
    {
        driver.report({later_end, earlier_end});
    }
    SECTION("in a later report")
    {
        driver.report({later_end});
        driver.report({earlier_end, later_end});
    }
    driver.store();
    CHECK(driver.state.find(known_job) == job_phase::completed);
    for (int report = 0; report < 3; ++report) {
        driver.report({});
        CHECK(driver.next(200ms).starts.empty());
    }
}

// Guards against a second run of a task: an end with a number that an earlier life of its worker
// had used as well would be passed over.
TEST_CASE("the ends of a worker whose time of day was set back between two lives are processed")
{
    running_state driver;
    auto& state = driver.state;
    const auto report = [&](std::int64_t incarnation, const std::vector<ended_run>& ended) {
        driver.time += 1ms;
        state.on_report(0, {.incarnation = incarnation, .ended = ended, .asked = driver.time},
                        driver.time, wall);
    };
    auto listed = driver.worker();
    listed.incarnation = 100;
    state.on_worker_list({listed}, driver.time);
    report(100, {end_of(1, driver.name)});
    driver.store();
    REQUIRE(state.find(known_job) == job_phase::completed);
    driver.next();

    listed.incarnation = 50;
    SECTION("which the list shows first")
    {
        state.on_worker_list({listed}, driver.time);
        report(50, {});
    }
    SECTION("which a report shows first")
    {
        report(50, {});
        state.on_worker_list({listed}, driver.time);
    }
    driver.store();
    const std::string later_job = "00000000000000dd";
    driver.submit(driver.job(later_job, 1'000));
    const auto starts = driver.next().starts;
    REQUIRE(starts.size() == 1);
    state.on_start(0, starts[0].name, start_outcome::started, driver.time);
    report(50, {end_of(1, starts[0].name)});
    driver.store();
    CHECK(state.find(later_job) == job_phase::completed);
}

// Guards against a second run of a task: acknowledgements are cumulative, so that the worker would
// discard an end that it has not listed yet.
TEST_CASE("an end is not acknowledged while one with a lower number may still be listed")
{
    running_state driver;
    const auto earlier_end = end_of(1, driver.name);
    const auto later_end = end_of(2, {{unknown_job, 0, 0}, 1});
    driver.report({later_end});
    driver.store();
    CHECK(forgotten_up_to(driver.next()) == 0);

    SECTION("which the next report contains")
    {
        driver.report({earlier_end, later_end});
        CHECK(driver.state.find(known_job) == job_phase::running); // That is not stored yet.
        CHECK(forgotten_up_to(driver.next()) == 0);
        driver.store();
        CHECK(forgotten_up_to(driver.next()) == 2);
    }
    SECTION("which the next report does not contain either")
    {
        driver.report({later_end});
        CHECK(forgotten_up_to(driver.next()) == 2);
    }
}

// Guards against a second run of a task: the owner that knew the job was not told of its end.
TEST_CASE("an end of an unknown job is acknowledged only while no later owner can exist")
{
    driven_state driver;
    driver.make_usable();
    driver.state.set_certain(false);
    driver.state.on_report(
        0, {.incarnation = 1, .ended = {end_of(1, {{unknown_job, 0, 0}, 1})}, .asked = driver.time},
        driver.time, wall);
    CHECK(forgotten_up_to(driver.next()) == 0);
    driver.state.set_certain(true);
    CHECK(forgotten_up_to(driver.next()) == 1);
}

// Guards against a second run of a task: a run that the worker lists neither as present nor as
// ended for a moment was taken for lost.
TEST_CASE("a confirmed run is lost only if it is missing for long")
{
    running_state driver;
    for (int report = 0; report < 5; ++report) {
        driver.report({});
        CHECK(driver.next(100ms).starts.empty());
    }
    SECTION("and not if its end is listed then")
    {
        driver.report({end_of(1, driver.name)});
        driver.store();
        CHECK(driver.state.find(known_job) == job_phase::completed);
    }
    SECTION("although its end is never listed")
    {
        CHECK(driver.state.counts().lost_runs == 0);
        driver.time += 1s;
        driver.report({});
        CHECK(driver.state.counts().lost_runs == 1);
        CHECK(driver.next().starts.size() == 1);
    }
}

// Guards against a second run of a task: the run was taken for lost before its end was listed.
TEST_CASE("a run that was stopped is not lost because one report misses it")
{
    running_state driver;
    const auto report_present = [&] {
        driver.time += 1ms;
        driver.state.on_report(
            0, {.incarnation = 1, .present = {{.name = driver.name}}, .asked = driver.time},
            driver.time, wall);
    };
    report_present();
    driver.time += 1s;
    report_present();
    REQUIRE(driver.next(200ms).stops.size() == 1); // It makes no progress.
    driver.state.on_stop(0, driver.name, driver.time);
    driver.report({});
    const auto actions = driver.next();
    CHECK(std::ranges::count(actions.decisions, "run_lost", &logged_decision::event) == 0);
}
