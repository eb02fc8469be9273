#include "tests/workflow_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace flamingoseam;
using namespace flamingoseam::model;

namespace {

/// Returns the first fault that a weakened design shows over many seeds.
std::string find_fault(workflow_model_options options)
{
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        auto fault = workflow_model(options).play();
        if (!fault.empty()) {
            return fault;
        }
    }
    return {};
}

} // namespace

TEST_CASE("jobs of several steps, over deaths, cuts, restarts, lost answers and late orders")
{
    REQUIRE(rc::check("no fault", [](std::uint64_t seed) {
        const auto fault = workflow_model({.seed = seed}).play();
        if (!fault.empty()) {
            RC_FAIL("seed " + std::to_string(seed) + " " + fault);
        }
    }));
}

TEST_CASE("each protection of runs is needed")
{
    SECTION("workers refuse lower epochs")
    {
        CHECK_FALSE(find_fault({.late_order_share = 0.2, .check_fence = false}).empty());
    }
    SECTION("workers refuse runs that were stopped there")
    {
        CHECK_FALSE(find_fault({.late_order_share = 0.2, .check_run_numbers = false}).empty());
    }
    SECTION("ends are forgotten only once their meaning is stored")
    {
        CHECK_FALSE(find_fault({.owner_deaths = 4, .forget_after_storing = false}).empty());
    }
}
