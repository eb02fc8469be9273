#include "flamingoseam/node/owner_claim.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/node/ownership_proof.hpp"
#include "tests/commit_only_store.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <stdexcept>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

/// An in-memory store that can drop its answers after applying a transaction.
class memory_store final : public commit_only_store {
public:
    shared_result commit(const shared_transaction& changes, milliseconds /*timeout*/) override
    {
        auto result = apply(changes);
        if (answers_lost > 0) {
            --answers_lost;
            throw transport_error(304, "no answer", true);
        }
        if (failures > 0) {
            --failures;
            throw std::out_of_range("no such header");
        }
        return result;
    }

    shared_result apply(const shared_transaction& changes)
    {
        ++commits;
        shared_result result;
        for (const auto& condition : changes.conditions) {
            if (records[condition.key].revision != condition.revision) {
                auto current = records[condition.key];
                current.key = condition.key;
                result.conflicting.push_back(current);
            }
        }
        if (!result.conflicting.empty()) {
            return result;
        }
        ++revision;
        for (const auto& write : changes.writes) {
            records[write.key] = {.key = write.key, .value = write.value, .revision = revision};
        }
        result.applied = true;
        result.revision = revision;
        return result;
    }

    std::map<std::string, shared_record> records;
    std::uint64_t revision = 10;
    int answers_lost = 0;
    int failures = 0; ///< Answers to be replaced by an exception of the standard library.
    int commits = 0;
};

owner_claim claim_of(const std::string& node)
{
    return {.owner_key = "m/owner",
            .head_keys = {"head/0", "head/1"},
            .self = {.name = node, .incarnation = node + "-1", .address = {}}};
}

} // namespace

TEST_CASE("a claim of ownership")
{
    memory_store store;
    const auto first = claim_ownership(store, claim_of("a"));
    REQUIRE(first);
    CHECK(first->head.epoch == 1);
    CHECK(store.commits == 1);

    SECTION("replaces the heads of all commit streams")
    {
        CHECK(store.records["head/0"].revision == first->revision);
        CHECK(store.records["head/1"].revision == first->revision);
    }
    SECTION("succeeds although the previous owner continues to write")
    {
        store.apply({.conditions = {{"head/0", first->revision}},
                     .writes = {{"head/0", write_head(first->head)}, {"job/1", "{}"}},
                     .removals = {}});
        auto claim = claim_of("b");
        claim.expected_epoch = 1;
        claim.expected_revision = first->revision;
        const auto second = claim_ownership(store, claim);
        REQUIRE(second);
        CHECK(second->head.epoch == 2);
        const auto late =
            store.apply({.conditions = {{"head/0", first->revision + 1}}, .writes = {}});
        CHECK_FALSE(late.applied);
    }
    SECTION("fails when another node was first")
    {
        CHECK_FALSE(claim_ownership(store, claim_of("b")));
    }
    SECTION("fails when the same process has become the owner by another claim")
    {
        auto claim = claim_of("a");
        claim.number = 1;
        CHECK_FALSE(claim_ownership(store, claim));
    }
    SECTION("fails when the owner that it replaces as missing has rejoined")
    {
        auto claim = claim_of("b");
        claim.expected_epoch = 1;
        claim.expected_revision = first->revision;
        claim.absent_key = "m/node/a";
        store.records["m/node/a"] = {.key = "m/node/a", .value = "{}", .revision = 5};
        CHECK_FALSE(claim_ownership(store, claim));
        store.records.erase("m/node/a");
        CHECK(claim_ownership(store, claim));
    }
    SECTION("that was applied without an answer is recognised by its retry")
    {
        store.answers_lost = 1;
        auto claim = claim_of("b");
        claim.expected_epoch = 1;
        claim.expected_revision = first->revision;
        const auto second = claim_ownership(store, claim);
        REQUIRE(second);
        CHECK(second->revision == store.records["head/0"].revision);
        CHECK(second->revision == store.revision);
    }
    SECTION("that was applied although its call failed in an unforeseen way is recognised")
    {
        store.failures = 1;
        auto claim = claim_of("b");
        claim.expected_epoch = 1;
        claim.expected_revision = first->revision;
        const auto second = claim_ownership(store, claim);
        REQUIRE(second);
        CHECK(second->revision == store.revision);
    }
    SECTION("without any answer fails")
    {
        store.answers_lost = 100;
        CHECK_FALSE(claim_ownership(store, claim_of("c")));
    }
}

TEST_CASE("the stored state is read although there are no threads to read its parts at once")
{
    const workflow::record_keys keys{.prefix = "fs/"};
    const thread_limit limit(0);
    const auto state = read_stored_state([] { return std::make_unique<memory_store>(); }, keys);
    CHECK(state.jobs.jobs.empty());
}

// Guards against a successor that takes a record which the store has removed early for a proof.
TEST_CASE("an earlier owner may still act for a while, whether or not its record stands")
{
    membership_view view;
    CHECK_FALSE(earlier_certainty(view));

    view.owner = {.epoch = 3, .owner = {.name = "node1", .incarnation = "i1"}};
    CHECK(is_owner_record_missing(view));
    CHECK(earlier_certainty(view) == max_earlier_certainty);

    view.members["node1"] = view.owner->owner;
    CHECK_FALSE(is_owner_record_missing(view));
    CHECK(earlier_certainty(view) == max_earlier_certainty);

    view.owner->owner = {}; // It has handed over, perhaps before an earlier one had stopped.
    CHECK_FALSE(is_owner_record_missing(view));
    CHECK(earlier_certainty(view) == max_earlier_certainty);
}
