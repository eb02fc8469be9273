#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

const std::string deadly = "00000000000000dd";

/// One worker that crashes as soon as it starts a task of the deadly job, and is back after some
/// seconds. Other runs on it are lost with it, or end as done after a while.
class crashing_worker {
public:
    explicit crashing_worker(driven_state& driver) : driver_(driver) { driver_.make_usable(); }

    /// Lets time pass until nothing is left to do, at most for a minute.
    void run()
    {
        for (int step = 0; step < 600; ++step) {
            handle(driver_.next(milliseconds(100)));
            driver_.store();
        }
    }

    /// Replaces the owner by one that knows only what is stored.
    void replace_owner(std::vector<job_record> stored)
    {
        driver_.state = workflow_state({.epoch = 3, .streams = 3});
        auto leased = driver_.worker();
        leased.incarnation = incarnation_;
        leased.leaving = true;
        driver_.state.load(std::move(stored), {leased}, driver_.time, wall);
        list_worker();
        report();
    }

    /// Lets the worker crash now, whatever runs on it.
    void crash()
    {
        present_.clear();
        ++incarnation_;
        ++crashes;
        list_worker();
    }

    std::map<std::string, int> starts; ///< By job.
    int crashes = 0;
    bool keeps_running = false; ///< Runs of other jobs do not end.

private:
    void handle(const workflow_actions& actions)
    {
        for (const auto& order : actions.stops) {
            driver_.state.on_stop(0, order.name, driver_.time);
        }
        for (const auto& order : actions.starts) {
            ++starts[order.name.task.job];
            driver_.state.on_start(0, order.name, start_outcome::started, driver_.time);
            if (order.name.task.job == deadly) {
                crash();
                break;
            }
            present_.push_back({.name = order.name, .percent = 1});
        }
        driver_.time += milliseconds(1);
        report();
    }

    void list_worker()
    {
        auto entry = driver_.worker();
        entry.incarnation = incarnation_;
        driver_.state.on_worker_list({entry}, driver_.time);
    }

    void report()
    {
        worker_report report{.incarnation = incarnation_, .asked = driver_.time};
        if (keeps_running) {
            report.present = present_;
        } else {
            for (const auto& run : present_) {
                report.ended.push_back({.number = ++last_end_, .name = run.name});
            }
            present_.clear();
        }
        driver_.state.on_report(0, report, driver_.time, wall);
    }

    driven_state& driver_;
    std::int64_t incarnation_ = 1;
    std::int64_t last_end_ = 0;
    std::vector<present_run> present_;
};

} // namespace

