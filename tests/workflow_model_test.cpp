#include "tests/workflow_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

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

// A leaving worker was dropped from the stored leased workers before its ends were stored, so the
// next owner started their tasks again.
TEST_CASE("jobs finish although workers leave while owners crash")
{
    REQUIRE(rc::check("no violation", [](std::uint64_t seed) {
        const auto violation = workflow_model({.seed = seed,
                                               .shards = seed % 2 == 0 ? 1 : 2,
                                               .jobs = 150,
                                               .late_order_share = 0,
                                               .owner_crashes = 8,
                                               .worker_drains = 8,
                                               .records_per_write = 2})
                                   .run();
        if (!violation.empty()) {
            RC_FAIL("seed " + std::to_string(seed) + " " + violation);
        }
    }));
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

namespace {

/// Returns a load of jobs of three steps whose queues need permission, in a cell of three shards
/// in which no job may wait that could run.
workflow_model_options permitted_load(std::uint64_t seed)
{
    return {.seed = seed,
            .workers = 24,
            .shards = 3,
            .jobs = 90,
            .load_time = milliseconds(20'000),
            .owner_crashes = 3,
            .worker_restarts = 4,
            .fault_time = milliseconds(8'000),
            .needs_permission = true,
            .has_long_jobs = true,
            .check_waits = true};
}

} // namespace

// Run by hand: [.waits] with the number of seeds in WAITS_SEEDS.
TEST_CASE("no job of three steps waits while permitted workers have room for it twice over",
          "[.waits]")
{
    const auto* text = std::getenv("WAITS_SEEDS");
    const auto seeds = text == nullptr ? 20U : std::stoul(text);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        const auto violation = workflow_model(permitted_load(seed)).run();
        CHECK(violation == "");
    }
}

namespace {

/// Returns a load of a cell whose owners use sessions, without the faults of workflow_model_options
/// that concern those.
workflow_model_options session_load(std::uint64_t seed)
{
    return {.seed = seed,
            .jobs = 60,
            .late_order_share = 0,
            .worker_drains = 1,
            .store_outages = 0,
            .has_sessions = true};
}

/// Checks that many seeds of a load with sessions show no violation. `change` adds the faults.
void check_sessions(const std::function<void(workflow_model_options&)>& change)
{
    REQUIRE(rc::check("no violation", [&change](std::uint64_t seed) {
        auto options = session_load(seed);
        change(options);
        const auto violation = workflow_model(options).run();
        if (!violation.empty()) {
            RC_FAIL("seed " + std::to_string(seed) + " " + violation);
        }
    }));
}

} // namespace

TEST_CASE("sessions: jobs finish despite crashes of owners, restarts, disconnections and drains")
{
    check_sessions([](workflow_model_options& options) { options.store_outages = 1; });
}

TEST_CASE("sessions: no run starts twice although workers restart in quick succession")
{
    check_sessions([](workflow_model_options& options) {
        options.restart_bursts = 6;
        options.slow_call_share = 0.1;
    });
}

TEST_CASE("sessions: no run starts twice although lent workers restart in quick succession")
{
    check_sessions([](workflow_model_options& options) {
        options.shards = 2;
        options.owner_crashes = 3;
        options.restart_bursts = 6;
    });
}

TEST_CASE("sessions: no run starts twice although the time of day of workers is set back")
{
    check_sessions([](workflow_model_options& options) {
        options.restart_bursts = 4;
        options.clock_step_share = 0.5;
    });
}

TEST_CASE("sessions: no run starts twice although a worker lists a few of its ends at a time")
{
    check_sessions([](workflow_model_options& options) {
        options.owner_crashes = 4;
        options.max_listed_ends = 2;
    });
}

TEST_CASE(
    "sessions: no run starts twice although ends are not listed in the order of their numbers")
{
    SECTION("in one report")
    {
        check_sessions([](workflow_model_options& options) { options.sort_ends = false; });
    }
    SECTION("in several")
    {
        check_sessions([](workflow_model_options& options) { options.late_end_share = 0.1; });
    }
}

TEST_CASE("sessions: no run starts twice although owners follow each other and stand still")
{
    check_sessions([](workflow_model_options& options) {
        options.owner_replacements = 5;
        options.owner_pauses = 4;
    });
}

TEST_CASE("sessions: no run starts twice although an owner that is cut off from its successor "
          "renews leases")
{
    check_sessions([](workflow_model_options& options) {
        options.partitions = 1;
        options.chain_length = 1;
        options.owner_crashes = 0;
    });
}

TEST_CASE("sessions: no run starts twice although workers take over each other's address")
{
    check_sessions([](workflow_model_options& options) {
        options.shards = 2;
        options.address_swaps = 6;
        options.owner_replacements = 3;
    });
}

TEST_CASE("sessions: no run starts twice although processes of owners stand still")
{
    check_sessions([](workflow_model_options& options) {
        options.owner_freezes = 5;
        options.owner_replacements = 2;
        options.restart_bursts = 2;
    });
}

TEST_CASE("sessions: no run starts twice although new owners are slow and know an old list")
{
    check_sessions([](workflow_model_options& options) {
        options.shards = 2;
        options.owner_replacements = 6;
        options.slow_takeover_share = 0.6;
        options.max_list_delay = milliseconds(4'000);
        options.records_per_write = 2;
    });
}

TEST_CASE("sessions: no run starts twice although nodes, workers and the store are cut off")
{
    check_sessions([](workflow_model_options& options) {
        options.store_cuts = 2;
        options.pair_cuts = 4;
        options.partitions = 1;
    });
}

TEST_CASE("sessions: what the owner relies on")
{
    auto options = session_load(0);
    SECTION("no order of an earlier owner arrives late in the next life of a worker")
    {
        options.late_order_share = 0.1;
        options.restart_bursts = 10;
        options.owner_crashes = 6;
        options.late_orders_reach_next_life = true;
    }
    CHECK_FALSE(find_violation(options).empty());
}

// An owner took the word of a replaced one, that no earlier owner starts runs, for the end of the
// renewals of leases, which go on for longer. It gave up workers whose lease the first of three
// owners renewed, cut off from the store, and started their tasks again.
TEST_CASE("sessions: no run starts twice because a second owner has stopped while the first one "
          "renews leases")
{
    check_sessions([](workflow_model_options& options) {
        options.jobs = 10;
        options.owner_crashes = 0;
        options.worker_restarts = 0;
        options.worker_drains = 0;
        options.worker_disconnections = 0;
        options.partitions = 1;
        options.chain_length = 3;
    });
}

namespace {

/// Sets options by their names.
class named_options {
public:
    explicit named_options(workflow_model_options& options)
        : setters_{{"workers", into(options.workers)},
                   {"shards", into(options.shards)},
                   {"jobs", into(options.jobs)},
                   {"load_ms", into(options.load_time)},
                   {"fault_ms", into(options.fault_time)},
                   {"lost_answers", into(options.lost_answer_share)},
                   {"late_orders", into(options.late_order_share)},
                   {"repeated_orders", into(options.repeated_order_share)},
                   {"failing_runs", into(options.failing_run_share)},
                   {"owner_crashes", into(options.owner_crashes)},
                   {"worker_restarts", into(options.worker_restarts)},
                   {"worker_drains", into(options.worker_drains)},
                   {"worker_disconnections", into(options.worker_disconnections)},
                   {"store_outages", into(options.store_outages)},
                   {"records_per_write", into(options.records_per_write)},
                   {"needs_permission", into(options.needs_permission)},
                   {"has_long_jobs", into(options.has_long_jobs)},
                   {"has_sessions", into(options.has_sessions)},
                   {"nodes", into(options.nodes)},
                   {"restart_bursts", into(options.restart_bursts)},
                   {"keeps_connections", into(options.keeps_connections)},
                   {"address_swaps", into(options.address_swaps)},
                   {"silent_restarts", into(options.silent_restart_share)},
                   {"slow_calls", into(options.slow_call_share)},
                   {"clock_steps", into(options.clock_step_share)},
                   {"late_ends", into(options.late_end_share)},
                   {"sort_ends", into(options.sort_ends)},
                   {"listed_ends", into(options.max_listed_ends)},
                   {"owner_replacements", into(options.owner_replacements)},
                   {"store_cuts", into(options.store_cuts)},
                   {"chain_length", into(options.chain_length)},
                   {"partitions", into(options.partitions)},
                   {"pair_cuts", into(options.pair_cuts)},
                   {"owner_pauses", into(options.owner_pauses)},
                   {"owner_freezes", into(options.owner_freezes)},
                   {"slow_takeovers", into(options.slow_takeover_share)},
                   {"list_delay_ms", into(options.max_list_delay)},
                   {"late_orders_reach", into(options.late_orders_reach_next_life)},
                   {"tells_of_renewals", into(options.tells_of_earlier_renewals)},
                   {"forgets_after_report", into(options.forgets_after_report)},
                   {"stop_withdraws", into(options.stop_withdraws_start)}}
    {
    }

    /// Reads entries "name=value", separated by spaces. Throws std::out_of_range for an unknown
    /// name.
    void read(const std::string& text)
    {
        std::istringstream entries(text);
        for (std::string entry; entries >> entry;) {
            const auto sign = entry.find('=');
            setters_.at(entry.substr(0, sign))(std::stod(entry.substr(sign + 1)));
        }
    }

private:
    using setter = std::function<void(double)>;

    template <typename Number> static setter into(Number& option)
    {
        return [&option](double value) { option = static_cast<Number>(value); };
    }
    static setter into(milliseconds& option)
    {
        return [&option](double value) { option = milliseconds(static_cast<int>(value)); };
    }

    std::map<std::string, setter> setters_;
};

/// Returns the text of an environment variable, or a default.
std::string environment(const char* name, const char* otherwise)
{
    const auto* text = std::getenv(name);
    return text == nullptr ? otherwise : text;
}

} // namespace

// Run by hand: [.search] with MODEL_SEED (the first), MODEL_SEEDS (their number), MODEL_OPTIONS
// (entries "name=value") and MODEL_TRACE (a job, or "*").
TEST_CASE("search for violations in the model with sessions", "[.search]")
{
    const auto first = std::stoull(environment("MODEL_SEED", "1"));
    const auto count = std::stoull(environment("MODEL_SEEDS", "100"));
    for (auto seed = first; seed < first + count; ++seed) {
        auto options = session_load(seed);
        named_options(options).read(environment("MODEL_OPTIONS", ""));
        options.traced_job = environment("MODEL_TRACE", "");
        const auto violation = workflow_model(options).run();
        if (!violation.empty()) {
            std::cerr << "seed " << seed << ' ' << violation << std::endl;
        }
        CHECK(violation == "");
    }
}
