#include "flamingoseam/node/commit_stream.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/commit_only_store.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <stdexcept>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

/// How the fake store treats a transaction.
enum class commit_outcome { apply, apply_and_lose_answer, apply_and_fail, lose_request, delay };

/// The records of a store with one head record, written by one commit stream and by delayed copies
/// of its transactions.
struct fake_records {
    std::mutex mutex;
    std::uint64_t revision = 10;
    std::string head;
    std::map<std::string, std::string> values;
    std::deque<commit_outcome> outcomes;
    std::vector<shared_transaction> delayed;
    int commits = 0;

    shared_result apply(const shared_transaction& changes)
    {
        if (changes.conditions.at(0).revision != revision) {
            return {.applied = false,
                    .conflicting = {{.key = "head", .value = head, .revision = revision}}};
        }
        ++revision;
        for (const auto& write : changes.writes) {
            (write.key == "head" ? head : values[write.key]) = write.value;
        }
        return {.applied = true, .revision = revision};
    }
};

class fake_store final : public commit_only_store {
public:
    explicit fake_store(fake_records& records) : records_(records) {}

    shared_result commit(const shared_transaction& changes, milliseconds /*timeout*/) override
    {
        const std::lock_guard lock(records_.mutex);
        ++records_.commits;
        auto outcome = commit_outcome::apply;
        if (!records_.outcomes.empty()) {
            outcome = records_.outcomes.front();
            records_.outcomes.pop_front();
        }
        if (outcome == commit_outcome::delay) {
            records_.delayed.push_back(changes);
        }
        if (outcome == commit_outcome::apply_and_lose_answer ||
            outcome == commit_outcome::apply_and_fail) {
            records_.apply(changes);
        }
        if (outcome == commit_outcome::apply_and_fail) {
            throw std::out_of_range("no such header");
        }
        if (outcome != commit_outcome::apply) {
            throw transport_error(304, "no answer", true);
        }
        return records_.apply(changes);
    }

private:
    fake_records& records_;
};

/// Writes the numbers 1, 2, 3 … to the same key, one number in each batch.
class counting_source final : public commit_source {
public:
    explicit counting_source(int batches) : batches_(batches) {}

    workflow::record_batch take_batch(std::size_t /*max_changes*/) override
    {
        fail_if(fails_to_take);
        const std::lock_guard lock(mutex_);
        workflow::record_batch batch;
        if (taken_ < batches_) {
            batch.changes.push_back({"value", std::to_string(++taken_)});
        }
        return batch;
    }
    void on_stored(time_point sent) override
    {
        fail_if(fails_to_hear);
        stored_sent = sent;
        ++stored;
    }
    void on_superseded() override
    {
        fail_if(fails_to_hear);
        superseded = true;
    }
    void on_store_unreachable() override
    {
        fail_if(fails_to_hear);
        seen_unreachable = true;
    }

    std::atomic<int> stored{0};
    std::atomic<time_point> stored_sent{}; ///< When the attempt was sent that was answered last.
    std::atomic<bool> superseded{false};
    std::atomic<bool> seen_unreachable{false};
    std::atomic<bool> fails_to_take{false}; ///< The next call for changes fails.
    std::atomic<bool> fails_to_hear{false}; ///< The next notification fails.

private:
    static void fail_if(std::atomic<bool>& fails)
    {
        if (fails.exchange(false)) {
            throw std::out_of_range("no such change");
        }
    }

    std::mutex mutex_;
    int batches_;
    int taken_ = 0;
};

const stream_head first_head{.epoch = 3, .sequence = 0, .owner = "node"};

} // namespace

TEST_CASE("changes that fill a transaction are written without further delay")
{
    fake_records records;
    records.head = write_head(first_head);
    counting_source source(1);
    commit_stream stream({.head_key = "head", .batch_delay = std::chrono::hours(1)},
                         std::make_unique<fake_store>(records), first_head, 10, source);
    stream.wake();
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(source.stored == 0);
    stream.wake(true);
    for (int wait = 0; wait < 500 && source.stored == 0; ++wait) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(source.stored == 1);
}

