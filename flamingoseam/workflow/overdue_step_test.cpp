#include "tests/permission_simulation.hpp"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

/// How long a step may wait for its turn, and the time that the steps with earlier turns take.
constexpr milliseconds max_wait{10'000};
constexpr milliseconds earlier_turns{2'000};

const queue_terms reviews{
    .name = "reviews",
    .service = "service",
    .priority = 2,
    .max_attempts = 2,
    .stretch = 4,
    .target = milliseconds(3'000),
    .permission = permission_terms{fractional_ms(130), fractional_ms(1.82), milliseconds(1'500)}};

step_spec small_step(int tasks)
{
    return {.tasks = tasks,
            .size = {.milli_cpus = 1'700, .memory_mb = 1},
            .estimate = milliseconds(2'700)};
}

job_spec small_job(char letter, int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%c%015d", letter, number);
    return {.id = id, .queue = reviews.name, .payload = {}, .steps = {small_step(2)}};
}

/// Returns a job of three steps, each after the one before.
job_spec chain(int number)
{
    auto job = small_job('c', number);
    job.steps = {small_step(1), small_step(7), small_step(3)};
    job.steps[1].after = {0};
    job.steps[2].after = {1};
    return job;
}

/// Returns a job that has to start on many workers at a time.
job_spec wide_gang(int number)
{
    auto job = small_job('g', number);
    job.steps.front() = {.tasks = 60,
                         .size = {.milli_cpus = 15'000, .memory_mb = 1},
                         .estimate = milliseconds(2'700),
                         .gang = true};
    return job;
}

/// Returns the terms of a queue whose jobs are too late to be of use when they are accepted.
queue_terms obsolete_terms(queue_terms terms = reviews)
{
    terms.stretch = 0;
    terms.target = milliseconds(1);
    return terms;
}

/// Plays jobs on time that need more than there is: by default, twice as many permission calls as
/// the service can answer.
class busy_cell {
public:
    explicit busy_cell(queue_terms terms = reviews, step_spec step = small_step(2))
        : terms_(std::move(terms)), step_(std::move(step))
    {
    }

    /// Submits a job that is late from the start.
    void submit_late(const job_spec& job) { play_.submit(job, obsolete_terms(terms_), run_time); }

    /// Submits jobs like those on time, but late from the start.
    void submit_late(int jobs)
    {
        for (int number = 0; number < jobs; ++number) {
            submit_late(job('a', number));
        }
    }

    void advance(milliseconds length)
    {
        for (const auto end = play_.time() + length; play_.time() < end;) {
            play_.submit(job('b', jobs_on_time_++), terms_, run_time);
            play_.advance(milliseconds(1'000) / arrivals_per_second);
        }
    }

    /// Returns the number of jobs that have started so early that they end on time.
    [[nodiscard]] int started_on_time() const
    {
        int jobs = 0;
        for (int number = 0; number < jobs_on_time_; ++number) {
            const auto id = small_job('b', number).id;
            const auto wait = play_.start_wait(id);
            jobs += play_.first_start(id) && wait <= max_wait_on_time ? 1 : 0;
        }
        return jobs;
    }

    [[nodiscard]] const permission_simulation& play() const { return play_; }

private:
    static constexpr int arrivals_per_second = 100;
    static constexpr milliseconds run_time{2'700};
    /// Target time of a job without its run time.
    static constexpr milliseconds max_wait_on_time{3 * 2'700 + 3'000};

    [[nodiscard]] job_spec job(char letter, int number) const
    {
        auto job = small_job(letter, number);
        job.steps = {step_};
        return job;
    }

    queue_terms terms_;
    step_spec step_;
    permission_simulation play_{
        {.workers = 88, .call_slots = 9, .milli_cpus = 16'000, .permitted_share = 0.45}};
    int jobs_on_time_ = 0;
};

} // namespace

// Issue 45: jobs that were late got no call to the permission service for as long as jobs of the
// same queue that were on time asked for one, although most workers had room.
TEST_CASE("a step that is late is not overtaken for ever by steps that are on time")
{
    permission_simulation play(
        {.workers = 88, .call_slots = 9, .milli_cpus = 16'000, .permitted_share = 0.45});
    constexpr milliseconds run_time{2'700};
    constexpr int arrivals_per_second = 100;
    constexpr int late_jobs = 3;
    const auto end = play.time() + 2 * max_wait;
    for (int number = 0; play.time() < end; ++number) {
        play.submit(small_job('b', number), reviews, run_time);
        if (number >= arrivals_per_second && number < arrivals_per_second + late_jobs) {
            play.submit(small_job('a', number), obsolete_terms(), run_time);
        }
        play.advance(milliseconds(1'000) / arrivals_per_second);
    }
    for (int number = arrivals_per_second; number < arrivals_per_second + late_jobs; ++number) {
        const auto id = small_job('a', number).id;
        INFO(id);
        REQUIRE_FALSE(play.refused(id));
        CHECK(play.start_wait(id) <= max_wait + earlier_turns);
    }
}

// Issue 63: each step of a late job waited its own ten seconds for a turn, so that a job of three
// steps waited for half a minute although its tasks had room all the time.
TEST_CASE("the steps of a late job wait for a turn together and not each anew")
{
    constexpr milliseconds step_length{2'700};
    constexpr milliseconds max_wait_of_later_step{3'000};
    busy_cell cell;
    cell.advance(milliseconds(1'000));
    const auto job = chain(0);
    const auto accepted = cell.play().time();
    cell.submit_late(job);
    cell.advance(milliseconds(35'000));
    REQUIRE_FALSE(cell.play().refused(job.id));
    auto ready = accepted;
    auto limit = max_wait + earlier_turns;
    for (int step = 0; step < 3; ++step) {
        const auto start = cell.play().first_start(job.id, step);
        INFO("step " << step);
        REQUIRE(start);
        CHECK(std::chrono::duration_cast<milliseconds>(*start - ready) <= limit);
        ready = *start + step_length;
        limit = max_wait_of_later_step;
    }
}

// Issue 63: turns were given to one step at a time, so that the wait for one grew with the number
// of steps that waited for one.
TEST_CASE("small late steps do not wait for the turns of all others")
{
    constexpr int late_jobs = 40;
    constexpr milliseconds length{30'000};
    constexpr milliseconds max_start_wait{15'000};
    busy_cell without_late;
    without_late.advance(length);
    busy_cell cell;
    cell.advance(milliseconds(1'000));
    cell.submit_late(late_jobs);
    cell.advance(length - milliseconds(1'000));
    for (int number = 0; number < late_jobs; ++number) {
        const auto id = small_job('a', number).id;
        INFO(id);
        REQUIRE_FALSE(cell.play().refused(id));
        CHECK(cell.play().start_wait(id) <= max_start_wait);
    }
    CHECK(4 * cell.started_on_time() >= 3 * without_late.started_on_time());
}

// Issue 63: a gang that found no room kept the only turn from all other late steps for a second.
TEST_CASE("late gangs without room do not keep small late steps from their turns")
{
    constexpr int late_gangs = 20;
    constexpr int late_jobs = 20;
    constexpr milliseconds length{30'000};
    constexpr milliseconds max_start_wait{15'000};
    busy_cell without_late;
    without_late.advance(length);
    busy_cell cell;
    cell.advance(milliseconds(1'000));
    for (int number = 0; number < late_gangs; ++number) {
        cell.submit_late(wide_gang(number));
    }
    cell.submit_late(late_jobs);
    cell.advance(length - milliseconds(1'000));
    for (int number = 0; number < late_jobs; ++number) {
        const auto id = small_job('a', number).id;
        INFO(id);
        REQUIRE_FALSE(cell.play().refused(id));
        CHECK(cell.play().start_wait(id) <= max_start_wait);
    }
    CHECK(4 * cell.started_on_time() >= 3 * without_late.started_on_time());
}

// Issue 63: without a limit, overdue jobs take all permission calls from those that can be on time.
TEST_CASE("many late steps leave three quarters of the permission calls to work on time")
{
    constexpr int late_jobs = 1'000;
    constexpr milliseconds length{30'000};
    busy_cell without_late;
    without_late.advance(length);
    busy_cell cell;
    cell.advance(milliseconds(1'000));
    cell.submit_late(late_jobs);
    cell.advance(length - milliseconds(1'000));
    CHECK(4 * cell.started_on_time() >= 3 * without_late.started_on_time());
}

// Issue 63: without a limit, overdue jobs take all room from those that can be on time.
TEST_CASE("many late steps leave three quarters of the workers to work on time")
{
    constexpr int late_jobs = 1'000;
    constexpr milliseconds length{30'000};
    auto terms = reviews;
    terms.permission.reset();
    auto step = small_step(1);
    step.size.milli_cpus = 8'000;
    busy_cell without_late(terms, step);
    without_late.advance(length);
    busy_cell cell(terms, step);
    cell.advance(milliseconds(1'000));
    cell.submit_late(late_jobs);
    cell.advance(length - milliseconds(1'000));
    CHECK(4 * cell.started_on_time() >= 3 * without_late.started_on_time());
}

// Issue 63: of the steps that had their turn those with the fewest tasks went first, so that later
// ones kept an older one with more tasks waiting.
TEST_CASE("a late step is not kept waiting by later ones with fewer tasks")
{
    constexpr int filling_jobs = 200; // Fill all workers, as those on time do.
    constexpr int later_jobs = 1'000;
    constexpr milliseconds length{120'000};
    constexpr milliseconds max_start_wait = 6 * max_wait;
    auto terms = reviews;
    terms.permission.reset();
    auto step = small_step(1);
    step.size.milli_cpus = 8'000;
    busy_cell cell(terms, step);
    cell.submit_late(filling_jobs);
    cell.advance(milliseconds(500));
    auto older = small_job('e', 0);
    older.steps = {step};
    older.steps.front().tasks = 3;
    cell.submit_late(older);
    cell.advance(milliseconds(100));
    for (int number = 0; number < later_jobs; ++number) {
        auto later = small_job('d', number);
        later.steps = {step};
        cell.submit_late(later);
    }
    cell.advance(length);
    REQUIRE(cell.play().first_start(older.id));
    CHECK(cell.play().start_wait(older.id) <= max_start_wait);
}
