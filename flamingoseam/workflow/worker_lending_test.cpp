#include "flamingoseam/workflow/worker_lending.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/workflow/worker_assignment.hpp"
#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace flamingoseam;
using namespace flamingoseam::workflow;
using namespace std::chrono_literals;

namespace {

const lending_limits limits{.shard = 1, .shards = 4, .cell_workers = 540};

/// A gang whose tasks need a whole worker each and may run on three of ten workers.
waiting_step wide_gang(int tasks)
{
    return {.tasks = tasks, .tasks_per_worker = 1, .eligible_share = 0.3, .gang = true};
}

} // namespace

TEST_CASE("the demand of a shard is the work that runs and waits, in workers")
{
    const worker_stock own{.workers = 135, .idle = 100, .filled = 30.5};

    SECTION("without waiting work")
    {
        const auto demand = demand_of(own, {}, limits);
        CHECK(demand.total == 30.5);
        CHECK(demand.desired == 30.5);
        CHECK_FALSE(needs_workers(demand, own));
    }
    SECTION("a gang needs so many workers that enough of them are eligible")
    {
        const auto demand = demand_of(own, {wide_gang(120), wide_gang(20)}, limits);
        CHECK(demand.total == 170.5);
        CHECK(demand.desired == 400);
        CHECK(needs_workers(demand, own));
    }
    SECTION("tasks that need not run at once count by their room only")
    {
        const auto demand =
            demand_of(own, {{.tasks = 30, .tasks_per_worker = 4, .eligible_share = 0.3}}, limits);
        CHECK(demand.total == 38);
        CHECK(demand.desired == 38);
    }
    SECTION("work that is too late to be of use is desired, but no demand")
    {
        auto late = wide_gang(20);
        late.is_obsolete = true;
        const auto demand = demand_of(own, {late, wide_gang(2)}, limits);
        CHECK(demand.total == 32.5);
        CHECK(demand.desired == 67);
    }
    SECTION("steps that fit on no worker, or not on all of them, are left out")
    {
        auto oversized = wide_gang(1);
        oversized.tasks_per_worker = 0;
        const auto demand = demand_of(own, {oversized, wide_gang(200)}, limits);
        CHECK(demand.total == 30.5);
        CHECK(demand.desired == 30.5);
    }
}

TEST_CASE("workers are divided in proportion to the demands of the shards")
{
    worker_request request{
        .shard = 0, .service = "s", .workers = 135, .demand = {.total = 200, .desired = 200}};
    const worker_demand low{.total = 60, .desired = 60};
    const auto lend = [&](const worker_demand& own_demand, const worker_stock& own) {
        return decide_lending(request, own_demand, own, limits);
    };

    SECTION("idle workers follow at once, up to a fifth of the workers")
    {
        CHECK(lend(low, {.workers = 135, .idle = 100}) == lending_decision{.idle = 27, .drain = 0});
        CHECK(lend(low, {.workers = 135, .idle = 10}) == lending_decision{.idle = 10, .drain = 6});
    }
    SECTION("busy workers are drained, a few at a time")
    {
        CHECK(lend(low, {.workers = 135, .idle = 0}) == lending_decision{.idle = 0, .drain = 6});
    }
    SECTION("shards under equal load keep their workers, also if both have too few")
    {
        CHECK(lend({.total = 200}, {.workers = 135, .idle = 10}) == lending_decision{});
        CHECK(lend({.total = 190}, {.workers = 135, .idle = 10}) == lending_decision{});
        CHECK(lend({.total = 300}, {.workers = 135, .idle = 10}) == lending_decision{});
    }
    SECTION("a shard keeps a quarter of an equal share, whatever the demands are")
    {
        request.demand = {.total = 10'000, .desired = 10'000};
        CHECK(lend({}, {.workers = 40, .idle = 40}).idle == 6);
        CHECK(lend({}, {.workers = 34, .idle = 34}) == lending_decision{});
        CHECK(lend({}, {.workers = 20, .idle = 20}) == lending_decision{});
    }
    SECTION("nothing is asked for")
    {
        request.demand = {};
        CHECK(lend({}, {.workers = 135, .idle = 135}) == lending_decision{});
    }
}