TEST_CASE("a task that crashes each worker that starts it is given up")
{
    driven_state driver;
    crashing_worker worker(driver);
    driver.submit(driver.job(deadly, 1'000));
    worker.run();

    CHECK(driver.state.find(deadly) == job_phase::failed);
    CHECK(worker.starts[deadly] == 3);
}

TEST_CASE("tasks that run beside one that crashes its worker are not given up")
{
    driven_state driver;
    crashing_worker worker(driver);
    worker.keeps_running = true;
    for (int number = 0; number < 4; ++number) {
        driver.submit(driver.job("innocent" + std::to_string(number), 1'000));
    }
    worker.run();
    driver.submit(driver.job(deadly, 1'000));
    worker.run();
    CHECK(driver.state.find(deadly) == job_phase::failed);
    CHECK(worker.starts[deadly] == 3);

    worker.keeps_running = false;
    worker.run();
    for (int number = 0; number < 4; ++number) {
        CHECK(driver.state.find("innocent" + std::to_string(number)) == job_phase::completed);
    }
}

TEST_CASE("a suspect has its worker for itself")
{
    driven_state driver;
    driver.make_usable();
    driver.submit(driver.job("suspect", 1'000));
    std::int64_t incarnation = 1;
    const auto crash = [&] {
        const auto started = driver.next().starts;
        REQUIRE(started.size() == 1);
        driver.state.on_start(0, started[0].name, start_outcome::started, driver.time);
        driver.state.on_emptied(0, emptied_reason::replaced, driver.time, wall);
        driver.make_usable({.incarnation = ++incarnation});
    };
    crash();
    crash();
    REQUIRE(driver.state.counts().crashed_runs == 2);
    driver.submit(driver.job("other", 1'000));

    SECTION("no other run is started beside it")
    {
        const auto starts = driver.next().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].name.task.job == "suspect");
        driver.state.on_start(0, starts[0].name, start_outcome::started, driver.time);
        CHECK(driver.next().starts.empty());

        SECTION("until it has ended")
        {
            const ended_run done{.number = 1, .name = starts[0].name};
            driver.state.on_report(0, {.incarnation = incarnation, .ended = {done}}, driver.time,
                                   wall);
            driver.store();
            CHECK(driver.state.find("suspect") == job_phase::completed);
            CHECK(driver.next().starts.size() == 1);
        }
    }
}

TEST_CASE("a suspect that finds no idle worker runs beside others after a while")
{
    driven_state driver;
    std::vector<job_record> stored;
    for (const auto* id : {"suspect", "other"}) {
        job_record job;
        job.spec = driver.job(id, 1'000);
        job.terms = driver.terms();
        job.accepted = wall;
        job.spec_stored = true;
        fill_steps(job, task_phase::unlocated);
        stored.push_back(std::move(job));
    }
    stored[0].steps[0].tasks[0].crashed_runs = {1, 2};
    driver.state.load(std::move(stored), {driver.worker()}, driver.time, wall);
    driver.make_usable({.incarnation = 1, .present = {{.name = {{"other", 0, 0}, 3}}}});

    milliseconds waited{0};
    while (driver.next().starts.empty() && waited < milliseconds(5'000)) {
        waited += milliseconds(60);
    }
    CHECK(waited >= milliseconds(1'900));
    CHECK(waited <= milliseconds(2'200));
}

TEST_CASE("the loss of a worker counts as a crash only when the worker is back")
{
    driven_state driver;
    driver.make_usable();
    driver.submit(driver.job("job", 1'000));
    const auto started = driver.next().starts;
    REQUIRE(started.size() == 1);
    driver.state.on_start(0, started[0].name, start_outcome::started, driver.time);

    SECTION("as another incarnation at its address")
    {
        driver.state.on_emptied(0, emptied_reason::replaced, driver.time, wall);
        CHECK(driver.state.counts().crashed_runs == 1);
    }
    SECTION("not when its lease has expired")
    {
        driver.state.on_emptied(0, emptied_reason::lease_expired, driver.time, wall);
        CHECK(driver.state.counts().lost_runs == 1);
        CHECK(driver.state.counts().crashed_runs == 0);
    }
    SECTION("not when it was leaving")
    {
        auto leaving = driver.worker();
        leaving.leaving = true;
        driver.state.on_worker_list({leaving}, driver.time);
        driver.state.on_emptied(0, emptied_reason::replaced, driver.time, wall);
        CHECK(driver.state.counts().crashed_runs == 0);
    }
    SECTION("not when a report of the new incarnation shows the run")
    {
        auto restarted = driver.worker();
        restarted.incarnation = 2;
        driver.state.on_worker_list({restarted}, driver.time);
        for (int round = 0; round < 4; ++round) {
            driver.time += milliseconds(600);
            driver.state.on_report(0,
                                   {.incarnation = 2,
                                    .present = {{.name = started[0].name, .percent = 10 * round}},
                                    .asked = driver.time},
                                   driver.time, wall);
        }
        CHECK(driver.state.counts().crashed_runs == 0);
    }
}

TEST_CASE("the next owner knows how many workers have crashed under a task")
{
    driven_state driver;
    driver.make_usable();
    driver.submit(driver.job(deadly, 1'000, 2));
    auto started = driver.next().starts;
    REQUIRE(started.size() == 2);
    for (const auto& order : started) {
        driver.state.on_start(0, order.name, start_outcome::started, driver.time);
    }
    driver.state.on_emptied(0, emptied_reason::replaced, driver.time, wall);
    std::map<std::string, std::string> progress;
    for (const auto& change : driver.state.take_batch(0, 30, driver.time).changes) {
        if (change.value && change.key == "fs/progress/" + deadly) {
            progress[deadly] = *change.value;
        }
    }
    REQUIRE(progress.contains(deadly));

    job_record job;
    job.spec = driver.job(deadly, 1'000, 2);
    job.terms = driver.terms();
    job.accepted = wall;
    const auto stored = read_jobs({{deadly, write_specification(job)}}, progress);
    REQUIRE(stored.jobs.size() == 1);
    CHECK(stored.jobs[0].steps[0].tasks[0].crashed_runs == std::vector<std::int64_t>{1'001});
    CHECK(stored.jobs[0].steps[0].tasks[1].crashed_runs == std::vector<std::int64_t>{1'001});
}

// Guards against jobs that are given up although no run of them failed: a start that was never
// answered may not have reached the worker that crashed.
TEST_CASE("a start that was never confirmed does not count as a crash")
{
    driven_state driver;
    driver.make_usable();
    driver.submit(driver.job("fedcba9876543210", 1'000));
    const auto started = driver.next().starts;
    REQUIRE(started.size() == 1);

    SECTION("when another incarnation has the worker's address")
    {
        driver.state.on_start(0, started[0].name, start_outcome::unknown, driver.time);
        driver.state.on_emptied(0, emptied_reason::replaced, driver.time, wall);
        CHECK(driver.state.counts().crashed_runs == 0);
    }
    SECTION("when the worker is back under its id")
    {
        driver.state.on_start(0, started[0].name, start_outcome::unknown, driver.time);
        auto restarted = driver.worker();
        restarted.incarnation = 2;
        driver.state.on_worker_list({restarted}, driver.time);
        driver.next();
        driver.state.on_stop(0, started[0].name, driver.time);
        driver.time += milliseconds(1);
        driver.state.on_report(0, {.incarnation = 2, .asked = driver.time}, driver.time, wall);
        CHECK(driver.state.counts().crashed_runs == 0);
        CHECK(driver.state.counts().lost_runs == 1);
    }
    SECTION("a confirmed one does")
    {
        driver.state.on_start(0, started[0].name, start_outcome::started, driver.time);
        driver.state.on_emptied(0, emptied_reason::replaced, driver.time, wall);
        CHECK(driver.state.counts().crashed_runs == 1);
    }
}

namespace {

/// A worker that did not answer a start order, beside another one that may run the task instead.
class unanswered_start {
public:
    unanswered_start()
    {
        list(1);
        driver.state.on_report(0, {.incarnation = 1}, driver.time, wall);
        driver.store();
        driver.submit(driver.job("fedcba9876543210", 1'000));
        const auto started = driver.next().starts;
        REQUIRE(started.size() == 1);
        REQUIRE(started[0].worker == 0);
        name = started[0].name;
        ordered_at = driver.time;
        driver.state.on_report(1, {.incarnation = 1}, driver.time, wall);
        driver.time += milliseconds(600);
        driver.state.on_start(0, name, start_outcome::unknown, driver.time);
        driver.state.on_unreachable_changed(0, true, driver.time, driver.time);
    }

    /// Lists both workers, the silent one in the given incarnation.
    void list(std::int64_t incarnation)
    {
        auto silent = driver.worker();
        silent.incarnation = incarnation;
        auto other = driver.worker();
        other.id = "v";
        driver.state.on_worker_list({silent, other}, driver.time);
    }

    void let_lease_expire()
    {
        driver.time += milliseconds(6'300);
        driver.state.on_emptied(0, emptied_reason::lease_expired, driver.time, wall);
    }

    /// Lets the silent worker accept a stop of the run and then report.
    void answer_stop(const worker_report& answer)
    {
        driver.state.on_stop(0, name, driver.time);
        driver.time += milliseconds(1);
        auto report = answer;
        report.asked = driver.time;
        driver.state.on_report(0, report, driver.time, wall);
    }

    /// Returns the number of starts and checks that they go to the other worker.
    std::size_t starts_elsewhere(milliseconds elapsed = milliseconds(200))
    {
        const auto starts = driver.next(elapsed).starts;
        CHECK(std::ranges::all_of(starts, [](const auto& order) { return order.worker == 1; }));
        return starts.size();
    }

    driven_state driver;
    run_name name;
    time_point ordered_at;
};

} // namespace

// Guards against tasks that run twice: the lease of the earlier incarnation has expired, but the
// next one does not know it and accepts the order when it arrives.
TEST_CASE("a start that was not answered before its worker restarted is not lost with the lease")
{
    unanswered_start start;
    start.list(2);
    start.let_lease_expire();
    CHECK(start.starts_elsewhere() == 0);

    SECTION("the task is started elsewhere once the next incarnation has refused the run")
    {
        start.answer_stop({.incarnation = 2});
        CHECK(start.starts_elsewhere() == 1);
    }
    SECTION("the task is started elsewhere once the next incarnation has stopped the run")
    {
        const ended_run stopped{.number = 1, .name = start.name, .how = run_end::stopped};
        start.answer_stop({.incarnation = 2, .ended = {stopped}});
        CHECK(start.starts_elsewhere() == 1);
    }
    SECTION("the task is started elsewhere once the order cannot arrive any more")
    {
        const auto until = start.ordered_at + milliseconds(13'000);
        const auto left = std::chrono::floor<milliseconds>(until - start.driver.time);
        CHECK(start.starts_elsewhere(left - milliseconds(100)) == 0);
        CHECK(start.starts_elsewhere() + start.starts_elsewhere() == 1);
    }
    SECTION("the task is started elsewhere when the worker was replaced by another one")
    {
        start.driver.state.on_emptied(0, emptied_reason::replaced, start.driver.time, wall);
        CHECK(start.starts_elsewhere() == 1);
    }
}

// Guards against tasks that run twice: the order may arrive in an incarnation that is noticed only
// after the lease of the earlier one has expired.
TEST_CASE("a start that was lost with the lease is stopped in a later incarnation")
{
    unanswered_start start;
    start.let_lease_expire();
    CHECK(start.starts_elsewhere() == 1);
    start.list(2);
    const auto stops = start.driver.next().stops;
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].worker == 0);
    CHECK(stops[0].name == start.name);
}
