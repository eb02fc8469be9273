#include "flamingoseam/node/membership.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/commit_only_store.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <stdexcept>
#include <thread>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

const member self{.name = "node1", .incarnation = "i1", .address = {"10.0.0.1", 7720}};

/// A store whose list contains the records of another writer beside that of a member.
class shared_list final : public commit_only_store {
public:
    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        shared_page page{.records = {{.key = prefix, .value = "1"},
                                     {.key = prefix + "x", .value = "{}"},
                                     {.key = prefix + "node/odd", .value = "[]"},
                                     {.key = prefix + "node/node1", .value = write_member(self)}},
                         .revision = 7};
        return page;
    }
    shared_result commit(const shared_transaction& /*changes*/, milliseconds /*timeout*/) override
    {
        return {.applied = true, .revision = 8};
    }
    shared_changes watch(const std::string& /*prefix*/, std::uint64_t revision,
                         watch_times /*times*/) override
    {
        return {.revision = revision, .records = {}};
    }
};

/// A store whose first watch gets no answer and whose second one reports that the member is gone.
class interrupted_store final : public commit_only_store {
public:
    struct shared {
        std::atomic<int> commits{0};
        std::atomic<int> watches{0};
    };

    explicit interrupted_store(shared& counts) : counts_(counts) {}

    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        return {.records = {{.key = prefix + "node/node1", .value = write_member(self)}},
                .revision = 7};
    }
    shared_result commit(const shared_transaction& /*changes*/, milliseconds /*timeout*/) override
    {
        ++counts_.commits;
        return {.applied = true, .revision = 8};
    }
    shared_changes watch(const std::string& prefix, std::uint64_t /*revision*/,
                         watch_times /*times*/) override
    {
        switch (++counts_.watches) {
        case 1:
            throw transport_error(304, "no answer", true);
        case 2:
            return {.revision = 9, .records = {{.key = prefix + "node/node1", .removed = true}}};
        default:
            return {.revision = 9, .records = {}};
        }
    }

private:
    shared& counts_;
};

} // namespace

TEST_CASE("a member whose record was removed joins again, also after an interrupted watch")
{
    interrupted_store::shared counts;
    const membership members({.self = self},
                             [&counts] { return std::make_unique<interrupted_store>(counts); });
    const auto end = now() + std::chrono::seconds(3);
    while (counts.commits < 2 && now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(counts.watches >= 2);
    CHECK(counts.commits >= 2);
}

namespace {

/// A store whose lease ends when told to and whose watch answers only when told to. Another node
/// takes over while the lease has ended.
class lapsing_store final : public commit_only_store {
public:
    struct shared {
        std::atomic<bool> lease_ended{false};
        std::atomic<bool> watch_answers{true};
        std::atomic<std::uint64_t> epoch{1};
        std::atomic<int> joins{0};
        std::atomic<int> lost_answers{0}; ///< Joins that are applied but not answered.
    };

    explicit lapsing_store(shared& state) : state_(state) {}

    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        return {.records = {{.key = prefix + "node/node1", .value = write_member(self)},
                            {.key = prefix + "owner", .value = owner_text()}},
                .revision = 7};
    }
    shared_result commit(const shared_transaction& /*changes*/, milliseconds /*timeout*/) override
    {
        ++state_.joins;
        if (state_.lost_answers > 0) {
            --state_.lost_answers;
            throw transport_error(304, "no answer", true);
        }
        return {.applied = true, .revision = 8};
    }
    bool renew_lease(std::uint64_t /*lease*/) override
    {
        return !state_.lease_ended.exchange(false);
    }
    shared_changes watch(const std::string& prefix, std::uint64_t revision,
                         watch_times /*times*/) override
    {
        if (!state_.watch_answers) {
            throw transport_error(304, "no answer", true);
        }
        return {.revision = revision,
                .records = {{.key = prefix + "owner", .value = owner_text()}}};
    }

private:
    [[nodiscard]] std::string owner_text() const
    {
        return write_owner({.epoch = state_.epoch, .owner = self});
    }

    shared& state_;
};

} // namespace

