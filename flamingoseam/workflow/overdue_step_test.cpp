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

job_spec small_job(char letter, int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%c%015d", letter, number);
    return {.id = id,
            .queue = reviews.name,
            .payload = {},
            .steps = {{.tasks = 2,
                       .size = {.milli_cpus = 1'700, .memory_mb = 1},
                       .estimate = milliseconds(2'700)}}};
}

} // namespace

// Issue 45: jobs that were late got no call to the permission service for as long as jobs of the
// same queue that were on time asked for one, although most workers had room.
TEST_CASE("a step that is late is not overtaken for ever by steps that are on time")
{
    permission_simulation play(
        {.workers = 88, .call_slots = 9, .milli_cpus = 16'000, .permitted_share = 0.45});
    constexpr milliseconds run_time{2'700};
    auto obsolete_terms = reviews;
    obsolete_terms.stretch = 0;
    obsolete_terms.target = milliseconds(1);
    constexpr int arrivals_per_second = 100;
    constexpr int late_jobs = 3;
    const auto end = play.time() + 2 * max_wait;
    for (int number = 0; play.time() < end; ++number) {
        play.submit(small_job('b', number), reviews, run_time);
        if (number >= arrivals_per_second && number < arrivals_per_second + late_jobs) {
            play.submit(small_job('a', number), obsolete_terms, run_time);
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
