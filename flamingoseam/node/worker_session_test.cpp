#include "flamingoseam/node/worker_session.hpp"

#include "flamingoseam/core/error.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

/// A worker that answers until it is set to be unreachable.
struct fake_worker {
    std::atomic<std::int64_t> newest_end{0}; ///< Contained in each report; 0 for none.
    std::atomic<std::int64_t> forgotten{0};
    std::atomic<bool> unreachable{false};
    std::atomic<int> starts{0};
    std::atomic<int> stops{0};
    std::atomic<std::int64_t> leased_until_ms{0}; ///< On the worker's clock.
    std::atomic<bool> is_replaced{false};         ///< Another incarnation has its address.
    std::atomic<int> start_time_ms{0};            ///< How long the worker takes to answer a start.
    std::atomic<int> stop_time_ms{0};             ///< How long the worker takes to answer a stop.
    std::atomic<int> poll_time_ms{5};             ///< How long the worker takes to answer a poll.
    std::atomic<std::int64_t> incarnation{0};
    std::atomic<int> clock_offset_ms{0};
    std::atomic<int> polls_at_offset{0};    ///< Polls answered with another clock.
    std::atomic<int> closed_connections{0}; ///< Starts that fail at once.
    std::function<void()> on_closed = [] {};
    time_point began = now();

    worker_time clock() const
    {
        return worker_time(1'000 + clock_offset_ms) +
               std::chrono::duration_cast<milliseconds>(now() - began);
    }
};

class fake_channel final : public worker_channel {
public:
    explicit fake_channel(fake_worker& worker) : worker_(worker) {}

    order_answer start(const start_call& /*call*/, milliseconds /*timeout*/) override
    {
        throw_if_unreachable();
        if (worker_.closed_connections > 0) {
            --worker_.closed_connections;
            worker_.on_closed();
            throw transport_error(304, "the connection is closed", true);
        }
        ++worker_.starts;
        std::this_thread::sleep_for(milliseconds(worker_.start_time_ms.load()));
        return {.outcome = workflow::start_outcome::started, .clock = worker_.clock()};
    }

    order_answer stop(const workflow::run_name& /*name*/, std::uint64_t /*epoch*/,
                      milliseconds /*timeout*/) override
    {
        throw_if_unreachable();
        ++worker_.stops;
        std::this_thread::sleep_for(milliseconds(worker_.stop_time_ms.load()));
        return {.outcome = workflow::start_outcome::started, .clock = worker_.clock()};
    }

    renew_answer renew(const renew_call& call, milliseconds /*timeout*/) override
    {
        std::this_thread::sleep_for(milliseconds(worker_.poll_time_ms.load()));
        throw_if_unreachable();
        if (worker_.is_replaced) {
            return {.outcome = renew_answer::kind::wrong_incarnation, .clock = worker_.clock()};
        }
        worker_.forgotten = call.forget_up_to;
        worker_.leased_until_ms =
            std::max(worker_.leased_until_ms.load(), call.lease_until.count());
        worker_.polls_at_offset += worker_.clock_offset_ms != 0 ? 1 : 0;
        renew_answer answer{.clock = worker_.clock()};
        answer.report.incarnation = worker_.incarnation;
        if (worker_.newest_end > call.forget_up_to) {
            answer.report.ended.push_back({.number = worker_.newest_end});
        }
        return answer;
    }

private:
    void throw_if_unreachable() const
    {
        if (worker_.unreachable) {
            throw transport_error(304, "no answer", true);
        }
    }

    fake_worker& worker_;
};

class counting_listener final : public worker_listener {
public:
    void on_report(const session_id& /*session*/, workflow::worker_report report) override
    {
        newest_end = report.ended.empty() ? 0 : report.ended.back().number;
        ++reports;
    }
    void on_start(std::size_t /*worker*/, const workflow::run_name& /*name*/,
                  workflow::start_outcome outcome) override
    {
        last_start = outcome;
        ++starts;
    }
    void on_stop(std::size_t /*worker*/, const workflow::run_name& /*name*/) override {}
    void on_unreachable_changed(const session_id& /*session*/, bool unreachable,
                                time_point since) override
    {
        silent_since = since;
        is_unreachable = unreachable;
    }
    void on_emptied(const session_id& /*session*/, workflow::emptied_reason reason) override
    {
        ++emptied;
        replaced += reason == workflow::emptied_reason::replaced ? 1 : 0;
    }
    void on_fenced(std::size_t /*worker*/) override {}
    [[nodiscard]] bool may_start() const override { return starts_allowed; }
    [[nodiscard]] bool may_renew() const override { return renewals_allowed; }

