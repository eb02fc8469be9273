#include "flamingoseam/node/worker_session.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/blocking_channel.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <functional>
#include <future>
#include <iterator>
#include <map>
#include <mutex>
#include <new>
#include <stdexcept>
#include <string>
#include <thread>

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
    std::atomic<int> closed_polls{0};       ///< Polls that fail at once.
    std::atomic<int> polls{0};
    std::atomic<bool> was_poll_closed{false};
    std::atomic<std::int64_t> forgotten_after_close{-1}; ///< By the poll after a closed one.
    std::atomic<std::uint64_t> token{0}; ///< The highest one seen; lower ones are refused.
    std::atomic<std::uint64_t> life_token{
        0}; ///< The lowest one that is meant for the present life.
    std::atomic<std::int64_t> forgotten_in_life{0}; ///< The most that such polls acknowledged.
    std::function<void()> on_closed = [] {};
    time_point began = now();

    worker_time clock() const
    {
        return worker_time(1'000 + clock_offset_ms) +
               std::chrono::duration_cast<milliseconds>(now() - began);
    }
};

class fake_channel final : public tests::blocking_channel {
public:
    explicit fake_channel(fake_worker& worker) : worker_(worker) {}

    order_answer start(const start_call& call, milliseconds /*timeout*/) override
    {
        throw_if_unreachable();
        if (!accepts(call.epoch)) {
            return {.outcome = workflow::start_outcome::fenced, .clock = worker_.clock()};
        }
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
        ++worker_.polls;
        if (worker_.closed_polls > 0) {
            --worker_.closed_polls;
            worker_.was_poll_closed = true;
            throw transport_error(304, "the connection is closed", true);
        }
        if (!accepts(call.epoch)) {
            return {.outcome = renew_answer::kind::fenced, .clock = worker_.clock()};
        }
        if (worker_.was_poll_closed.exchange(false)) {
            worker_.forgotten_after_close = call.forget_up_to;
        }
        if (worker_.is_replaced) {
            return {.outcome = renew_answer::kind::wrong_incarnation, .clock = worker_.clock()};
        }
        worker_.forgotten = call.forget_up_to;
        if (call.epoch >= worker_.life_token) {
            worker_.forgotten_in_life =
                std::max(worker_.forgotten_in_life.load(), call.forget_up_to);
        }
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

    bool accepts(std::uint64_t token) const
    {
        if (token < worker_.token) {
            return false;
        }
        worker_.token = token;
        return true;
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
    void on_fenced(std::size_t /*worker*/) override { ++fenced; }
    [[nodiscard]] bool may_start() const override { return starts_allowed; }
    [[nodiscard]] bool may_renew() const override { return renewals_allowed; }

    std::atomic<std::int64_t> newest_end{0}; ///< In the last report.
    std::atomic<int> reports{0};
    std::atomic<int> starts{0};
    std::atomic<int> emptied{0};
    std::atomic<int> replaced{0};
    std::atomic<int> fenced{0};
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
                           tests::shared_worker_io()->next_loops(),
                           tests::on_own_threads([this](const workflow::worker_entry& /*entry*/) {
                               return std::make_unique<fake_channel>(worker);
                           }),
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
    // Guards against a second run of a task: a poll that was carried out late acknowledged ends of
    // a later incarnation that nobody had read.
    SECTION("calls meant for an earlier incarnation carry a lower token than those for a later one")
    {
        const auto earlier = worker.token.load();
        SECTION("which is known from a report")
        {
            worker.incarnation = 2;
        }
        SECTION("which is known from the list")
        {
            session.expect_incarnation(2);
        }
        SECTION("which is known from its clock")
        {
            worker.clock_offset_ms = 1'000'000;
            std::this_thread::sleep_for(milliseconds(100));
            worker.clock_offset_ms = 0;
        }
        CHECK(holds_within(milliseconds(2'000), [&] { return worker.token > earlier; }));
        CHECK(worker.token / tokens_per_epoch == earlier / tokens_per_epoch);
        CHECK(session.incarnations() > 0);
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        CHECK(listener.last_start == workflow::start_outcome::started);
        CHECK(listener.fenced == 0);
    }
    SECTION("an order that the session's own next token has overtaken is no sign of another owner")
    {
        worker.poll_time_ms = 300;
        std::this_thread::sleep_for(milliseconds(50));
        session.expect_incarnation(2); // The poll in flight has the earlier token.
        const int reports = listener.reports;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        CHECK(holds_within(milliseconds(3'000), [&] { return listener.reports > reports + 1; }));
        CHECK(listener.fenced == 0);
        CHECK_FALSE(listener.is_unreachable);
    }
    SECTION("a worker with a higher token than the session ever had has another owner")
    {
        worker.token = worker.token + 1;
        CHECK(holds_within(milliseconds(2'000), [&] { return listener.fenced > 0; }));
    }
    // Guards against a second run of a task: ends of the new incarnation were discarded unread.
    SECTION("an acknowledgement for an incarnation that is known to have ended is not sent")
    {
        worker.incarnation = 1;
        worker.clock_offset_ms = 1'000'000;
        REQUIRE(holds_within(milliseconds(2'000), [&] {
            return session.incarnations() == 1 && worker.polls_at_offset > 1;
        }));
        SECTION("which is known from the list while a poll is in flight")
        {
            worker.poll_time_ms = 300;
            std::this_thread::sleep_for(milliseconds(50));
            worker.life_token = worker.token + 1;
            session.expect_incarnation(2);
        }
        SECTION("which is known from its clock while the next poll waits for ends to be stored")
        {
            worker.newest_end = 3;
            REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.newest_end == 3; }));
            worker.life_token = worker.token + 1;
            worker.clock_offset_ms = 0;
            session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
            REQUIRE(holds_within(milliseconds(200), [&] { return listener.starts == 1; }));
        }
        REQUIRE(session.incarnations() == 2);
        worker.incarnation = 2;
        session.forget({.worker = 0, .incarnation = 1, .up_to = 3}); // Decided before.
        REQUIRE(holds_within(milliseconds(3'000), [&] { return session.incarnations() > 2; }));
        CHECK(worker.forgotten_in_life == 0);
    }
    SECTION("a poll whose connection was closed is repeated without an acknowledgement")
    {
        worker.newest_end = 3;
        session.forget({.worker = 0, .incarnation = 0, .up_to = 3});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.forgotten == 3; }));
        worker.closed_polls = 1;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.closed_polls == 0; }));
        const int reports = listener.reports;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.reports > reports + 1; }));
        CHECK(worker.forgotten_after_close == 0);
        CHECK(listener.silent_since.load() == time_point{});
    }
    SECTION("a worker that is listed with a new incarnation is polled without delay")
    {
        worker.unreachable = true;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.is_unreachable.load(); }));
        std::this_thread::sleep_for(milliseconds(900)); // The delay has reached its maximum.
        worker.unreachable = false;
        worker.incarnation = 2;
        const int polls = worker.polls;
        session.expect_incarnation(2);
        CHECK(holds_within(milliseconds(60), [&] { return worker.polls > polls; }));
    }
    // Guards against a second run of a task: a young incarnation shortens an earlier one's deadline
    // to the longest lease, counted from the arrival of the order.
    SECTION("the lease that an order gives to a restarted worker counts from its answer")
    {
        worker.clock_offset_ms = 1'000'000;
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.polls_at_offset > 1; }));
        worker.poll_time_ms = 2'400; // Beyond the timeout, so that no other poll is sent.
        std::this_thread::sleep_for(milliseconds(50));
        worker.clock_offset_ms = 0;
        std::this_thread::sleep_for(milliseconds(1'750));
        worker.start_time_ms = 500;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.starts == 1; }));
        const auto answered = now();
        worker.unreachable = true;
        worker.poll_time_ms = 5;
        REQUIRE(holds_within(milliseconds(5'000), [&] { return listener.emptied == 1; }));
        CHECK(now() - answered > milliseconds(400));
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
    // Guards against a second run of a task: the worker had restarted after it had accepted the
    // stop, so that it carried out the start of a run that had been taken for lost.
    SECTION("a start that waits for a slow worker is not sent once its run is stopped")
    {
        worker.start_time_ms = 400;
        session.start({.worker = 0, .name = {{"job", 0, 0}, 1}});
        session.start({.worker = 0, .name = {{"job", 0, 1}, 1}});
        REQUIRE(holds_within(milliseconds(2'000), [&] { return worker.starts == 1; }));
        session.stop({.worker = 0, .name = {{"job", 0, 1}, 1}});
        CHECK(holds_within(milliseconds(2'000), [&] { return listener.starts == 2; }));
        CHECK(holds_within(milliseconds(2'000), [&] { return worker.stops == 1; }));
        std::this_thread::sleep_for(milliseconds(500));
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

namespace {

/// What a channel without a thread of its own does with the orders that it gets.
struct order_policy {
    std::atomic<bool> answers{true}; ///< Otherwise the answer does not arrive until the timeout.
    std::atomic<bool> throws{false}; ///< Throws an exception that is not of ours.
    std::atomic<bool> fails_oddly{false}; ///< The answer is an exception that is not of ours.
    std::atomic<int> starts{0};
    std::atomic<int> polls{0};
};

/// A connection to a worker that answers all polls.
class loop_channel final : public worker_channel {
public:
    loop_channel(io_loop& loop, order_policy& policy)
        : policy_(policy), answer_(loop, [this] { std::exchange(pending_, nullptr)(); })
    {
    }

    void start(const start_call& /*call*/, milliseconds timeout, order_handler handler) override
    {
        ++policy_.starts;
        if (policy_.throws) {
            throw std::bad_alloc();
        }
        pending_ = [this, handler = std::move(handler)] { handler(start_result()); };
        answer_.start(policy_.answers ? milliseconds(1) : timeout);
    }
    void stop(const workflow::run_name& /*name*/, std::uint64_t /*epoch*/, milliseconds /*timeout*/,
              order_handler handler) override
    {
        pending_ = [handler = std::move(handler)] {
            handler(order_answer{.outcome = workflow::start_outcome::started});
        };
        answer_.start(milliseconds(1));
    }
    void renew(const renew_call& /*call*/, milliseconds /*timeout*/, renew_handler handler) override
    {
        if (policy_.throws) {
            throw std::out_of_range("no such element");
        }
        pending_ = [this, handler = std::move(handler)] {
            ++policy_.polls;
            handler(renew_answer{.clock = worker_time(1'000)});
        };
        answer_.start(milliseconds(10));
    }

private:
    call_result<order_answer> start_result() const
    {
        if (policy_.fails_oddly) {
            return std::make_exception_ptr(std::out_of_range("no such element"));
        }
        if (!policy_.answers) {
            return std::make_exception_ptr(transport_error(304, "no answer", true));
        }
        return order_answer{.outcome = workflow::start_outcome::started};
    }

    order_policy& policy_;
    std::function<void()> pending_;
    io_timer answer_;
};

/// Records all results of starts.
class recording_listener final : public worker_listener {
public:
    void on_report(const session_id& /*session*/, workflow::worker_report /*report*/) override {}
    void on_start(std::size_t worker, const workflow::run_name& name,
                  workflow::start_outcome outcome) override
    {
        if (failures > 0) {
            --failures;
            throw std::bad_alloc();
        }
        const std::lock_guard lock(mutex_);
        results_[{worker, name.task.index}].push_back(outcome);
        ++count;
    }
    void on_stop(std::size_t /*worker*/, const workflow::run_name& /*name*/) override {}
    void on_unreachable_changed(const session_id& /*session*/, bool unreachable,
                                time_point /*since*/) override
    {
        is_unreachable = unreachable;
    }
    void on_emptied(const session_id& /*session*/, workflow::emptied_reason /*reason*/) override
    {
        ++emptied;
    }
    void on_fenced(std::size_t /*worker*/) override {}
    [[nodiscard]] bool may_start() const override { return true; }
    [[nodiscard]] bool may_renew() const override { return true; }

    /// Returns the results by worker and task.
    std::map<std::pair<std::size_t, int>, std::vector<workflow::start_outcome>> results() const
    {
        const std::lock_guard lock(mutex_);
        return results_;
    }

    std::atomic<int> count{0};
    std::atomic<int> emptied{0};
    std::atomic<bool> is_unreachable{false};
    std::atomic<int> failures{0}; ///< Calls of on_start() that throw an exception first.

private:
    mutable std::mutex mutex_;
    std::map<std::pair<std::size_t, int>, std::vector<workflow::start_outcome>> results_;
};

/// Sessions with several workers.
struct session_group {
    explicit session_group(std::size_t count)
    {
        for (std::size_t worker = 0; worker < count; ++worker) {
            sessions.push_back(std::make_unique<worker_session>(
                worker_session_options{.id = {.worker = worker}, .epoch = 1},
                workflow::worker_entry{.id = "w"}, tests::shared_worker_io()->next_loops(),
                [this](io_loop& loop, const workflow::worker_entry& /*entry*/) {
                    return std::make_unique<loop_channel>(loop, policy);
                },
                listener));
        }
        const int enough = 3 * static_cast<int>(count);
        REQUIRE(holds_within(milliseconds(5'000), [&] { return policy.polls > enough; }));
    }

    void start(std::size_t worker, int task)
    {
        sessions.at(worker)->start({.worker = worker, .name = {{"job", 0, task}, 1}});
    }

    order_policy policy;
    recording_listener listener;
    std::vector<std::unique_ptr<worker_session>> sessions;
};

std::ptrdiff_t count_threads()
{
    return std::distance(std::filesystem::directory_iterator("/proc/self/task"), {});
}

/// Keeps all loops for orders, and those for polls if that is asked for, busy until it is
/// destroyed.
class busy_loops {
public:
    explicit busy_loops(bool with_polls = false)
    {
        for (std::size_t index = 0; index < worker_io::loops_per_duty; ++index) {
            const auto loops = tests::shared_worker_io()->next_loops();
            loops.orders.post([end = end_] { end.wait(); });
            if (with_polls) {
                loops.polls.post([end = end_] { end.wait(); });
            }
        }
    }
    ~busy_loops() { ended_.set_value(); }
    busy_loops(const busy_loops&) = delete;
    busy_loops& operator=(const busy_loops&) = delete;

private:
    std::promise<void> ended_;
    std::shared_future<void> end_ = ended_.get_future().share();
};

} // namespace

// Guards against an owner that needs more threads than the machine has left when it takes over.
TEST_CASE("sessions with further workers need no further threads")
{
    const session_group one(1);
    const auto threads = count_threads();
    const session_group many(200);
    CHECK(count_threads() == threads);
}

TEST_CASE("each start has one result when the loops are busy")
{
    constexpr int tasks = 20;
    session_group group(10);
    {
        const busy_loops busy;
        for (int task = 0; task < tasks; ++task) {
            for (std::size_t worker = 0; worker < group.sessions.size(); ++worker) {
                group.start(worker, task);
            }
        }
        group.sessions[0]->withdraw_starts();
        CHECK(group.listener.count == tasks);
        group.sessions[1]->request_stop();
        std::this_thread::sleep_for(milliseconds(50));
        CHECK(group.policy.starts == 0);
    }
    REQUIRE(holds_within(milliseconds(5'000), [&] { return group.listener.count >= 10 * tasks; }));
    group.sessions.clear();
    const auto results = group.listener.results();
    CHECK(results.size() == std::size_t{10} * tasks);
    for (const auto& [run, outcomes] : results) {
        REQUIRE(outcomes.size() == 1);
        const auto expected =
            run.first < 2 ? workflow::start_outcome::not_sent : workflow::start_outcome::started;
        CHECK(outcomes.front() == expected);
    }
}

// Guards against a second run of a task: the acknowledgement of ends of an earlier incarnation
// followed the list that showed the next one, in the same batch of decisions, and was sent to that.
TEST_CASE("an acknowledgement for an earlier incarnation is not sent to one that was listed since")
{
    reporting_session fixture;
    auto& [worker, listener, session] = fixture;
    worker.newest_end = 3;
    REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.newest_end == 3; }));
    {
        const busy_loops busy(true); // The next poll follows both decisions.
        std::this_thread::sleep_for(milliseconds(50));
        worker.incarnation = 2;
        worker.newest_end = 2;
        worker.was_poll_closed = true; // So that the next poll's acknowledgement is recorded.
        session.expect_incarnation(2);
        session.forget({.worker = 0, .incarnation = 0, .up_to = 3});
    }
    REQUIRE(holds_within(milliseconds(2'000), [&] { return listener.newest_end == 2; }));
    CHECK(worker.forgotten_after_close == 0);
}

// Guards against a task that runs twice: a start that may have reached its worker counted as not
// sent.
TEST_CASE("an order in flight at the end of a session has its result before the session is gone")
{
    session_group group(2);
    group.policy.answers = false;
    for (std::size_t worker = 0; worker < 2; ++worker) {
        group.start(worker, 0);
        group.start(worker, 1);
    }
    REQUIRE(holds_within(milliseconds(2'000), [&] { return group.policy.starts == 2; }));
    for (const auto& session : group.sessions) {
        session->request_stop();
    }
    CHECK(holds_within(milliseconds(200), [&] { return group.listener.count == 2; }));
    CHECK_FALSE(group.sessions[0]->has_ended());
    CHECK(holds_within(milliseconds(2'000), [&] { return group.sessions[0]->has_ended(); }));
    group.sessions.clear();

    const auto results = group.listener.results();
    REQUIRE(results.size() == 4);
    for (const auto& [run, outcomes] : results) {
        REQUIRE(outcomes.size() == 1);
        const auto expected =
            run.second == 0 ? workflow::start_outcome::unknown : workflow::start_outcome::not_sent;
        CHECK(outcomes.front() == expected);
    }
    CHECK(group.policy.starts == 2);
}

TEST_CASE("an exception of any type in a call to a worker is an answer that did not arrive")
{
    session_group group(1);

    SECTION("thrown by the call")
    {
        group.policy.throws = true;
        group.start(0, 0);
        REQUIRE(holds_within(milliseconds(2'000), [&] { return group.listener.count == 1; }));
        group.policy.throws = false;
    }
    SECTION("instead of the answer")
    {
        group.policy.fails_oddly = true;
        group.start(0, 0);
        REQUIRE(holds_within(milliseconds(2'000), [&] { return group.listener.count == 1; }));
        group.policy.fails_oddly = false;
    }
    CHECK(group.listener.results().at({0, 0}).front() == workflow::start_outcome::unknown);
    CHECK(group.policy.starts == 1);
    const int polls = group.policy.polls;
    CHECK(holds_within(milliseconds(2'000), [&] { return group.policy.polls > polls + 1; }));
}

// Guards against a task that runs twice: the time of the worker's clock in an answer that had not
// arrived was undefined, and the worker's lease seemed to have expired.
TEST_CASE("an order without an answer says nothing of the worker's clock")
{
    session_group group(1);
    SECTION("at its timeout")
    {
        group.policy.answers = false;
    }
    SECTION("after an exception that is not of ours")
    {
        group.policy.fails_oddly = true;
    }
    group.start(0, 0);
    REQUIRE(holds_within(milliseconds(2'000), [&] { return group.listener.count == 1; }));
    group.policy.throws = true;
    CHECK(holds_within(milliseconds(2'000), [&] { return group.listener.is_unreachable.load(); }));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(group.listener.emptied == 0);
    group.policy.throws = false;
}

TEST_CASE("a result that the listener could not take is reported again")
{
    session_group group(1);
    group.listener.failures = 2;
    group.start(0, 0);
    group.start(0, 1);
    CHECK(holds_within(milliseconds(2'000), [&] { return group.listener.count == 2; }));
    group.sessions.clear();
    CHECK(group.listener.results().at({0, 0}).size() == 1);
    CHECK(group.listener.results().at({0, 1}).size() == 1);
}

namespace {

/// Polls whose answers the test gives.
struct manual_polls {
    std::mutex mutex;
    worker_channel::renew_handler handler;
    renew_call call;
    int count = 0;

    int sent()
    {
        const std::lock_guard lock(mutex);
        return count;
    }
};

class manual_channel final : public worker_channel {
public:
    explicit manual_channel(manual_polls& polls) : polls_(polls) {}
    void start(const start_call&, milliseconds, order_handler) override {}
    void stop(const workflow::run_name&, std::uint64_t, milliseconds, order_handler) override {}
    void renew(const renew_call& call, milliseconds, renew_handler handler) override
    {
        const std::lock_guard lock(polls_.mutex);
        polls_.call = call;
        polls_.handler = std::move(handler);
        ++polls_.count;
    }

private:
    manual_polls& polls_;
};

class hooked_listener final : public worker_listener {
public:
    void on_report(const session_id&, workflow::worker_report) override { on_reported(); }
    void on_start(std::size_t, const workflow::run_name&, workflow::start_outcome) override {}
    void on_stop(std::size_t, const workflow::run_name&) override {}
    void on_unreachable_changed(const session_id&, bool, time_point) override {}
    void on_emptied(const session_id&, workflow::emptied_reason) override {}
    void on_fenced(std::size_t) override {}
    [[nodiscard]] bool may_start() const override { return true; }
    [[nodiscard]] bool may_renew() const override { return true; }
    std::function<void()> on_reported = [] {};
};

} // namespace

// Guards against a second run of a task: the answer counted as one of the next incarnation.
TEST_CASE("a late answer of an incarnation lets no acknowledgement for it reach the next one")
{
    manual_polls polls;
    hooked_listener listener;
    const auto loops = tests::shared_worker_io()->next_loops();
    worker_session session(
        {.id = {}, .epoch = 1}, {.id = "w", .incarnation = 1}, loops,
        [&](io_loop&, const workflow::worker_entry&) {
            return std::make_unique<manual_channel>(polls);
        },
        listener);
    const auto answer_first_life = [&polls] {
        worker_channel::renew_handler handler;
        {
            const std::lock_guard lock(polls.mutex);
            handler = polls.handler;
        }
        renew_answer answer{.clock = worker_time(1'000'000)};
        answer.report.incarnation = 1;
        answer.report.ended.push_back({.number = 3});
        handler(answer);
    };
    for (int count = 1; count <= 2; ++count) {
        REQUIRE(holds_within(milliseconds(2'000), [&] { return polls.sent() == count; }));
        loops.polls.post(answer_first_life);
    }
    REQUIRE(holds_within(milliseconds(2'000), [&] { return polls.sent() == 3; }));
    // The answer has arrived when the restart is listed; the order was decided in that batch.
    loops.polls.post([&] {
        answer_first_life();
        listener.on_reported = [&] { session.forget({.worker = 0, .incarnation = 1, .up_to = 3}); };
        session.expect_incarnation(2);
    });
    REQUIRE(holds_within(milliseconds(2'000), [&] { return polls.sent() == 4; }));
    const std::lock_guard lock(polls.mutex);
    CHECK(polls.call.epoch == 1'001);
    CHECK(polls.call.forget_up_to == 0);
}
