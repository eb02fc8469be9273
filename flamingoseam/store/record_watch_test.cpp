#include "flamingoseam/store/record_watch.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/commit_only_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <stdexcept>

using namespace flamingoseam;

namespace {

/// What a scripted store was asked and what it answers.
struct store_script {
    std::vector<shared_record> records;
    std::uint64_t revision = 1;
    std::deque<shared_changes> watches; ///< Answers to watches; none left means no answer.
    bool fails = false;                 ///< The next report fails.
    int lists = 0;
    std::vector<std::uint64_t> watched; ///< Revisions of the watches.
    std::vector<std::string> events;    ///< Names of the reported events.
};

class scripted_store final : public commit_only_store {
public:
    explicit scripted_store(store_script& script) : script_(script) {}

    shared_page list(const std::string& /*prefix*/, const std::string& /*after*/) override
    {
        ++script_.lists;
        return {.records = script_.records, .has_more = false, .revision = script_.revision};
    }

    shared_changes watch(const std::string& /*prefix*/, std::uint64_t revision,
                         watch_times /*times*/) override
    {
        script_.watched.push_back(revision);
        if (script_.watches.empty()) {
            throw transport_error(304, "no answer", true);
        }
        auto answer = std::move(script_.watches.front());
        script_.watches.pop_front();
        return answer;
    }

    shared_result commit(const shared_transaction& /*changes*/, milliseconds /*timeout*/) override
    {
        return {};
    }

private:
    store_script& script_;
};

record_watch make_watch(store_script& script)
{
    return {{.name = "workers",
             .prefix = "w/",
             .report =
                 [&script](const log_event& event) {
                     script.events.push_back(event.event);
                     if (std::exchange(script.fails, false)) {
                         throw std::out_of_range("no such event");
                     }
                 }},
            std::make_unique<scripted_store>(script)};
}

bool was_reported(const store_script& script, const std::string& event)
{
    return std::find(script.events.begin(), script.events.end(), event) != script.events.end();
}

} // namespace

TEST_CASE("a record watch follows the records with a prefix")
{
    store_script script{.records = {{.key = "w/1", .value = "a", .revision = 3}}, .revision = 7};
    auto watch = make_watch(script);
    CHECK(watch.confirmed_at() == time_point{});
    const auto first = watch.next();
    REQUIRE(first.is_complete);
    REQUIRE(first.records.size() == 1);
    CHECK(watch.confirmed_at() != time_point{});
    CHECK(was_reported(script, "records_read"));

    SECTION("changes after the first reading are returned alone")
    {
        script.watches.push_back(
            {.revision = 9, .records = {{.key = "w/2", .value = "b", .revision = 9}}});
        const auto update = watch.next();
        CHECK_FALSE(update.is_complete);
        REQUIRE(update.records.size() == 1);
        CHECK(update.records[0].key == "w/2");
        CHECK(script.watched == std::vector<std::uint64_t>{7});
        CHECK(script.lists == 1);
    }
    SECTION("an answer without changes confirms that the records are current")
    {
        const auto confirmed = watch.confirmed_at();
        script.watches.push_back({.revision = 8, .records = {}});
        CHECK(watch.next().records.empty());
        CHECK(watch.confirmed_at() > confirmed);
    }
    SECTION("a call without an answer confirms nothing and is reported once")
    {
        const auto confirmed = watch.confirmed_at();
        CHECK_THROWS_AS(watch.next(), transport_error);
        CHECK(watch.confirmed_at() == confirmed);
        CHECK(was_reported(script, "watch_failed"));
        CHECK_FALSE(was_reported(script, "watch_answers"));
    }
    SECTION("an interrupted watch goes on from its last answer")
    {
        CHECK_THROWS_AS(watch.next(), transport_error);
        script.watches.push_back(
            {.revision = 9, .records = {{.key = "w/2", .value = "b", .revision = 9}}});
        const auto update = watch.next();
        CHECK_FALSE(update.is_complete);
        CHECK(update.records.size() == 1);
        CHECK(script.watched == std::vector<std::uint64_t>{7, 7});
        CHECK(script.lists == 1);
        CHECK(was_reported(script, "watch_answers"));
    }
    SECTION("records are read again after the store has discarded its history")
    {
        script.watches.push_back({.history_lost = true, .revision = 0, .records = {}});
        script.records = {{.key = "w/3", .value = "c", .revision = 11}};
        script.revision = 12;
        const auto update = watch.next();
        CHECK(update.is_complete);
        REQUIRE(update.records.size() == 1);
        CHECK(update.records[0].key == "w/3");
        CHECK(was_reported(script, "watch_history_lost"));
    }
    SECTION("records are read again after an exception with which an answer was lost")
    {
        CHECK_THROWS_AS(watch.next(), transport_error);
        script.watches.push_back(
            {.revision = 9, .records = {{.key = "w/2", .value = "b", .revision = 9}}});
        script.fails = true; // In the report of the answer.
        CHECK_THROWS_AS(watch.next(), std::out_of_range);
        CHECK(watch.next().is_complete);
        CHECK(script.lists == 2);
    }
}