TEST_CASE("work beyond the demand, such as a gang wider than its shard, gets the idle workers that "
          "others do not need")
{
    const worker_request request{
        .shard = 0, .service = "s", .workers = 135, .demand = {.total = 60, .desired = 400}};
    const auto lend = [&](double own_demand, std::size_t idle) {
        return decide_lending(request, {.total = own_demand}, {.workers = 135, .idle = idle},
                              limits);
    };

    CHECK(lend(80, 5) == lending_decision{.idle = 5, .drain = 0});
    CHECK(lend(100, 50) == lending_decision{.idle = 10, .drain = 0});
    CHECK(lend(110, 50) == lending_decision{});
    CHECK(lend(0, 135).idle == 27);
}

// A shard without work kept a quarter of an equal share of the workers, among them ones that a step
// of another shard needed.
TEST_CASE("a shard that has had no work for a while keeps no workers")
{
    const worker_request request{
        .shard = 0, .service = "s", .workers = 400, .demand = {.total = 0, .desired = 500}};
    worker_stock own{.workers = 10, .idle = 10};
    CHECK(decide_lending(request, {}, own, limits).idle == 0);
    own.keeps_none = true;
    CHECK(decide_lending(request, {}, own, limits).idle == 2);
    own = {.workers = 1, .idle = 1, .keeps_none = true};
    CHECK(decide_lending(request, {}, own, limits).idle == 1);

    unused_time unused;
    time_point time{1h};
    CHECK_FALSE(unused.update({}, time));
    for (int call = 0; call < 4; ++call) {
        time += 1s;
        CHECK(unused.update({}, time) == (call >= 2));
    }
    CHECK_FALSE(unused.update({.total = 1}, time));
    CHECK_FALSE(unused.update({}, time + 1s));
    CHECK_FALSE(unused.update({}, time + 10s));
}

// A shard whose workers had all been lent got none back while the others had much work, since a
// small part of its workers was not worth a transfer.
TEST_CASE("a shard that has very few workers gets some from shards that have much work")
{
    worker_request request{
        .shard = 0, .service = "s", .workers = 0, .demand = {.total = 1, .desired = 1}};
    const auto lend = [&](std::size_t idle) {
        return decide_lending(request, {.total = 500}, {.workers = 200, .idle = idle}, limits);
    };
    CHECK(lend(20) == lending_decision{.idle = 1, .drain = 0});
    CHECK(lend(0) == lending_decision{.idle = 0, .drain = 1});
    request.demand.total = 0;
    CHECK(lend(20) == lending_decision{.idle = 1, .drain = 0});
    request.workers = 1;
    CHECK(lend(20) == lending_decision{});
    request.demand.desired = 1'000;
    CHECK(lend(40) == lending_decision{.idle = 33, .drain = 0});
    request.workers = 34;
    CHECK(lend(40) == lending_decision{});
}

// Two shards gave each other the workers that the steps of both waited for.
TEST_CASE("shards whose steps wait for each other's workers get them in turn")
{
    constexpr auto interval = 250ms;
    lending_turns turns;
    time_point time{1h};
    std::map<std::size_t, int> had;
    const auto run = [&](std::vector<std::size_t> shards, int calls) {
        had.clear();
        for (int call = 0; call < calls; ++call) {
            for (const auto shard : shards) {
                turns.note(shard, time);
            }
            if (const auto holder = turns.holder(time)) {
                ++had[*holder];
            }
            time += interval;
        }
    };

    run({0, 2}, 20); // They have not wanted workers for long.
    CHECK(had.empty());
    run({0, 2}, 64);
    CHECK(had == std::map<std::size_t, int>{{0, 32 / 2}, {2, 32 / 2}});
    CHECK(turns.wants(0, time));
    run({2}, 80);
    CHECK_FALSE(turns.wants(0, time));
    CHECK(had[2] >= 32);
    CHECK_FALSE(turns.holder(time + 10s));
}

TEST_CASE("an assignment is stored as JSON")
{
    const worker_assignment value{.shard = 3, .token_base = 17};
    CHECK(read_assignment(write_assignment(value)) == value);
    CHECK_THROWS_AS(read_assignment("{"), parse_error);
    CHECK_THROWS_WITH(read_assignment(R"({"shard":0,"token_base":0})"),
                      Catch::Contains("token_base"));
}

