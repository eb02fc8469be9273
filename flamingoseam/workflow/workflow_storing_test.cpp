#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t max_records = 30;

record_batch take(driven_state& driver, std::size_t stream)
{
    return driver.state.take_batch(stream, max_records, driver.time);
}

void submit_job(driven_state& driver, const std::string& id)
{
    driver.state.submit(1, driver.job(id, 1'000), driver.terms(), driver.time, wall);
}

} // namespace

TEST_CASE("several commit streams share the changes")
{
    driven_state driver;
    driver.make_usable();
    submit_job(driver, "0000000000000001");
    const auto first = take(driver, 0);
    REQUIRE(first.changes.size() == 1);
    submit_job(driver, "0000000000000002");

    SECTION("only the first stream writes while the store is fast")
    {
        CHECK_FALSE(driver.state.should_write(1, driver.time));
        CHECK(take(driver, 1).changes.empty());
        driver.state.on_stored(0);
        CHECK(driver.state.should_write(0, driver.time));
        CHECK(take(driver, 0).changes.size() == 1);
    }
    SECTION("the next stream writes, too, when a write takes long")
    {
        driver.time += milliseconds(60);
        CHECK(driver.state.should_write(1, driver.time));
        CHECK_FALSE(driver.state.should_write(2, driver.time));
        const auto second = take(driver, 1);
        REQUIRE(second.changes.size() == 1);
        CHECK(second.changes[0].key == "fs/job/0000000000000002");
    }
    SECTION("a job that is being written is in no other transaction")
    {
        driver.time += milliseconds(60);
        driver.state.cancel(2, "0000000000000001", driver.time, wall);
        const auto second = take(driver, 1);
        REQUIRE(second.changes.size() == 1);
        CHECK(second.changes[0].key == "fs/job/0000000000000002");
        driver.state.on_stored(0);
        const auto third = take(driver, 0);
        REQUIRE_FALSE(third.changes.empty());
        CHECK(third.changes[0].key == "fs/progress/0000000000000001");
    }
}

TEST_CASE("a transaction contains urgent changes first")
{
    driven_state driver;
    driver.make_usable();
    for (int number = 0; number < 30; ++number) {
        driver.submit(driver.job("b" + std::to_string(number), 1, 2));
    }
    worker_report report{.incarnation = 1};
    for (const auto& order : driver.next().starts) {
        driver.state.on_start(0, order.name, start_outcome::started, driver.time);
        if (order.name.task.index == 0) {
            report.ended.push_back(
                {.number = static_cast<std::int64_t>(report.ended.size()) + 1, .name = order.name});
        }
    }
    driver.state.on_report(0, report, driver.time, wall);
    const auto count_of = [](const record_batch& batch, const std::string& kind) {
        return std::ranges::count_if(batch.changes, [&](const record_change& change) {
            return change.key.starts_with("fs/" + kind);
        });
    };

    SECTION("new jobs precede older progress")
    {
        submit_job(driver, "a");
        const auto first = take(driver, 0);
        CHECK(first.changes.at(0).key == "fs/job/a");
    }
    SECTION("progress keeps its share")
    {
        for (int number = 0; number < 30; ++number) {
            submit_job(driver, "a" + std::to_string(number));
        }
        const auto first = take(driver, 0);
        CHECK(count_of(first, "job/") >= 15);
        CHECK(count_of(first, "progress/") >= 9);
    }
    SECTION("the next stream writes immediately when a full transaction is pending")
    {
        for (int number = 0; number < 30; ++number) {
            submit_job(driver, "a" + std::to_string(number));
        }
        CHECK(driver.state.has_full_batch());
        CHECK_FALSE(take(driver, 0).changes.empty());
        CHECK(driver.state.should_write(1, driver.time));
        CHECK_FALSE(take(driver, 1).changes.empty());
        CHECK_FALSE(driver.state.has_full_batch());
        CHECK_FALSE(driver.state.should_write(2, driver.time));
    }
}

TEST_CASE("a store that becomes unreachable")
{
    driven_state driver;
    driver.make_usable();
    submit_job(driver, "0000000000000001");
    REQUIRE(take(driver, 0).changes.size() == 1);
    submit_job(driver, "0000000000000002");
    driver.state.set_store_available(false);

    SECTION("causes jobs that were in no transaction yet to be refused immediately")
    {
        const auto actions = driver.next();
        REQUIRE(actions.answers.size() == 1);
        CHECK(actions.answers[0].kind == caller_answer::answer_kind::refused);
        CHECK_FALSE(driver.state.find("0000000000000002"));
    }
    SECTION("leaves a job open that may have been stored")
    {
        CHECK(driver.state.find("0000000000000001"));
        driver.state.on_stored(0);
        const auto actions = driver.next();
        REQUIRE(actions.answers.size() == 2);
        CHECK(actions.answers[1].kind == caller_answer::answer_kind::stored);
    }
    SECTION("a refused job may be submitted again")
    {
        driver.state.set_store_available(true);
        driver.state.on_stored(0);
        submit_job(driver, "0000000000000002");
        driver.store();
        CHECK(driver.state.find("0000000000000002"));
    }
}
