#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t most_entries = 30;

record_batch take(driven_state& one, std::size_t chain)
{
    return one.state.take_batch(chain, most_entries, one.time, wall);
}

void hand_in(driven_state& one, const std::string& id)
{
    one.state.submit(1, one.job(id, 1'000), one.terms(), one.time, wall);
}

} // namespace

TEST_CASE("several chains of transactions share the changes")
{
    driven_state one;
    one.make_usable();
    hand_in(one, "0000000000000001");
    const auto first = take(one, 0);
    REQUIRE(first.changes.size() == 1);
    hand_in(one, "0000000000000002");

    SECTION("the first chain alone writes while the store is fast")
    {
        CHECK_FALSE(one.state.has_changes(1, one.time));
        CHECK(take(one, 1).changes.empty());
        one.state.on_stored(0);
        CHECK(one.state.has_changes(0, one.time));
        CHECK(take(one, 0).changes.size() == 1);
    }
    SECTION("the next one helps when a write takes long")
    {
        one.time += milliseconds(60);
        CHECK(one.state.has_changes(1, one.time));
        CHECK_FALSE(one.state.has_changes(2, one.time));
        const auto second = take(one, 1);
        REQUIRE(second.changes.size() == 1);
        CHECK(second.changes[0].key == "fs/job/0000000000000002");
    }
    SECTION("a job that is being written is in no other transaction")
    {
        one.time += milliseconds(60);
        one.state.cancel(2, "0000000000000001", wall);
        const auto second = take(one, 1);
        REQUIRE(second.changes.size() == 1);
        CHECK(second.changes[0].key == "fs/job/0000000000000002");
        one.state.on_stored(0);
        const auto third = take(one, 0);
        REQUIRE_FALSE(third.changes.empty());
        CHECK(third.changes[0].key == "fs/progress/0000000000000001");
    }
}

TEST_CASE("a transaction takes what somebody waits for first")
{
    driven_state one;
    one.make_usable();
    for (int number = 0; number < 30; ++number) {
        one.submit(one.job("b" + std::to_string(number), 1, 2));
    }
    worker_report report{.life = 1};
    for (const auto& order : one.next().starts) {
        one.state.on_start(0, order.name, start_outcome::started, one.time);
        if (order.name.task.index == 0) {
            report.ended.push_back(
                {.number = static_cast<std::int64_t>(report.ended.size()) + 1, .name = order.name});
        }
    }
    one.state.on_report(0, report, one.time, wall);
    const auto count_of = [](const record_batch& batch, const std::string& kind) {
        return std::ranges::count_if(batch.changes, [&](const record_change& change) {
            return change.key.starts_with("fs/" + kind);
        });
    };

    SECTION("new jobs go before older progress")
    {
        hand_in(one, "a");
        const auto first = take(one, 0);
        CHECK(first.changes.at(0).key == "fs/job/a");
    }
    SECTION("progress keeps its share")
    {
        for (int number = 0; number < 30; ++number) {
            hand_in(one, "a" + std::to_string(number));
        }
        const auto first = take(one, 0);
        CHECK(count_of(first, "job/") >= 15);
        CHECK(count_of(first, "progress/") >= 9);
    }
    SECTION("the next chain writes at once when a full transaction waits")
    {
        for (int number = 0; number < 30; ++number) {
            hand_in(one, "a" + std::to_string(number));
        }
        CHECK(one.state.has_full_batch());
        CHECK_FALSE(take(one, 0).changes.empty());
        CHECK(one.state.has_changes(1, one.time));
        CHECK_FALSE(take(one, 1).changes.empty());
        CHECK_FALSE(one.state.has_full_batch());
        CHECK_FALSE(one.state.has_changes(2, one.time));
    }
}

TEST_CASE("a store that falls silent")
{
    driven_state one;
    one.make_usable();
    hand_in(one, "0000000000000001");
    REQUIRE(take(one, 0).changes.size() == 1);
    hand_in(one, "0000000000000002");
    one.state.set_store_available(false);

    SECTION("lets jobs be refused that were in no transaction yet, at once")
    {
        const auto actions = one.next();
        REQUIRE(actions.answers.size() == 1);
        CHECK(actions.answers[0].what == caller_answer::kind::refused);
        CHECK_FALSE(one.state.find("0000000000000002"));
    }
    SECTION("leaves a job open that may have been stored")
    {
        CHECK(one.state.find("0000000000000001"));
        one.state.on_stored(0);
        const auto actions = one.next();
        REQUIRE(actions.answers.size() == 2);
        CHECK(actions.answers[1].what == caller_answer::kind::stored);
    }
    SECTION("a refused job may be handed in again")
    {
        one.state.set_store_available(true);
        one.state.on_stored(0);
        hand_in(one, "0000000000000002");
        one.store();
        CHECK(one.state.find("0000000000000002"));
    }
}
