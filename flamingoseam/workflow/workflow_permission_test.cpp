#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr milliseconds until_repeated{2'000}; ///< Within this, a step repeats or ends a request.

worker_entry worker_named(const std::string& id, std::int64_t incarnation = 1)
{
    auto entry = driven_state().worker();
    entry.id = id;
    entry.incarnation = incarnation;
    return entry;
}

/// An owner whose queue needs permission. The test decides which workers are permitted.
struct permission_driver : driven_state {
    std::set<std::string> permitted; ///< Workers that the service permits at present.
    std::set<std::string> asked;     ///< Workers that the service was asked about.
    std::vector<start_order> starts;

    void list(const std::vector<worker_entry>& workers)
    {
        state.on_worker_list(workers, time);
        for (const auto& entry : workers) {
            state.on_report(*state.find_worker(entry.id),
                            {.incarnation = entry.incarnation, .asked = time}, time, wall);
        }
        store();
    }

    void submit_with_permission(const job_spec& spec)
    {
        auto queue = terms();
        queue.permission = permission_terms{.decision = fractional_ms(10),
                                            .per_worker = fractional_ms(1),
                                            .validity = milliseconds(1'500)};
        state.submit(1, spec, queue, time, wall);
        store();
    }

    /// Advances the time and answers every permission request.
    void advance(milliseconds length)
    {
        for (const auto end = time + length; time < end;) {
            auto actions = next();
            starts.insert(starts.end(), actions.starts.begin(), actions.starts.end());
            for (const auto& request : actions.permissions) {
                answer(request);
            }
        }
    }

    /// Refuses all starts so far, since the worker does not accept their tickets.
    void refuse_starts()
    {
        for (const auto& order : std::exchange(starts, {})) {
            state.on_start(order.worker, order.name, start_outcome::no_ticket, time);
            next();
            state.on_stop(order.worker, order.name, time);
            time += milliseconds(1);
            const auto incarnation = state.workers().at(order.worker).entry.incarnation;
            state.on_report(order.worker, {.incarnation = incarnation, .asked = time}, time, wall);
        }
    }

    [[nodiscard]] bool has_started_on(const std::string& id) const
    {
        return std::ranges::any_of(starts, [&](const start_order& order) {
            return state.workers().at(order.worker).entry.id == id;
        });
    }

private:
    void answer(const permission_request& request)
    {
        std::vector<ticket_grant> grants;
        for (const auto& id : request.workers) {
            asked.insert(id);
            if (permitted.contains(id)) {
                grants.push_back({id, "ticket"});
            }
        }
        state.on_permission(request.number, grants, time);
    }
};

} // namespace

// Guards against a step that asks for ever about a worker that the service does not name any more.
TEST_CASE("a step asks about other workers when the service no longer permits the first one")
{
    permission_driver driver;
    driver.list({worker_named("first")});
    driver.permitted = {"first"};
    driver.submit_with_permission(driver.job("job", 1'000));
    driver.advance(until_repeated);
    REQUIRE(driver.has_started_on("first"));
    driver.permitted = {"second"};
    driver.refuse_starts();
    driver.list({worker_named("first"), worker_named("second")});
    driver.advance(until_repeated);
    CHECK(driver.has_started_on("second"));
}

// Guards against a step that never asks about a worker again that was refused in an earlier life.
TEST_CASE("a step asks about a worker again that has restarted since it was refused")
{
    permission_driver driver;
    driver.list({worker_named("w")});
    driver.submit_with_permission(driver.job("job", 1'000));
    driver.advance(until_repeated);
    REQUIRE(driver.asked.contains("w"));
    REQUIRE(driver.starts.empty());
    driver.permitted = {"w"};
    driver.list({worker_named("w", 2)});
    driver.advance(until_repeated);
    CHECK(driver.has_started_on("w"));
}

// Guards against an answer about an earlier life that is taken for one about the present life.
TEST_CASE("an answer to a request from before a restart says nothing about the worker's new life")
{
    permission_driver driver;
    driver.list({worker_named("w")});
    driver.submit_with_permission(driver.job("job", 1'000));
    const auto requests = driver.next().permissions;
    REQUIRE(requests.size() == 1);
    driver.time += milliseconds(1);
    driver.list({worker_named("w", 2)});
    driver.state.on_permission(requests.front().number, std::vector<ticket_grant>{}, driver.time);
    driver.permitted = {"w"};
    driver.advance(until_repeated);
    CHECK(driver.has_started_on("w"));
}
