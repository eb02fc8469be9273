#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/shard/share_ledger.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>

using namespace flamingoseam;

namespace {

share_transfer transfer(const std::string& id, std::int64_t parts)
{
    return {.id = id, .customer = "leisure", .from_shard = "a", .to_shard = "b", .parts = parts};
}

} // namespace

TEST_CASE("share_ledger")
{
    share_ledger ledger(500'000);

    SECTION("give")
    {
        CHECK(ledger.give(transfer("1", 200'000), 300'000) == 200'000);
        CHECK(ledger.parts_of("leisure") == 300'000);

        SECTION("a repeated id gives nothing more")
        {
            CHECK(ledger.give(transfer("1", 200'000), 300'000) == 200'000);
            CHECK(ledger.parts_of("leisure") == 300'000);
        }
        SECTION("gives at most the spare parts")
        {
            CHECK(ledger.give(transfer("2", 200'000), 50'000) == 50'000);
        }
        SECTION("gives nothing when no parts are spare")
        {
            CHECK(ledger.give(transfer("2", 1), 0) == 0);
            CHECK(ledger.unconfirmed().size() == 1);
        }
    }

    SECTION("receive counts a transfer once")
    {
        CHECK(ledger.receive(transfer("1", 100)));
        CHECK_FALSE(ledger.receive(transfer("1", 100)));
        CHECK(ledger.parts_of("leisure") == 500'100);
    }

    SECTION("is unchanged by a round trip through JSON")
    {
        ledger.give(transfer("1", 7), 100);
        ledger.receive(transfer("2", 9));
        CHECK(from_json<share_ledger>(to_json(ledger)) == ledger);
    }

    SECTION("forget_older_than keeps transfers that are not certainly older")
    {
        const auto id = make_request_id(wall_time(5000));
        ledger.give(transfer(id, 7), 100);
        ledger.forget_older_than(wall_time(5000));
        CHECK(ledger.unconfirmed().size() == 1);
        ledger.forget_older_than(wall_time(5001));
        CHECK(ledger.unconfirmed().empty());
    }
}

TEST_CASE("parts_for and amount_of")
{
    const resources whole{.milli_cpus = 1000, .memory_mb = 3, .accelerators = 4, .slots = 7};
    CHECK(amount_of(whole, whole_share) == whole);
    CHECK(parts_for({.accelerators = 1}, whole) == 250'000);
    CHECK(parts_for({.accelerators = 5}, whole) == whole_share + 1);
    REQUIRE(rc::check("the amount for the returned parts covers the need", [&] {
        const resources need{.milli_cpus = *rc::gen::inRange(0, 1001),
                             .memory_mb = *rc::gen::inRange(0, 4),
                             .accelerators = *rc::gen::inRange(0, 5),
                             .slots = *rc::gen::inRange(0, 8)};
        RC_ASSERT(fits(need, amount_of(whole, parts_for(need, whole))));
    }));
}

// Guards against shares that add up to more than the whole ceiling. The owners of three shards
// crash at any step and restart from their journal, while messages are lost, duplicated and
// delayed.
TEST_CASE("shares never add up to more than the whole in any interleaving")
{
    struct shard {
        share_ledger memory{whole_share / 3};
        share_ledger journal{whole_share / 3};
    };
    REQUIRE(rc::check("sum of parts", [] {
        std::array<shard, 3> shards;
        std::vector<share_transfer> offers;
        const auto steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            const auto from = *rc::gen::inRange<std::size_t>(0, 3);
            const auto to = *rc::gen::inRange<std::size_t>(0, 3);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                if (from != to) {
                    shards.at(from).memory.give({.id = "t" + std::to_string(i),
                                                 .customer = "leisure",
                                                 .from_shard = std::to_string(from),
                                                 .to_shard = std::to_string(to),
                                                 .parts = *rc::gen::inRange(1, 400'000)},
                                                *rc::gen::inRange(0, 400'000));
                }
                break;
            case 1:
                shards.at(from).journal = shards.at(from).memory;
                break;
            case 2: // An offer is sent only while the journal matches memory.
                if (shards.at(from).journal == shards.at(from).memory) {
                    for (const auto& offer : shards.at(from).memory.unconfirmed()) {
                        offers.push_back(offer);
                    }
                }
                break;
            case 3:
                if (!offers.empty()) {
                    const auto& offer = offers.at(*rc::gen::inRange<std::size_t>(0, offers.size()));
                    shards.at(std::stoul(offer.to_shard)).memory.receive(offer);
                }
                break;
            case 4: // A confirmation is sent only after the receiver's journal is written.
                if (!offers.empty()) {
                    const auto& offer = offers.at(*rc::gen::inRange<std::size_t>(0, offers.size()));
                    auto& receiver = shards.at(std::stoul(offer.to_shard));
                    receiver.memory.receive(offer);
                    receiver.journal = receiver.memory;
                    shards.at(std::stoul(offer.from_shard)).memory.confirm(offer.id);
                }
                break;
            default:
                shards.at(from).memory = shards.at(from).journal;
                break;
            }
            std::int64_t sum = 0;
            for (const auto& shard : shards) {
                RC_ASSERT(shard.memory.parts_of("leisure") >= 0);
                sum += shard.memory.parts_of("leisure");
            }
            RC_ASSERT(sum <= whole_share);
        }
    }));
}