TEST_CASE("an owner whose lease had ended is certain again only after it has rejoined and asked")
{
    lapsing_store::shared state;
    const membership members({.self = self},
                             [&state] { return std::make_unique<lapsing_store>(state); });
    const auto is_certain = [&members] { return members.is_certain_owner({}, 1); };
    const auto holds_soon = [](const std::function<bool()>& condition) {
        const auto end = now() + std::chrono::seconds(3);
        while (!condition() && now() < end) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return condition();
    };
    REQUIRE(holds_soon(is_certain));

    state.watch_answers = false;
    const int joins = state.joins;
    state.lease_ended = true;
    REQUIRE(holds_soon([&] { return state.joins > joins; }));
    CHECK(holds_soon([&] { return !is_certain(); }));
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(members.has_valid_lease());
    CHECK_FALSE(is_certain());

    SECTION("not on an old view when the join was not answered")
    {
        state.lost_answers = 1;
        state.lease_ended = true;
        REQUIRE(holds_soon([&] { return state.lost_answers == 0; }));
        std::this_thread::sleep_for(milliseconds(300));
        CHECK_FALSE(is_certain());
        state.watch_answers = true;
        CHECK(holds_soon(is_certain));
    }
    SECTION("when no other node has taken over")
    {
        state.watch_answers = true;
        CHECK(holds_soon(is_certain));
    }
    SECTION("and not when another node has taken over")
    {
        state.epoch = 2;
        state.watch_answers = true;
        std::this_thread::sleep_for(milliseconds(600));
        CHECK_FALSE(is_certain());
    }
}