namespace {

/// An owner of the first of two shards, with three workers.
struct lending_state : driven_state {
    lending_state()
    {
        state.set_lending_limits({.shard = 0, .shards = 2, .cell_workers = 6});
        make_all_usable();
    }

    std::vector<worker_entry> list(std::uint64_t token_base = 0) const
    {
        std::vector<worker_entry> workers;
        for (const auto* id : {"w0", "w1", "w2"}) {
            workers.push_back(worker());
            workers.back().id = id;
            workers.back().token_base = token_base;
        }
        return workers;
    }

    void make_all_usable()
    {
        state.on_worker_list(list(), time);
        for (const std::size_t index : {0, 1, 2, 0, 1, 2}) { // A single report may miss a run.
            state.on_report(index, {.incarnation = 1}, time, wall);
        }
        store();
        next();
    }

    /// Asks for workers on behalf of a busy shard.
    std::size_t lend()
    {
        return state.lend_workers(
            {.shard = 1, .service = "service", .workers = 3, .demand = {.total = 30}}, time);
    }
};

} // namespace

TEST_CASE("a worker is lent in one transaction with the list of leased workers")
{
    lending_state driver;
    auto& state = driver.state;
    REQUIRE(driver.lend() == 1);

    const auto released = driver.next(0ms).released_workers;
    REQUIRE(released.size() == 1);
    const auto worker = released.front();
    const auto id = state.workers().at(worker).entry.id;
    CHECK_FALSE(state.workers().at(worker).is_usable(driver.time));

    REQUIRE(state.should_write(0, driver.time));
    const auto batch = state.take_batch(0, 30, driver.time);
    const auto value_of = [&](const std::string& key) {
        const auto found = std::ranges::find(batch.changes, key, &record_change::key);
        REQUIRE(found != batch.changes.end());
        return found->value.value_or("");
    };
    const auto leased = read_leased_workers(value_of("fs/roster"));
    CHECK(leased.size() == 2);
    CHECK(std::ranges::find(leased, id, &worker_entry::id) == leased.end());
    CHECK(read_assignment(value_of("fs/assigned/" + id)) ==
          worker_assignment{.shard = 1, .token_base = 2});
    state.on_stored(0);
    CHECK_FALSE(state.should_write(0, driver.time));

    SECTION("a list that does not show the transfer yet does not bring the worker back")
    {
        state.on_worker_list(driver.list(), driver.time);
        CHECK_FALSE(state.workers().at(worker).listed);
    }
    SECTION("a late report of the worker is ignored")
    {
        state.on_report(worker, {.incarnation = 1}, driver.time, wall);
        CHECK_FALSE(state.workers().at(worker).reported);
    }
    SECTION("the worker is used again once it was returned, with a higher token base")
    {
        state.on_worker_list(driver.list(3), driver.time);
        CHECK(state.workers().at(worker).listed);
        state.on_report(worker, {.incarnation = 1}, driver.time, wall);
        driver.store();
        CHECK(state.workers().at(worker).is_usable(driver.time));
    }
}

