#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

TEST_CASE("an owner takes over workers whose runs it does not know")
{
    driven_state one;
    auto in_roster = one.worker();
    in_roster.capacity = {};
    in_roster.leaving = true;
    one.state.load({}, {in_roster}, one.time, wall);
    const run_name unknown{{"0123456789abcdef", 0, 0}, 7};

    SECTION("a run of a job that has ended is stopped and takes all room until it has ended")
    {
        one.state.on_report(0, {.life = 1, .present = {{.name = unknown}}}, one.time, wall);
        one.state.on_worker_list({one.worker()}, one.time);
        one.submit(one.job("fedcba9876543210", 1'000));
        auto actions = one.next();
        REQUIRE(actions.stops.size() == 1);
        CHECK(actions.stops[0].name == unknown);
        CHECK(actions.starts.empty());

        one.state.on_stop(0, unknown, one.time);
        CHECK(one.next().starts.empty());

        one.state.on_report(0,
                            {.life = 1,
                             .present = {},
                             .ended = {{.number = 1, .name = unknown, .how = run_end::stopped}}},
                            one.time, wall);
        CHECK(one.next().starts.size() == 1);
    }
}

TEST_CASE("a failed run counts once, however often its worker tells of it")
{
    driven_state one;
    one.make_usable();
    one.submit(one.job("fedcba9876543210", 1'000));
    const auto first = one.next().starts;
    REQUIRE(first.size() == 1);
    one.state.on_start(0, first[0].name, start_outcome::started, one.time);
    const ended_run failed{.number = 1, .name = first[0].name, .how = run_end::failed};
    one.state.on_report(0, {.life = 1, .present = {}, .ended = {failed}}, one.time, wall);
    one.store();
    CHECK(one.state.find("fedcba9876543210") == job_phase::running);

    SECTION("to the same owner")
    {
        one.state.on_report(0, {.life = 1, .present = {}, .ended = {failed}}, one.time, wall);
        one.store();
        CHECK(one.state.find("fedcba9876543210") == job_phase::running);
    }
    SECTION("as the same end of a later life's list")
    {
        auto again = failed;
        again.number = 2;
        one.state.on_report(0, {.life = 1, .present = {}, .ended = {again}}, one.time, wall);
        one.store();
        CHECK(one.state.find("fedcba9876543210") == job_phase::running);
    }
    SECTION("but a second failed run reaches the limit of two")
    {
        const auto second = one.next(milliseconds(200)).starts;
        REQUIRE(second.size() == 1);
        CHECK(second[0].name.run > first[0].name.run);
        one.state.on_report(
            0,
            {.life = 1,
             .present = {},
             .ended = {{.number = 2, .name = second[0].name, .how = run_end::failed}}},
            one.time, wall);
        one.store();
        CHECK(one.state.find("fedcba9876543210") == job_phase::failed);
    }
}

TEST_CASE("a run that is stopped before its order was answered")
{
    driven_state one;
    one.make_usable();
    one.submit(one.job("0123456789abcdef", 1'000));
    const auto name = one.next().starts.at(0).name;
    one.state.cancel(2, "0123456789abcdef", wall);
    one.store();
    REQUIRE(one.next().stops.size() == 1);
    one.state.on_stop(0, name, one.time);
    one.time += milliseconds(10);
    one.state.on_report(0, {.life = 1, .asked = one.time}, one.time, wall);
    REQUIRE(one.state.workers().at(0).runs.empty());

    SECTION("is stopped again in the worker's next life, where the order may still arrive")
    {
        one.state.on_report(0, {.life = 2, .asked = one.time}, one.time, wall);
        const auto stops = one.next().stops;
        REQUIRE(stops.size() == 1);
        CHECK(stops[0].name == name);
    }
}

TEST_CASE("a refused start, of which an earlier copy may have been carried out")
{
    driven_state one;
    one.make_usable();
    one.submit(one.job("0123456789abcdef", 1'000));
    const auto starts = one.next().starts;
    REQUIRE(starts.size() == 1);
    const auto name = starts[0].name;
    const auto outcome =
        GENERATE(start_outcome::superseded, start_outcome::no_room, start_outcome::no_ticket,
                 start_outcome::unhealthy, start_outcome::rejected);
    one.state.on_start(0, name, outcome, one.time);

    SECTION("is not made again before a report has shown that the run is not there")
    {
        CHECK(one.next(milliseconds(600)).starts.empty());
        one.state.on_stop(0, name, one.time);
        one.time += milliseconds(10);
        one.state.on_report(0, {.life = 1, .asked = one.time}, one.time, wall);
        CHECK(one.next(milliseconds(600)).starts.size() == 1);
    }
    SECTION("is not made again when the run has ended as done")
    {
        CHECK(one.next(milliseconds(600)).starts.empty());
        one.state.on_report(0, {.life = 1, .ended = {{.number = 1, .name = name}}, .asked = {}},
                            one.time, wall);
        one.store();
        CHECK(one.next(milliseconds(600)).starts.empty());
        CHECK(one.state.find("0123456789abcdef") == job_phase::completed);
    }
}

TEST_CASE("a job is shown and acted on only once it is stored")
{
    driven_state one;
    one.make_usable();
    one.state.submit(5, one.job("fedcba9876543210", 1'000), one.terms(), one.time, wall);

    SECTION("it is neither answered nor started before")
    {
        const auto actions = one.next();
        CHECK(actions.answers.empty());
        CHECK(actions.starts.empty());
    }
    SECTION("it is answered once it is")
    {
        one.store();
        const auto actions = one.next();
        REQUIRE(actions.answers.size() == 1);
        CHECK(actions.answers[0].token == 5);
        CHECK(actions.answers[0].what == caller_answer::kind::stored);
        CHECK(actions.starts.size() == 1);
    }
    SECTION("a repeat of its id is the same job")
    {
        one.state.submit(6, one.job("fedcba9876543210", 1'000), one.terms(), one.time, wall);
        one.store();
        const auto actions = one.next();
        CHECK(actions.answers.size() == 2);
        CHECK(actions.starts.size() == 1);
    }
    SECTION("while the store is away new jobs are refused at once")
    {
        one.state.set_store_available(false);
        one.state.submit(7, one.job("0000000000000001", 1'000), one.terms(), one.time, wall);
        const auto actions = one.next();
        REQUIRE(actions.answers.size() == 2); // The first job was in no transaction yet.
        for (const auto& answer : actions.answers) {
            CHECK(answer.what == caller_answer::kind::refused);
            CHECK(answer.retry_after > milliseconds(0));
        }
        CHECK(actions.starts.empty());
    }
}

TEST_CASE("the load of a queue tells how long its runs took")
{
    driven_state one;
    one.make_usable();
    one.submit(one.job("fedcba9876543210", 1'000));
    const auto first = one.next().starts;
    REQUIRE(first.size() == 1);
    one.state.on_start(0, first[0].name, start_outcome::started, one.time);
    one.state.on_report(0, {.life = 1, .present = {{.name = first[0].name}}}, one.time, wall);
    const worker_report ended{
        .life = 1, .present = {}, .ended = {{.number = 1, .name = first[0].name}}};

    SECTION("from their beginning to their end")
    {
        one.state.on_report(0, ended, one.time + milliseconds(1'500), wall);
        const auto loads = one.state.take_queue_loads(one.time);
        REQUIRE(loads.size() == 1);
        CHECK(loads[0].starts == 1);
        CHECK(loads[0].done_runs == 1);
        CHECK(loads[0].measured_run_time == milliseconds(1'500));
        CHECK(one.state.take_queue_loads(one.time).empty());
    }
    SECTION("but not of a job that was cancelled meanwhile")
    {
        one.state.cancel(2, "fedcba9876543210", wall);
        one.state.on_report(0, ended, one.time + milliseconds(1'500), wall);
        CHECK(one.state.take_queue_loads(one.time)[0].done_runs == 0);
    }
}