TEST_CASE("a node whose first join got no answer becomes certain all the same")
{
    lapsing_store::shared state;
    state.lost_answers = 2;
    const membership members({.self = self},
                             [&state] { return std::make_unique<lapsing_store>(state); });
    const auto end = now() + std::chrono::seconds(3);
    while (!members.is_certain_owner({}, 1) && now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK(members.is_certain_owner({}, 1));
}

TEST_CASE("a member's record with an odd value is rejected")
{
    CHECK(read_member(write_member(self)).address == self.address);
    for (
        const auto* text :
        {R"({"name":"a","incarnation":"i","address":"10.0.0.1","port":70000})",
         R"({"name":"a","incarnation":"i","address":"10.0.0.1","port":1e30})",
         R"({"name":"a","incarnation":"i","address":"10.0.0.1","port":-1})",
         R"({"name":"a","incarnation":"i","address":"10.0.0.1","port":1,"processor_share":1e300})",
         R"({"name":"a","incarnation":"i","address":"10.0.0.1","port":1,"processor_share":"1"})"}) {
        INFO(text);
        CHECK_THROWS_AS(read_member(text), parse_error);
    }
}

TEST_CASE("odd records among the members' do not end the process")
{
    const membership members({.self = self}, [] { return std::make_unique<shared_list>(); });
    const auto end = now() + std::chrono::seconds(2);
    while (!members.has_joined() && now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    const auto view = members.view({});
    CHECK(view.members.size() == 1);
    CHECK(view.members.contains("node1"));
}

namespace {

/// A store with two members and the owners of the three shards of a cell, of whom one is no member.
class owners_store final : public commit_only_store {
public:
    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        const member other{.name = "node2", .incarnation = "i2", .address = {"10.0.0.2", 7720}};
        auto owner = other;
        owner.address.port = 7721;
        const member gone{.name = "node3", .incarnation = "i3", .address = {"10.0.0.3", 7722}};
        return {.records = {{prefix + "node/node1", write_member(self), 1},
                            {prefix + "node/node2", write_member(other), 2},
                            {prefix + "owner/1", write_owner({.epoch = 4, .owner = owner}), 3},
                            {prefix + "owner/2", write_owner({.epoch = 9, .owner = gone}), 5}},
                .revision = 7};
    }
    shared_result commit(const shared_transaction& /*changes*/, milliseconds /*timeout*/) override
    {
        return {.applied = true, .revision = 8};
    }
    shared_changes watch(const std::string& /*prefix*/, std::uint64_t revision,
                         watch_times /*times*/) override
    {
        return {.revision = revision, .records = {}};
    }
};

} // namespace

TEST_CASE("one membership shows the owners of all shards of a cell")
{
    std::atomic<int> changes{0};
    membership members({.self = self}, [] { return std::make_unique<owners_store>(); });
    const auto listener = members.add_listener([&changes] { ++changes; });
    const auto end = now() + std::chrono::seconds(2);
    while (!members.has_joined() && now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    const auto shard = [](std::size_t index) { return shard_identity{.index = index, .count = 3}; };

    SECTION("each shard has its own owner, and members are reached at the shard's port")
    {
        CHECK_FALSE(members.view(shard(0)).owner);
        CHECK_FALSE(members.live_owner(shard(0)));
        const auto view = members.view(shard(1));
        REQUIRE(view.owner);
        CHECK(view.owner->epoch == 4);
        CHECK(view.owner_revision == 3);
        CHECK(view.members.at("node2").address.port == 7721);
        REQUIRE(members.live_owner(shard(1)));
        CHECK(members.live_owner(shard(1))->owner.address.port == 7721);
        CHECK(members.self(shard(2)).address.port == 7722);
        CHECK(members.owner_key(shard(2)) == "fs/m/owner/2");
        CHECK(members.owner_key({}) == "fs/m/owner");
    }
    SECTION("an owner that is no member is not live")
    {
        CHECK(members.view(shard(2)).owner);
        CHECK_FALSE(members.live_owner(shard(2)));
    }
    SECTION("a listener that was removed is not called any more")
    {
        members.remove_listener(listener);
        const int before = changes;
        std::this_thread::sleep_for(milliseconds(50));
        CHECK(changes == before);
    }
}

namespace {

/// A store whose list contains the records that the test sets, as do the answers of its watch.
class set_list_store final : public commit_only_store {
public:
    set_list_store(std::vector<shared_record> records, std::atomic<int>& watches)
        : records_(std::move(records)), watches_(watches)
    {
    }

    shared_page list(const std::string& /*prefix*/, const std::string& /*after*/) override
    {
        return {.records = records_, .revision = 7};
    }
    shared_result commit(const shared_transaction& /*changes*/, milliseconds /*timeout*/) override
    {
        return {.applied = true, .revision = 8};
    }
    shared_changes watch(const std::string& /*prefix*/, std::uint64_t revision,
                         watch_times /*times*/) override
    {
        ++watches_;
        return {.revision = revision, .records = records_};
    }

private:
    std::vector<shared_record> records_;
    std::atomic<int>& watches_;
};

/// Returns what a member reports of its earlier process when the store has the records.
std::vector<std::string> reports_of_earlier_process(const std::vector<shared_record>& records)
{
    std::atomic<int> watches{0};
    std::vector<std::string> reports;
    {
        const auto report = [&reports](const log_event& event) {
            if (event.event == "earlier_process") {
                reports.push_back(event.detail);
            }
        };
        const membership members({.self = self, .report = report}, [&records, &watches] {
            return std::make_unique<set_list_store>(records, watches);
        });
        const auto end = now() + std::chrono::seconds(3);
        while (watches < 3 && now() < end) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    CHECK(watches >= 3);
    return reports;
}

} // namespace

TEST_CASE("a member reports an earlier process of its name that ended without leaving")
{
    auto earlier = self;
    earlier.incarnation = "i0";
    auto other = earlier;
    other.name = "node2";
    const shared_record member_of_other{.key = "fs/m/node/node2", .value = write_member(other)};

    SECTION("the earlier process is still a member and the owner of a shard")
    {
        const auto reports = reports_of_earlier_process(
            {member_of_other,
             {.key = "fs/m/node/node1", .value = write_member(earlier)},
             {.key = "fs/m/owner/0", .value = write_owner({.epoch = 3, .owner = other})},
             {.key = "fs/m/owner/1", .value = write_owner({.epoch = 4, .owner = earlier})}});
        REQUIRE(reports.size() == 2);
        CHECK(reports[0] == "i0 is still a member");
        CHECK(reports[1] == "i0 is recorded as the owner in fs/m/owner/1 with epoch 4");
    }
    SECTION("the lease of the earlier process has ended, and nobody has taken over from it")
    {
        const auto reports = reports_of_earlier_process(
            {{.key = "fs/m/owner", .value = write_owner({.epoch = 3, .owner = earlier})}});
        REQUIRE(reports.size() == 1);
        CHECK(reports[0] == "i0 is recorded as the owner in fs/m/owner with epoch 3");
    }
    SECTION("nothing is known of an earlier process")
    {
        CHECK(reports_of_earlier_process({}).empty());
        CHECK(reports_of_earlier_process(
                  {member_of_other,
                   {.key = "fs/m/node/node1", .value = write_member(self)},
                   {.key = "fs/m/owner", .value = write_owner({.epoch = 3, .owner = self})}})
                  .empty());
        CHECK(reports_of_earlier_process(
                  {{.key = "fs/m/owner", .value = write_owner({.epoch = 3, .owner = {}})}})
                  .empty());
    }
}

namespace {

/// A store of which single calls fail with an exception of the standard library.
class failing_store final : public commit_only_store {
public:
    struct shared {
        std::atomic<bool> fails_renewal{false}; ///< The next renewal fails.
        std::atomic<bool> fails_watch{false};   ///< The next watch fails.
        std::atomic<int> renewals{0};
        std::atomic<int> watches{0};
        std::atomic<int> ended_leases{0};
        std::atomic<std::uint64_t> epoch{1};
    };

    explicit failing_store(shared& state) : state_(state) {}

    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        return {.records = {{.key = prefix + "node/node1", .value = write_member(self)},
                            {.key = prefix + "owner",
                             .value = write_owner({.epoch = state_.epoch, .owner = self})}},
                .revision = 7};
    }
    shared_result commit(const shared_transaction& /*changes*/, milliseconds /*timeout*/) override
    {
        return {.applied = true, .revision = 8};
    }
    bool renew_lease(std::uint64_t /*lease*/) override
    {
        if (state_.fails_renewal.exchange(false)) {
            throw std::out_of_range("no such lease");
        }
        ++state_.renewals;
        return true;
    }
    shared_changes watch(const std::string& prefix, std::uint64_t revision,
                         watch_times /*times*/) override
    {
        if (state_.fails_watch.exchange(false)) {
            throw std::out_of_range("no such record");
        }
        ++state_.watches;
        return {.revision = revision, .records = {{.key = prefix + "node/", .value = "{}"}}};
    }
    void end_lease(std::uint64_t /*lease*/) override { ++state_.ended_leases; }

private:
    shared& state_;
};

template <typename Condition> bool holds_soon(const Condition& condition)
{
    const auto end = now() + std::chrono::seconds(3);
    while (!condition() && now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

shared_store_factory stores_of(failing_store::shared& state)
{
    return [&state] { return std::make_unique<failing_store>(state); };
}

} // namespace

TEST_CASE("a node renews its lease after an exception that is no error of the store")
{
    failing_store::shared state;
    const membership members({.self = self}, stores_of(state));
    REQUIRE(holds_soon([&] { return state.renewals > 0; }));
    state.fails_renewal = true;
    REQUIRE(holds_soon([&] { return !state.fails_renewal; }));
    const int renewals = state.renewals;
    CHECK(holds_soon([&] { return state.renewals > renewals; }));
    CHECK(holds_soon([&] { return members.has_valid_lease(); }));
}

TEST_CASE("a node reads the members again after an exception that is no error of the store")
{
    failing_store::shared state;
    const membership members({.self = self}, stores_of(state));
    REQUIRE(holds_soon([&] { return members.is_certain_owner({}, 1); }));
    state.epoch = 2; // Seen only when all records are read.
    state.fails_watch = true;
    CHECK(holds_soon([&] { return !members.is_certain_owner({}, 1); }));
    CHECK(holds_soon([&] { return members.is_certain_owner({}, 2); }));
}

TEST_CASE("a listener that fails ends neither the watch of the members nor the other listeners")
{
    failing_store::shared state;
    membership members({.self = self}, stores_of(state));
    std::atomic<int> heard{0};
    members.add_listener([] { throw std::out_of_range("no such member"); });
    members.add_listener([&heard] { ++heard; });
    CHECK(holds_soon([&] { return heard > 2; }));
}

TEST_CASE("a membership without a thread for its watch ends its lease, and not the process")
{
    failing_store::shared state;
    for (const std::size_t threads : {0U, 1U}) {
        const thread_limit limit(threads);
        CHECK_THROWS_AS((membership({.self = self}, stores_of(state))), resource_error);
    }
    const membership members({.self = self}, stores_of(state));
    CHECK(holds_soon([&] { return members.has_joined(); }));
}