    std::atomic<std::int64_t> newest_end{0}; ///< In the last report.
    std::atomic<int> reports{0};
    std::atomic<int> starts{0};
    std::atomic<int> emptied{0};
    std::atomic<int> replaced{0};
    std::atomic<bool> starts_allowed{true};
    std::atomic<bool> renewals_allowed{true};
    std::atomic<bool> is_unreachable{false};
    std::atomic<time_point> silent_since{};
    std::atomic<workflow::start_outcome> last_start{workflow::start_outcome::unknown};
};

template <typename Condition> bool holds_within(milliseconds limit, const Condition& condition)
{
    const auto end = now() + limit;
    while (now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

/// A session with a worker that has reported.
struct reporting_session {
    reporting_session()
    {
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.reports > 1; }));
    }

    fake_worker worker;
    counting_listener listener;
    worker_session session{{.id = {}, .epoch = 1, .lease = milliseconds(400)},
                           {.id = "w"},
                           [this](const workflow::worker_entry& /*entry*/) {
                               return std::make_unique<fake_channel>(worker);
                           },
                           listener};
};

} // namespace

TEST_CASE("a session with a worker")
{
    reporting_session fixture;
    auto& [worker, listener, session] = fixture;

    SECTION("a worker that answers is never considered to have no runs")
    {
        std::this_thread::sleep_for(milliseconds(800));
        CHECK(listener.emptied == 0);
        CHECK_FALSE(listener.is_unreachable);
    }
    SECTION("an unreachable worker has no runs once its lease has expired, and only then")
    {
        worker.unreachable = true;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.is_unreachable.load(); }));
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(listener.emptied == 0);
        CHECK(holds_within(milliseconds(5'000), [&] { return listener.emptied == 1; }));
        CHECK(listener.replaced == 0);

        SECTION("and is reachable when it answers again")
        {
            worker.unreachable = false;
            CHECK(holds_within(milliseconds(3'000), [&] { return !listener.is_unreachable; }));
        }
    }
    SECTION("the lease is not extended after a silence until that is permitted")
    {
        worker.unreachable = true;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.is_unreachable.load(); }));
        worker.unreachable = false;
        const auto leased_until = worker.leased_until_ms.load();
        const int reports = listener.reports;
        REQUIRE(holds_within(milliseconds(3'000), [&] { return listener.reports > reports + 3; }));
        CHECK(worker.leased_until_ms == leased_until);
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        CHECK(listener.last_start == workflow::start_outcome::not_sent);

        session.permit_renewal(listener.silent_since.load() - milliseconds(1));
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(worker.leased_until_ms == leased_until);

        session.permit_renewal(listener.silent_since);
        CHECK(holds_within(milliseconds(2'000),
                           [&] { return worker.leased_until_ms > leased_until; }));
    }
    SECTION("an order is not sent once its owner may not start runs any more")
    {
        listener.starts_allowed = false;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        CHECK(listener.last_start == workflow::start_outcome::not_sent);
        CHECK(worker.starts == 0);
    }
    SECTION("an order whose connection was closed is sent again")
    {
        worker.closed_connections = 1;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        CHECK(listener.last_start == workflow::start_outcome::started);
        CHECK(worker.starts == 1);
    }
    SECTION("an order is not sent again once its owner may not start runs any more")
    {
        worker.on_closed = [&] { listener.starts_allowed = false; };
        worker.closed_connections = 1;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        CHECK(listener.last_start == workflow::start_outcome::unknown);
        CHECK(worker.starts == 0);
    }
    SECTION("a worker has no runs once another incarnation answers at its address")
    {
        worker.is_replaced = true;
        CHECK(holds_within(milliseconds(2'000), [&] { return listener.emptied >= 1; }));
        CHECK(listener.replaced == listener.emptied);
    }
    SECTION("ends are forgotten with the next poll once they are stored, not after a fixed time")
    {
        worker.newest_end = 3;
        const int reports = listener.reports;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.reports > reports + 1; }));
        session.forget({.worker = 0, .incarnation = 0, .up_to = 2});
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        session.forget({.worker = 0, .incarnation = 0, .up_to = 3});
        CHECK(holds_within(milliseconds(200), [&] { return worker.forgotten == 3; }));
        CHECK(holds_within(milliseconds(200), [&] { return worker.starts == 1; }));
    }
    // Guards against a second run of a task: a worker that restarts under its id discarded ends
    // that nobody had read, as the next poll acknowledged ends of the earlier incarnation.
    SECTION("the first poll after an interruption acknowledges no ends")
    {
        worker.newest_end = 3;
        session.forget({.worker = 0, .incarnation = 0, .up_to = 3});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.forgotten == 3; }));
        worker.unreachable = true;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.is_unreachable.load(); }));
        worker.newest_end = 2;
        worker.incarnation = 2;
        worker.forgotten = 0;
        worker.unreachable = false;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.newest_end == 2; }));
        CHECK(worker.forgotten == 0);
    }
    SECTION("an answer of a restarted worker to an order ends the acknowledgement of earlier ends")
    {
        worker.newest_end = 3;
        session.forget({.worker = 0, .incarnation = 0, .up_to = 3});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.forgotten == 3; }));
        worker.poll_time_ms = 300;
        std::this_thread::sleep_for(milliseconds(50));
        worker.clock_offset_ms = 1'000'000;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.polls_at_offset > 0; }));
        worker.clock_offset_ms = 0;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        CHECK(holds_within(milliseconds(2'000), [&] { return worker.forgotten == 0; }));
    }
    SECTION("starts that wait for a slow worker are not sent once it leaves")
    {
        worker.start_time_ms = 400;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        session.start({.worker = 0, .name = {{"job", 0, 1}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.starts == 1; }));
        session.withdraw_starts();
        CHECK(listener.starts == 1);
        CHECK(listener.last_start == workflow::start_outcome::not_sent);
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 2; }));
        CHECK(listener.last_start == workflow::start_outcome::started);
        std::this_thread::sleep_for(milliseconds(100));
        CHECK(worker.starts == 1);
    }
    SECTION("a start for an unreachable worker is not sent, so that its lease can expire")
    {
        worker.unreachable = true;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.is_unreachable.load(); }));
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        CHECK(listener.last_start == workflow::start_outcome::not_sent);
    }
}

