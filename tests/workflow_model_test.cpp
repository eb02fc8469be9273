#include "tests/workflow_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace flamingoseam;
using namespace flamingoseam::model;

namespace {

/// Returns the first violation found over many seeds with a protection switched off.
std::string find_violation(workflow_model_options options)
{
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        auto violation = workflow_model(options).run();
        if (!violation.empty()) {
            return violation;
        }
    }
    return {};
}

} // namespace

TEST_CASE("jobs of several steps finish despite crashes, disconnections, restarts, lost answers "
          "and late orders")
{
    REQUIRE(rc::check("no violation", [](std::uint64_t seed) {
        const auto violation = workflow_model({.seed = seed}).run();
        if (!violation.empty()) {
            RC_FAIL("seed " + std::to_string(seed) + " " + violation);
        }
    }));
}

TEST_CASE(
    "jobs of a divided cell finish although gangs are wider than a shard and owners crash while "
    "workers change their shard")
{
    int lent = 0;
    REQUIRE(rc::check("no violation", [&lent](std::uint64_t seed) {
        workflow_model model({.seed = seed, .shards = 2, .owner_crashes = 4});
        const auto violation = model.run();
        lent += model.lent_workers();
        if (!violation.empty()) {
            RC_FAIL("seed " + std::to_string(seed) + " " + violation);
        }
    }));
    CHECK(lent > 100);
}

TEST_CASE("a worker that changes its shard needs a higher fencing token")
{
    CHECK_FALSE(find_violation({.shards = 2, .owner_crashes = 4, .raise_token = false}).empty());
}

TEST_CASE("each protection of runs is needed")
{
    SECTION("workers reject lower epochs")
    {
        CHECK_FALSE(find_violation({.late_order_share = 0.2, .check_fence = false}).empty());
    }
    SECTION("workers reject runs that were stopped there")
    {
        CHECK_FALSE(find_violation({.late_order_share = 0.2, .check_run_numbers = false}).empty());
    }
    SECTION("workers drop run ends only after their effect is stored")
    {
        CHECK_FALSE(find_violation({.owner_crashes = 4, .forget_after_storing = false}).empty());
    }
}