TEST_CASE("only workers on which nothing can happen any more are lent")
{
    lending_state driver;
    auto& state = driver.state;

    SECTION("a worker with a run stays")
    {
        driver.submit(driver.job("0123456789abcdef", 6'000, 2));
        REQUIRE(driver.next().starts.size() == 2);
        driver.submit(driver.job("fedcba9876543210", 6'000, 1));
        REQUIRE(driver.next().starts.size() == 1);
        CHECK(driver.lend() == 0);
    }
    SECTION("a worker whose runs' ends are not stored yet stays")
    {
        driver.submit(driver.job("0123456789abcdef", 6'000, 3));
        const auto starts = driver.next().starts;
        REQUIRE(starts.size() == 3);
        for (const auto& start : starts) {
            state.on_start(start.worker, start.name, start_outcome::started, driver.time);
            state.on_report(start.worker,
                            {.incarnation = 1, .ended = {{.number = 1, .name = start.name}}},
                            driver.time, wall);
        }
        CHECK(driver.lend() == 0);
        driver.store();
        CHECK(driver.lend() == 1);
    }
    SECTION("a worker whose runs' ends are not stored yet stays although its lease has lapsed")
    {
        driver.submit(driver.job("0123456789abcdef", 6'000, 3));
        const auto starts = driver.next().starts;
        REQUIRE(starts.size() == 3);
        for (const auto& start : starts) {
            state.on_start(start.worker, start.name, start_outcome::started, driver.time);
            state.on_report(start.worker,
                            {.incarnation = 1, .ended = {{.number = 1, .name = start.name}}},
                            driver.time, wall);
            state.on_unreachable_changed(start.worker, true, driver.time, driver.time);
            state.on_emptied(start.worker, emptied_reason::lease_expired, driver.time, wall);
            state.on_unreachable_changed(start.worker, false, driver.time, driver.time);
            for (int count = 0; count < reports_until_certain; ++count) {
                state.on_report(start.worker,
                                {.incarnation = 1, .ended = {{.number = 1, .name = start.name}}},
                                driver.time, wall);
            }
        }
        state.take_batch(0, 2, driver.time); // Too small for both records.
        state.on_stored(0);
        REQUIRE(state.workers().at(0).is_held());
        CHECK(driver.lend() == 0);
        driver.store();
        CHECK(driver.lend() == 1);
    }
    SECTION("a worker stays that has more ends than it lists at a time")
    {
        constexpr std::int64_t listed_at_a_time = 500;
        worker_report report{.incarnation = 1, .has_more_ends = true};
        for (std::int64_t number = 1; number <= listed_at_a_time; ++number) {
            report.ended.push_back({.number = number, .name = {{"0123456789abcdef", 0, 0}, 1}});
        }
        for (std::size_t worker = 0; worker < 3; ++worker) {
            state.on_report(worker, report, driver.time, wall);
        }
        CHECK(driver.lend() == 0);
        for (std::size_t worker = 0; worker < 3; ++worker) {
            state.on_report(worker, {.incarnation = 1}, driver.time, wall);
        }
        CHECK(driver.lend() == 1);
    }
    SECTION("a worker that may still receive an earlier order stays")
    {
        driver.submit(driver.job("0123456789abcdef", 6'000, 3));
        const auto starts = driver.next().starts;
        REQUIRE(starts.size() == 3);
        for (const auto& start : starts) {
            state.on_start(start.worker, start.name, start_outcome::unknown, driver.time);
        }
        state.cancel(9, "0123456789abcdef", driver.time, wall);
        driver.next();
        for (const auto& start : starts) {
            state.on_stop(start.worker, start.name, driver.time);
            state.on_report(start.worker, {.incarnation = 1, .asked = driver.time + 1ms},
                            driver.time + 2ms, wall);
        }
        driver.store();
        REQUIRE(state.workers().at(0).runs.empty());
        CHECK(driver.lend() == 0);
        driver.next(14s);
        CHECK(driver.lend() == 1);
    }
    SECTION("nothing is lent while the store is away")
    {
        state.set_store_available(false);
        CHECK(driver.lend() == 0);
    }
    SECTION("nothing is lent in a cell that is not divided, or to the own shard")
    {
        CHECK(state.lend_workers(
                  {.shard = 0, .service = "service", .workers = 3, .demand = {.total = 30}},
                  driver.time) == 0);
        state.set_lending_limits({});
        CHECK(driver.lend() == 0);
    }
}

TEST_CASE("a busy worker is drained before it is lent")
{
    lending_state driver;
    auto& state = driver.state;
    driver.submit(driver.job("0123456789abcdef", 6'000, 3));
    const auto starts = driver.next().starts;
    REQUIRE(starts.size() == 3);
    for (const auto& start : starts) {
        state.on_start(start.worker, start.name, start_outcome::started, driver.time);
    }
    CHECK(driver.lend() == 0);
    std::optional<std::size_t> drained;
    for (std::size_t worker = 0; worker < 3; ++worker) {
        if (state.workers().at(worker).drain_until > driver.time) {
            drained = worker;
        }
    }
    REQUIRE(drained);
    CHECK_FALSE(state.workers().at(*drained).is_usable(driver.time));
    const auto end_all = [&] {
        for (const auto& start : starts) {
            state.on_report(start.worker,
                            {.incarnation = 1, .ended = {{.number = 1, .name = start.name}}},
                            driver.time, wall);
        }
        driver.store();
    };

    SECTION("it follows when its run has ended and the result is stored")
    {
        CHECK(driver.next(200ms).released_workers.empty());
        end_all();
        const auto released = driver.next(200ms).released_workers;
        CHECK(released == std::vector<std::size_t>{*drained});
    }
    SECTION("it is used again if its run takes long")
    {
        driver.next(5s);
        CHECK(state.workers().at(*drained).is_usable(driver.time));
        end_all();
        CHECK(driver.next(200ms).released_workers.empty());
    }
}

// Guards against a second run of a task: an end with a number that an earlier life of its worker
// had used as well would be passed over.
TEST_CASE("the ends of a worker that has restarted at another shard are processed once it is back")
{
    lending_state driver;
    auto& state = driver.state;
    driver.submit(driver.job("0123456789abcdef", 6'000, 3));
    for (const auto& start : driver.next().starts) {
        state.on_start(start.worker, start.name, start_outcome::started, driver.time);
        state.on_report(start.worker,
                        {.incarnation = 1, .ended = {{.number = 1, .name = start.name}}},
                        driver.time, wall);
    }
    driver.store();
    REQUIRE(driver.lend() == 1);
    const auto worker = driver.next(0ms).released_workers.at(0);
    driver.store();

    auto returned = driver.list(3);
    SECTION("which the list shows")
    {
        returned.at(worker).incarnation = 2;
    }
    SECTION("which the list does not show yet") {}
    state.on_worker_list(returned, driver.time);
    const auto report = [&](std::vector<ended_run> ended) {
        driver.time += 1ms;
        state.on_report(worker, {.incarnation = 2, .ended = std::move(ended), .asked = driver.time},
                        driver.time, wall);
    };
    report({});
    returned.at(worker).incarnation = 2;
    state.on_worker_list(returned, driver.time);
    driver.store();
    driver.submit(driver.job("fedcba9876543210", 6'000, 3));
    const auto starts = driver.next().starts;
    const auto start = std::ranges::find(starts, worker, &start_order::worker);
    REQUIRE(start != starts.end());
    state.on_start(worker, start->name, start_outcome::started, driver.time);
    report({{.number = 1, .name = start->name}});
    driver.store();
    const auto forgets = driver.next().forgets;
    REQUIRE(forgets.size() == 1);
    CHECK(forgets[0].incarnation == 2);
    CHECK(forgets[0].up_to == 1);
    for (int repetition = 0; repetition < 3; ++repetition) {
        report({});
        const auto later = driver.next(200ms).starts;
        CHECK(std::ranges::none_of(
            later, [&](const auto& order) { return order.name.task == start->name.task; }));
    }
}

TEST_CASE("a shard asks for workers when a gang is wider than the shard")
{
    lending_state driver;
    auto spec = driver.job("0123456789abcdef", 6'000, 5);
    spec.steps[0].gang = true;
    driver.submit(spec);
    driver.next();
    CHECK_FALSE(driver.state.find_worker_request(driver.time));

    driver.next(600ms);
    const auto request = driver.state.find_worker_request(driver.time);
    REQUIRE(request);
    CHECK(request->shard == 0);
    CHECK(request->workers == 3);
    CHECK(request->demand.desired == 5);
}

// After a change of owner the first worker on record may be gone, of which no capacity is known.
// Its shard then had no demand, and its gangs waited for good.
TEST_CASE("a shard asks for workers although the first worker that its owner knows is gone")
{
    lending_state driver;
    auto gone = driver.worker();
    gone.id = "gone";
    gone.capacity = {};
    gone.leaving = true;
    workflow_state state({.epoch = 3, .streams = 3});
    state.load({}, {gone}, driver.time, wall);
    state.on_emptied(0, emptied_reason::lease_expired, driver.time, wall);
    state.set_lending_limits({.shard = 0, .shards = 2, .cell_workers = 6});
    state.on_worker_list(driver.list(), driver.time);
    for (std::size_t index = 1; index <= 3; ++index) {
        state.on_report(index, {.incarnation = 1}, driver.time, wall);
    }
    auto spec = driver.job("0123456789abcdef", 6'000, 5);
    spec.steps[0].gang = true;
    state.submit(1, spec, driver.terms(), driver.time, wall);
    for (int step = 0; step < 10; ++step) {
        driver.time += 100ms;
        state.tick(driver.time);
        state.take_batch(0, 30, driver.time);
        state.on_stored(0);
    }
    const auto request = state.find_worker_request(driver.time);
    REQUIRE(request);
    CHECK(request->demand.desired == 5);
}

// Guards against LOST: a shard whose workers have all gone, or that never had any, asked for none.
TEST_CASE("a shard without any worker asks for workers")
{
    lending_state driver;
    workflow_state state({.epoch = 3, .streams = 3});
    state.set_lending_limits({.shard = 0, .shards = 2, .cell_workers = 6});
    SECTION("after the last one has gone")
    {
        state.on_worker_list(driver.list(), driver.time);
        state.on_worker_list({}, driver.time);
    }
    SECTION("as it has never had one")
    {
        state.on_worker_list({}, driver.time);
    }
    constexpr int more_tasks_than_workers = 9;
    const auto spec = driver.job("0123456789abcdef", 6'000, more_tasks_than_workers);
    state.submit(1, spec, driver.terms(), driver.time, wall);
    for (int step = 0; step < 10; ++step) {
        state.take_batch(0, 30, driver.time);
        state.on_stored(0);
        driver.time += 100ms;
        state.tick(driver.time);
    }
    const auto request = state.find_worker_request(driver.time);
    REQUIRE(request);
    CHECK(request->workers == 0);
    CHECK(request->demand.desired >= 1);
}

// Guards against LOST: a shard without any worker of the service to which a queue was sent did not
// ask for some while other work waited first.
TEST_CASE("a shard asks for workers of each service that lacks them")
{
    lending_state driver;
    auto& state = driver.state;
    auto first = driver.job("0123456789abcdef", 1'000);
    first.steps[0].label = "nobody has it";
    driver.submit(first);
    auto terms = driver.terms();
    terms.service = "other";
    terms.name = "other queue";
    terms.priority = 1;
    auto spec = driver.job("fedcba9876543210", 1'000);
    spec.queue = terms.name;
    state.submit(1, spec, terms, driver.time, wall);
    driver.store();
    for (int step = 0; step < 10; ++step) {
        driver.next(100ms);
    }
    std::map<std::string, std::size_t> requests; // The workers that the shard has, by service.
    for (int call = 0; call < 2; ++call) {
        const auto request = state.find_worker_request(driver.time);
        REQUIRE(request);
        requests[request->service] = request->workers;
    }
    CHECK(requests == std::map<std::string, std::size_t>{{"other", 0}, {"service", 3}});
}

// Only two of several services that lacked workers were asked for, in turn.
TEST_CASE("a shard asks in turn for workers of each of three services")
{
    lending_state driver;
    auto& state = driver.state;
    const std::map<std::string, std::string> jobs{{"first", "0123456789abcde0"},
                                                  {"second", "0123456789abcde1"},
                                                  {"third", "0123456789abcde2"}};
    for (const auto& [service, id] : jobs) {
        auto terms = driver.terms();
        terms.service = service;
        terms.name = "queue of " + service;
        auto spec = driver.job(id, 1'000);
        spec.queue = terms.name;
        state.submit(1, spec, terms, driver.time, wall);
        driver.store();
    }
    for (int step = 0; step < 10; ++step) {
        driver.next(100ms);
    }
    std::set<std::string> services;
    for (int call = 0; call < 3; ++call) {
        const auto request = state.find_worker_request(driver.time);
        REQUIRE(request);
        services.insert(request->service);
    }
    CHECK(services == std::set<std::string>{"first", "second", "third"});
}

// Guards against LOST: the tasks that fit on a worker were counted by the capacity of a listed one,
// so a shard whose workers had all been lent had no demand.
TEST_CASE("a shard without any worker asks for some")
{
    lending_state driver;
    const auto check = [&](workflow_state& state) {
        state.submit(1, driver.job("0123456789abcdef", 1'000), driver.terms(), driver.time, wall);
        for (int step = 0; step < 10; ++step) {
            driver.time += 100ms;
            state.tick(driver.time);
            state.take_batch(0, 30, driver.time);
            state.on_stored(0);
        }
        const auto request = state.find_worker_request(driver.time);
        REQUIRE(request);
        CHECK(request->workers == 0);
        CHECK(request->demand.desired == 1);
    };

    SECTION("which it had")
    {
        driver.state.on_worker_list({}, driver.time);
        check(driver.state);
    }
    SECTION("under an owner that has never known one")
    {
        workflow_state state({.epoch = 3, .streams = 3});
        state.set_lending_limits({.shard = 0, .shards = 2, .cell_workers = 6});
        state.load({}, {}, driver.time, wall);
        state.on_worker_list({}, driver.time);
        state.confirm_worker_list(driver.time);
        check(state);
    }
}

// Guards against LOST: a shard kept more workers than the whole cell had of a small service.
TEST_CASE("a shard gives workers of a service that only few workers of the cell run")
{
    constexpr std::size_t workers_of_large_service = 400;
    lending_state driver;
    driver.state.set_lending_limits(
        {.shard = 0,
         .shards = 2,
         .cell_workers = 3 + workers_of_large_service,
         .service_workers = {{"service", 3}, {"large", workers_of_large_service}}});
    CHECK(
        driver.state.lend_workers(
            {.shard = 1, .service = "service", .workers = 0, .demand = {.total = 1, .desired = 1}},
            driver.time) == 1);
}

// Issue 45: a few small tasks waited for good in a shard none of whose workers may run them, while
// the workers of other shards were idle.
TEST_CASE("a small step that no worker of its shard may run asks for workers of others")
{
    lending_state driver;
    auto& state = driver.state;
    auto terms = driver.terms();
    terms.permission = permission_terms{fractional_ms(10), fractional_ms(1), milliseconds(1'500)};
    state.submit(1, driver.job("fedcba9876543210", 1'000, 2), terms, driver.time, wall);
    driver.store();
    const auto asked = driver.next().permissions;
    REQUIRE(asked.size() == 1);
    REQUIRE(asked[0].workers.size() == 3);

    SECTION("once all of them were refused")
    {
        CHECK_FALSE(state.find_worker_request(driver.time).has_value());
        state.on_permission(asked[0].number, std::vector<ticket_grant>{}, driver.time);
        driver.next(300ms);
        const auto request = state.find_worker_request(driver.time);
        REQUIRE(request.has_value());
        CHECK(request->demand.desired > 3);
    }
    SECTION("not while one of them may run it")
    {
        state.on_permission(asked[0].number, std::vector<ticket_grant>{{"w1", "ticket"}},
                            driver.time);
        driver.next(300ms);
        CHECK_FALSE(state.find_worker_request(driver.time).has_value());
    }
}

namespace {

/// An owner of the first of two shards, with three workers, that has asked for permission for a
/// step of two tasks that need a worker each.
struct permitted_lending_state : lending_state {
    permitted_lending_state()
    {
        auto terms = this->terms();
        terms.permission =
            permission_terms{fractional_ms(10), fractional_ms(1), milliseconds(1'500)};
        state.submit(1, job("fedcba9876543210", 8'000, 2), terms, time, wall);
        store();
        asked = next().permissions;
        REQUIRE(asked.size() == 1);
        REQUIRE(asked[0].workers.size() == 3);
    }

    std::vector<permission_request> asked;
};

} // namespace

// A shard gave away the workers with the lowest indices again and again, so that another saw the
// same ones only.
TEST_CASE("a shard gives first the workers that the other one has not had")
{
    lending_state driver;
    auto& state = driver.state;
    std::set<std::size_t> lent;
    for (std::size_t call = 0; call < 3; ++call) {
        REQUIRE(driver.lend() == 1);
        const auto worker = driver.next(0ms).released_workers.at(0);
        lent.insert(worker);
        driver.store();
        auto returned = driver.list();
        returned.at(worker).token_base = state.workers().at(worker).released_base + 1;
        for (std::size_t index = 0; index < 3; ++index) {
            auto& entry = returned.at(index);
            entry.token_base =
                std::max(entry.token_base, state.workers().at(index).entry.token_base);
        }
        state.on_worker_list(returned, driver.time);
        for (int count = 0; count < reports_until_certain; ++count) {
            state.on_report(worker, {.incarnation = 1}, driver.time, wall);
        }
        driver.store();
        driver.next(15s);
    }
    CHECK(lent.size() == 3);
}

// Workers were given away by their index, also the ones that a waiting step may use.
TEST_CASE("a shard gives first the workers that its waiting step may not use")
{
    permitted_lending_state driver;
    auto spec = driver.job("0123456789abcdef", 6'000, 2);
    spec.steps[0].gang = true;
    auto terms = driver.terms();
    terms.permission = permission_terms{fractional_ms(10), fractional_ms(1), milliseconds(1'500)};
    auto& state = driver.state;
    state.cancel(9, "fedcba9876543210", driver.time, wall);
    state.submit(1, spec, terms, driver.time, wall);
    driver.store();
    const auto asked = driver.next().permissions;
    REQUIRE(asked.size() == 1);
    state.on_permission(asked[0].number, std::vector<ticket_grant>{{"w0", "ticket"}}, driver.time);
    driver.next(300ms);
    REQUIRE(state.find_worker_request(driver.time).has_value());
    for (const std::size_t expected : {1, 2}) {
        REQUIRE(driver.lend() == 1);
        CHECK(driver.next(0ms).released_workers == std::vector<std::size_t>{expected});
        driver.store();
    }
}

// Guards against LOST: a step whose only permitted worker was always in use asked nobody.
TEST_CASE("a step that has waited for long asks for workers although a permitted one is in use")
{
    lending_state driver;
    auto& state = driver.state;
    driver.submit(driver.job("0123456789abcdef", 8'000, 3));
    const auto starts = driver.next().starts;
    REQUIRE(starts.size() == 3);
    auto terms = driver.terms();
    terms.permission = permission_terms{fractional_ms(10), fractional_ms(1), milliseconds(1'500)};
    state.submit(1, driver.job("fedcba9876543210", 1'000, 1), terms, driver.time, wall);
    driver.store();
    for (int step = 0; step < 24; ++step) {
        for (const auto& request : driver.next(500ms).permissions) {
            state.on_permission(request.number, std::vector<ticket_grant>{{"w0", "ticket"}},
                                driver.time);
        }
        for (const auto& start : starts) {
            state.on_report(start.worker, {.incarnation = 1, .present = {{.name = start.name}}},
                            driver.time, wall);
        }
    }
    const auto request = state.find_worker_request(driver.time);
    REQUIRE(request.has_value());
    CHECK(request->demand.desired >= 4);
}

// Guards against a second run of a task: the earlier owner could start it on the worker's next
// life, whose ends the other shard's owner would have acknowledged.
TEST_CASE("a loaded worker is not lent while an earlier owner may start runs on it")
{
    lending_state lister;
    driven_state driver;
    auto& state = driver.state;
    state.set_lending_limits({.shard = 0, .shards = 2, .cell_workers = 6});
    state.await_earlier_owner();
    state.load({}, lister.list(), driver.time, wall);
    state.on_worker_list(lister.list(), driver.time);
    const auto report_all = [&] {
        for (const std::size_t index : {0, 1, 2, 0, 1, 2}) {
            state.on_report(index, {.incarnation = 1, .asked = driver.time}, driver.time, wall);
        }
        driver.store();
        driver.next();
    };
    const auto lend = [&] {
        return state.lend_workers(
            {.shard = 1, .service = "service", .workers = 3, .demand = {.total = 30}}, driver.time);
    };
    report_all();
    CHECK(lend() == 0);
    state.on_earlier_owner_ended(driver.time);
    CHECK(lend() == 0);
    report_all();
    CHECK(lend() > 0);
}

// Guards against a new owner that gives away most of its workers because it does not know yet
// whether the jobs of its predecessor run: it needs them as soon as it knows.
TEST_CASE("tasks that an earlier owner may have started count as demand")
{
    lending_state lister;
    driven_state driver;
    auto& state = driver.state;
    state.set_lending_limits({.shard = 0, .shards = 2, .cell_workers = 6});
    job_record job;
    job.spec = driver.job("0123456789abcdef", 8'000, 3);
    job.terms = driver.terms();
    job.accepted = wall;
    job.spec_stored = true;
    fill_steps(job, task_phase::unlocated);
    std::vector<job_record> jobs;
    jobs.push_back(std::move(job));
    state.load(std::move(jobs), lister.list(), driver.time, wall);
    state.on_worker_list(lister.list(), driver.time);
    for (const std::size_t index : {0, 1, 0, 1}) { // The third worker is silent.
        state.on_report(index, {.incarnation = 1, .asked = driver.time}, driver.time, wall);
    }
    driver.store();
    driver.next();
    REQUIRE(state.is_recovering());

    CHECK(
        state.lend_workers({.shard = 1, .service = "service", .workers = 3, .demand = {.total = 3}},
                           driver.time) == 0);
}