// Guards against a task that counts as placed for good: starts that waited when the session ended
// had no result.
TEST_CASE("each start has one result, also when the session ends before it is sent")
{
    reporting_session fixture;
    auto& [worker, listener, session] = fixture;
    worker.start_time_ms = 200;
    for (int index = 0; index < 3; ++index) {
        session.start({.worker = 0, .name = {{"job", 0, index}, 1}});
    }
    REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.starts == 1; }));
    session.request_stop();
    CHECK(holds_within(milliseconds(2'000), [&] { return listener.starts == 3; }));
    session.start({.worker = 0, .name = {{"job", 0, 3}, 1}});
    CHECK(holds_within(milliseconds(2'000), [&] { return listener.starts == 4; }));
    CHECK(listener.last_start == workflow::start_outcome::not_sent);
    CHECK(worker.starts == 1);
}

// Guards against a task that counts as placed for as long as a slow worker has runs to stop.
TEST_CASE("starts do not wait for all stops of a slow worker, however often these are repeated")
{
    reporting_session fixture;
    auto& [worker, listener, session] = fixture;
    worker.stop_time_ms = 300;
    for (int repetition = 0; repetition < 4; ++repetition) {
        for (int index = 0; index < 5; ++index) {
            session.stop({.worker = 0, .name = {{"stopped", 0, index}, 1}});
        }
    }
    session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
    CHECK(holds_within(milliseconds(1'000), [&] { return listener.starts == 1; }));
    CHECK(listener.last_start == workflow::start_outcome::started);
    CHECK(holds_within(milliseconds(2'000), [&] { return worker.stops == 5; }));
    std::this_thread::sleep_for(milliseconds(700));
    CHECK(worker.stops <= 6); // A stop that was in flight is repeated.
}