TEST_CASE("a commit stream")
{
    fake_records records;
    records.head = write_head(first_head);
    counting_source source(3);
    const auto run = [&] {
        commit_stream stream({.head_key = "head", .batch_delay = milliseconds(1)},
                             std::make_unique<fake_store>(records), first_head, 10, source);
        stream.finish(std::nullopt);
        return stream.wait_finished(milliseconds(5'000));
    };

    SECTION("writes one batch after the other")
    {
        REQUIRE(run());
        CHECK(source.stored == 3);
        CHECK(records.values["value"] == "3");
        CHECK(records.commits == 3);
    }
    SECTION("recognizes its own transaction after a lost answer")
    {
        records.outcomes = {commit_outcome::apply_and_lose_answer, commit_outcome::apply,
                            commit_outcome::lose_request};
        REQUIRE(run());
        CHECK(source.stored == 3);
        CHECK(records.values["value"] == "3");
        CHECK_FALSE(source.superseded);
    }
    SECTION("is not changed by a delayed copy of an old transaction")
    {
        records.outcomes = {commit_outcome::delay, commit_outcome::apply};
        REQUIRE(run());
        REQUIRE(records.delayed.size() == 1);
        CHECK_FALSE(records.apply(records.delayed[0]).applied);
        CHECK(records.values["value"] == "3");
    }
    SECTION("ends when another owner has replaced the head record")
    {
        records.revision = 11;
        records.head = write_head({.epoch = 4, .sequence = 0, .owner = "other"});
        REQUIRE(run());
        CHECK(source.superseded);
        CHECK(source.stored == 0);
        CHECK_FALSE(records.values.contains("value"));
    }
    SECTION("reports an unreachable store after two attempts without an answer")
    {
        records.outcomes = {commit_outcome::lose_request, commit_outcome::lose_request};
        REQUIRE(run());
        CHECK(source.seen_unreachable);
        CHECK(source.stored == 3);
    }
    SECTION("retries a transaction after an exception that is no error of the store")
    {
        records.outcomes = {commit_outcome::apply_and_fail};
        REQUIRE(run());
        CHECK(source.stored == 3);
        CHECK(records.values["value"] == "3");
        CHECK_FALSE(source.superseded);
    }
    SECTION("takes the changes again if its source could not supply them")
    {
        source.fails_to_take = true;
        REQUIRE(run());
        CHECK(source.stored == 3);
        CHECK(records.values["value"] == "3");
    }
    SECTION("reports again that changes are stored if its source could not be told")
    {
        source.fails_to_hear = true;
        REQUIRE(run());
        CHECK(source.stored == 3);
        CHECK(records.commits == 3);
    }
    SECTION("reports again that it is superseded if its source could not be told")
    {
        source.fails_to_hear = true;
        records.revision = 11;
        records.head = write_head({.epoch = 4, .sequence = 0, .owner = "other"});
        REQUIRE(run());
        CHECK(source.superseded);
        CHECK(source.stored == 0);
    }
    SECTION("retries a transaction if its source could not be told of the unreachable store")
    {
        source.fails_to_hear = true;
        records.outcomes = {commit_outcome::lose_request, commit_outcome::lose_request};
        REQUIRE(run());
        CHECK(source.stored == 3);
    }
}

TEST_CASE("a commit stream for which there is no thread is not created")
{
    fake_records records;
    counting_source source(1);
    const thread_limit limit(0);
    CHECK_THROWS_AS((commit_stream({.head_key = "head"}, std::make_unique<fake_store>(records),
                                   first_head, 10, source)),
                    resource_error);
}

TEST_CASE("what a commit stream proves is as old as the attempt that was answered")
{
    fake_records records;
    records.head = write_head(first_head);
    records.outcomes = {commit_outcome::apply_and_lose_answer, commit_outcome::lose_request,
                        commit_outcome::apply};
    counting_source source(1);
    const auto began = boot_now();
    commit_stream stream({.head_key = "head", .batch_delay = milliseconds(0)},
                         std::make_unique<fake_store>(records), first_head, 10, source);
    stream.wake();
    for (int wait = 0; wait < 500 && source.stored == 0; ++wait) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    REQUIRE(source.stored == 1);
    // The attempts before it were followed by pauses of 20 and 40 ms.
    CHECK(source.stored_sent.load() - began >= milliseconds(60));
    CHECK(source.stored_sent.load() <= boot_now());
}
