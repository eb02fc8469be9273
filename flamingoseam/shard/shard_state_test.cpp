#include "flamingoseam/shard/shard_state.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace flamingoseam;

namespace {

const resources worker_capacity{
    .milli_cpus = 8000, .memory_mb = 16'000, .accelerators = 0, .slots = 8};
const resources task_size{.milli_cpus = 1000, .memory_mb = 1000, .accelerators = 0, .slots = 1};

/// A shard with a few workers whose journal writes succeed immediately.
class fixture {
public:
    explicit fixture(int workers, std::vector<contract> contracts)
    {
        for (const auto& terms : contracts) {
            table.apply({.value = terms, .revision = 1});
        }
        journal_record journal;
        journal.shares = share_ledger(whole_share);
        state = std::make_unique<shard_state>(shard_options{.shard = "s"}, table, journal, time);
        std::vector<vm_entry> vms;
        for (int i = 0; i < workers; ++i) {
            vms.push_back({.address = "w" + std::to_string(i),
                           .zone = "z" + std::to_string(i % 2),
                           .rack = "r" + std::to_string(i % 4)});
        }
        state->on_vm_list(vms, time);
        for (const auto& vm : vms) {
            state->on_report(vm.address,
                             {.accepted = true, .incarnation = "1", .capacity = worker_capacity},
                             time);
        }
        state->on_contracts_changed(time);
        step();
    }

    void submit(const std::string& customer, work_class cls, const resources& size, int tasks,
                bool idempotent = true)
    {
        work_request request;
        request.customer = customer;
        request.request_id = "e-" + std::to_string(++number);
        request.cls = cls;
        request.kind = std::string(to_string(cls));
        request.size = size;
        request.tasks = tasks;
        request.idempotent = idempotent;
        state->submit(static_cast<std::uint64_t>(number), request, time, wall_time(1));
        step();
    }

    /// Carries out the pending actions of the state.
    void step()
    {
        auto actions = state->take_actions();
        while (actions.journal || !actions.starts.empty() || !actions.answers.empty() ||
               !actions.controls.empty()) {
            for (const auto& start : actions.starts) {
                running.push_back(start);
            }
            for (const auto& answer : actions.answers) {
                answers[static_cast<int>(answer.token)] = answer.result;
            }
            for (const auto& control : actions.controls) {
                controls.push_back(control);
            }
            if (actions.journal) {
                state->on_journal_written(state->make_journal(wall_time(1)).sequence, time);
            }
            actions = state->take_actions();
        }
    }

    void end(std::size_t index, task_state end_state)
    {
        const auto start = running.at(index);
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        state->on_event(start.worker,
                        {.task_id = start.task.task_id,
                         .state = end_state,
                         .output = start.task.request_id,
                         .usage = {},
                         .run_time = milliseconds(10)},
                        time);
        step();
    }

    void apply_controls()
    {
        for (const auto& control : std::exchange(controls, {})) {
            for (std::size_t i = 0; i < running.size(); ++i) {
                if (running[i].task.task_id == control.stop.task_id) {
                    end(i, task_state::checkpointed);
                    break;
                }
            }
        }
    }

    void advance(milliseconds length)
    {
        time += length;
        state->tick(time);
        step();
    }

    int running_of(const std::string& customer, work_class cls) const
    {
        return static_cast<int>(std::ranges::count_if(running, [&](const auto& start) {
            return start.task.customer == customer && start.task.cls == cls;
        }));
    }

    contract_table table;
    std::unique_ptr<shard_state> state;
    time_point time{std::chrono::hours(1)};
    int number = 0;
    std::vector<start_action> running;
    std::vector<control_action> controls;
    std::map<int, outcome> answers;
};

contract make_contract(const std::string& customer, std::int64_t guaranteed, std::int64_t ceiling)
{
    contract result;
    result.customer = customer;
    result.version = 1;
    result.guaranteed = task_size * guaranteed;
    result.ceiling = task_size * ceiling;
    result.guaranteed.memory_mb *= 2;
    result.ceiling.memory_mb *= 2;
    result.longest_wait = {milliseconds(1000), milliseconds(60'000), milliseconds(60'000),
                           milliseconds(3'600'000)};
    result.yield_order = {work_class::batch};
    return result;
}

} // namespace

TEST_CASE("submission")
{
    fixture cell(2, {make_contract("gate", 8, 12)});

    SECTION("above the ceiling is refused")
    {
        cell.submit("gate", work_class::gang, task_size, 13);
        CHECK(cell.answers.at(1).reason == "above_ceiling");
        CHECK(cell.answers.at(1).kind == verdict::not_run);
    }
    SECTION("a task that fits no worker is refused")
    {
        cell.submit("gate", work_class::call, {8001, 1000, 0, 1}, 1);
        CHECK(cell.answers.at(1).reason == "never_fits");
    }
    SECTION("an unknown customer is refused")
    {
        cell.submit("nobody", work_class::call, task_size, 1);
        CHECK(cell.answers.at(1).reason == "no_contract");
    }
    SECTION("a job is refused while the store is unavailable, a call is accepted")
    {
        cell.state->set_store_available(false);
        cell.submit("gate", work_class::batch, task_size, 1);
        CHECK(cell.answers.at(1).reason == "store_unavailable");
        cell.submit("gate", work_class::call, task_size, 1);
        CHECK(cell.running.size() == 1);
    }
    SECTION("a call that waited too long is refused and not run")
    {
        for (int i = 0; i < 13; ++i) {
            cell.submit("gate", work_class::call, task_size, 1);
        }
        CHECK(cell.running.size() == 12);
        cell.advance(milliseconds(1001));
        CHECK(cell.answers.at(13).reason == "wait_exceeded");
    }
}

TEST_CASE("ceiling")
{
    fixture cell(4, {make_contract("gate", 4, 10)});
    cell.submit("gate", work_class::batch, task_size, 30);
    CHECK(cell.running.size() == 10);
    cell.end(0, task_state::finished);
    CHECK(cell.running.size() == 10);
    CHECK(cell.state->find("gate", "e-1")->held_by == "ceiling");

    SECTION("a lowered ceiling preempts tasks above it")
    {
        auto lower = make_contract("gate", 2, 5);
        lower.version = 2;
        cell.table.apply({.value = lower, .revision = 2});
        cell.state->on_contracts_changed(cell.time);
        cell.step();
        cell.apply_controls();
        CHECK(cell.running.size() == 5);
    }
}

TEST_CASE("a guarantee is available when other customers have borrowed all capacity")
{
    fixture cell(2, {make_contract("gate", 8, 16), make_contract("studio", 8, 16)});
    cell.submit("studio", work_class::batch, task_size, 16);
    CHECK(cell.running.size() == 16);
    for (int i = 0; i < 10; ++i) {
        cell.submit("gate", work_class::call, task_size, 1);
    }
    cell.apply_controls();
    cell.advance(milliseconds(100));
    cell.apply_controls();
    CHECK(cell.running_of("gate", work_class::call) == 8);
    CHECK(cell.running_of("studio", work_class::batch) == 8);
}

TEST_CASE("gangs")
{
    SECTION("start all their tasks or none")
    {
        fixture cell(2, {make_contract("studio", 10, 16), make_contract("gate", 6, 16)});
        cell.submit("gate", work_class::service, task_size, 6);
        cell.submit("studio", work_class::service, task_size, 4);
        cell.submit("studio", work_class::gang, task_size, 10);
        for (int ended = 0; ended < 4; ++ended) {
            CHECK(cell.running_of("studio", work_class::gang) == 0);
            cell.end(cell.running.size() - 1, task_state::finished);
        }
        CHECK(cell.running_of("studio", work_class::gang) == 10);
    }
    SECTION("are not starved by a steady supply of small tasks")
    {
        fixture cell(2, {make_contract("studio", 12, 16), make_contract("gate", 2, 16)});
        cell.submit("gate", work_class::batch, task_size, 200);
        cell.submit("studio", work_class::gang, task_size, 12);
        for (int i = 0; i < 100 && cell.running_of("studio", work_class::gang) == 0; ++i) {
            cell.advance(milliseconds(100));
            cell.apply_controls();
            if (!cell.running.empty()) {
                cell.end(0, task_state::finished);
            }
        }
        CHECK(cell.running_of("studio", work_class::gang) == 12);
    }
    SECTION("two gangs that fit only one after the other both run")
    {
        fixture cell(2, {make_contract("studio", 12, 16)});
        cell.submit("studio", work_class::gang, task_size, 10);
        cell.submit("studio", work_class::gang, task_size, 10);
        CHECK(cell.running.size() == 10);
        for (int ended = 0; ended < 10; ++ended) {
            cell.end(0, task_state::finished);
        }
        CHECK(cell.running.size() == 10);
        CHECK(cell.running[0].task.request_id == "e-2");
    }
}

TEST_CASE("services are spread over racks")
{
    fixture cell(4, {make_contract("gate", 16, 32)});
    cell.submit("gate", work_class::service, task_size, 4);
    std::set<std::string> workers;
    for (const auto& start : cell.running) {
        workers.insert(start.worker);
    }
    CHECK(workers.size() == 4);
}

TEST_CASE("a leaving worker gets no new tasks and its jobs are moved")
{
    fixture cell(2, {make_contract("gate", 8, 16)});
    cell.submit("gate", work_class::service, task_size, 2);
    cell.state->on_vm_list({{.address = "w0", .zone = "z0", .rack = "r0", .leaving = true}},
                           cell.time);
    cell.step();
    cell.apply_controls();
    for (int i = 0; i < 4; ++i) {
        cell.submit("gate", work_class::call, task_size, 1);
    }
    for (const auto& start : cell.running) {
        CHECK(start.worker == "w1");
    }
    CHECK(cell.running.size() == 6);
}

TEST_CASE("failures")
{
    fixture cell(4, {make_contract("gate", 16, 32)});

    SECTION("a failed non-idempotent call is run once")
    {
        cell.submit("gate", work_class::call, task_size, 1, false);
        cell.end(0, task_state::failed);
        CHECK(cell.answers.at(1).kind == verdict::ran);
        CHECK(cell.answers.at(1).reason == "task_failed");
        CHECK(cell.running.empty());
    }
    SECTION("a failed idempotent call is retried after its backoff, a limited number of times")
    {
        cell.submit("gate", work_class::call, task_size, 1);
        for (int i = 0; i < 3; ++i) {
            REQUIRE(cell.running.size() == 1);
            cell.end(0, task_state::failed);
            cell.advance(milliseconds(200));
        }
        CHECK(cell.running.empty());
        CHECK(cell.answers.at(1).reason == "task_failed");
    }
    SECTION("a worker that fails every task is quarantined, probed and reactivated")
    {
        for (int i = 0; i < 40; ++i) {
            cell.submit("gate", work_class::call, task_size, 1, false);
            cell.end(0, cell.running[0].worker == "w0" ? task_state::failed : task_state::finished);
            // Successes on other workers show that the kind is healthy, so only w0 is to blame.
        }
        const auto views = cell.state->worker_views();
        CHECK(views[0].status == "quarantined");
        cell.advance(milliseconds(6000));
        cell.submit("gate", work_class::call, task_size, 1);
        REQUIRE(cell.running.size() == 1);
        CHECK(cell.running[0].worker == "w0");
        cell.end(0, task_state::finished);
        CHECK(cell.state->worker_views()[0].status == "active");
    }
}

TEST_CASE("capacity and ceilings are never exceeded by random work")
{
    REQUIRE(rc::check("limits", [](std::uint64_t seed) {
        fixture cell(3, {make_contract("gate", 8, 14), make_contract("studio", 10, 20)});
        std::mt19937_64 random(seed);
        for (int i = 0; i < 150; ++i) {
            const auto customer = random() % 2 == 0 ? "gate" : "studio";
            const auto cls = static_cast<work_class>(random() % 4);
            const resources size{static_cast<std::int64_t>(500 + random() % 3000),
                                 static_cast<std::int64_t>(500 + random() % 4000), 0, 1};
            if (random() % 2 == 0) {
                const auto tasks = cls == work_class::call ? 1 : 1 + static_cast<int>(random() % 5);
                cell.submit(customer, cls, size, tasks);
            } else if (!cell.running.empty() && random() % 3 != 0) {
                cell.end(random() % cell.running.size(),
                         random() % 5 == 0 ? task_state::failed : task_state::finished);
            } else {
                cell.advance(milliseconds(random() % 300));
                cell.apply_controls();
            }
            std::map<std::string, resources> by_worker;
            std::map<std::string, resources> by_customer;
            for (const auto& start : cell.running) {
                by_worker[start.worker] += start.task.size;
                by_customer[start.task.customer] += start.task.size;
            }
            for (const auto& [worker, used] : by_worker) {
                RC_ASSERT(fits(used, worker_capacity));
            }
            for (const auto& [customer_name, used] : by_customer) {
                RC_ASSERT(fits(used, cell.table.find(customer_name)->ceiling));
            }
        }
    }));
}
