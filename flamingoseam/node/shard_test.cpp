#include "flamingoseam/node/candidate_order.hpp"
#include "flamingoseam/node/cell_layout.hpp"
#include "flamingoseam/node/shard.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/commit_only_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace flamingoseam;
using namespace flamingoseam::node;
using namespace std::chrono_literals;

namespace {

std::vector<workflow::worker_entry> make_workers(int count)
{
    std::vector<workflow::worker_entry> workers;
    for (int number = 0; number < count; ++number) {
        workers.push_back({.id = "i-" + std::to_string(number)});
    }
    return workers;
}

/// A list of workers that is returned as changed at each call.
class fixed_directory final : public worker_directory {
public:
    explicit fixed_directory(const int& workers) : workers_(workers) {}
    std::optional<std::vector<workflow::worker_entry>> next() override
    {
        return make_workers(workers_);
    }
    time_point confirmed_at() const override { return time_point(5s); }

private:
    const int& workers_;
};

using stored_records = std::map<std::string, std::string>;

class map_store final : public commit_only_store {
public:
    explicit map_store(stored_records& records) : records_(records) {}
    std::optional<shared_record> get(const std::string& key) override
    {
        const auto found = records_.find(key);
        return found == records_.end()
                   ? std::nullopt
                   : std::optional(shared_record{.key = key, .value = found->second});
    }
    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        shared_page page;
        for (const auto& [key, value] : records_) {
            if (key.starts_with(prefix)) {
                page.records.push_back({.key = key, .value = value});
            }
        }
        return page;
    }
    shared_result commit(const shared_transaction& changes, milliseconds /*timeout*/) override
    {
        if (records_.contains(changes.conditions.at(0).key)) {
            return {.applied = false};
        }
        records_[changes.writes.at(0).key] = changes.writes.at(0).value;
        return {.applied = true};
    }

private:
    stored_records& records_;
};

} // namespace

TEST_CASE("workers and jobs are divided among the shards of a cell")
{
    const int count = 350;
    std::map<std::string, int> owners;
    const auto all = make_workers(count);
    std::vector<worker_assignments> shards;
    for (std::size_t index = 0; index < 2; ++index) {
        shards.emplace_back(shard_identity{.index = index, .count = 2});
        const auto workers = shards.back().select_own(all);
        const double expected = index == 0 ? count * 2 / 3.0 : count / 3.0;
        CHECK(static_cast<double>(workers.size()) > 0.8 * expected);
        CHECK(static_cast<double>(workers.size()) < 1.2 * expected);
        for (const auto& worker : workers) {
            ++owners[worker.id];
            CHECK(shard_of_worker(worker.id, 2) == index);
            CHECK(worker.token_base == 0);
        }
    }
    CHECK(owners.size() == count);
    CHECK(std::ranges::all_of(owners, [](const auto& entry) { return entry.second == 1; }));

    const auto& moved = all.front().id;
    const auto from = shard_of_worker(moved, 2);
    const auto find = [&](std::size_t shard) -> std::optional<workflow::worker_entry> {
        const auto workers = shards[shard].select_own(all);
        const auto found = std::ranges::find(workers, moved, &workflow::worker_entry::id);
        return found == workers.end() ? std::nullopt : std::optional(*found);
    };
    const auto assign = [&](const std::string& record) {
        for (auto& shard : shards) {
            shard.assign(moved, record);
        }
    };

    SECTION("a transferred worker belongs to the shard of its record, with a higher token base")
    {
        assign(workflow::write_assignment({.shard = 1 - from, .token_base = 9}));
        CHECK_FALSE(find(from));
        REQUIRE(find(1 - from));
        CHECK(find(1 - from)->token_base == 9);

        assign(workflow::write_assignment({.shard = from, .token_base = 11}));
        CHECK_FALSE(find(1 - from));
        REQUIRE(find(from));
        CHECK(find(from)->token_base == 11);
    }
    SECTION("a worker whose record can't be read belongs to no shard, the others stay")
    {
        for (const auto* record : {"", "7", R"({"shard":0})", R"({"shard":-1,"token_base":1})",
                                   R"({"shard":0,"token_base":"x"})"}) {
            for (auto& shard : shards) {
                CHECK_THROWS_AS(shard.assign(moved, record), parse_error);
            }
            CHECK_FALSE(find(0));
            CHECK_FALSE(find(1));
            CHECK(shards[0].select_own(all).size() + shards[1].select_own(all).size() == count - 1);
        }
    }
    SECTION("a worker that is assigned to an unknown shard belongs to no shard")
    {
        const auto record = workflow::write_assignment({.shard = 2, .token_base = 9});
        CHECK_THROWS_WITH(shards[0].assign(moved, record),
                          Catch::Contains("shard 2, but the cell has 2 shards"));
        CHECK_FALSE(find(0));
    }
    SECTION("a worker without a record belongs to the shard of its id again")
    {
        assign(workflow::write_assignment({.shard = 1 - from, .token_base = 9}));
        shards[from].remove(moved);
        CHECK(find(from));
    }

    SECTION("a cell of one shard is not divided")
    {
        CHECK(shard_of_worker("a", 1) == 0);
        CHECK(to_text({}).empty());
        CHECK(to_text({.index = 1, .count = 2}) == " of shard 1 of 2");
    }
}

TEST_CASE("the layout of a cell is decided once")
{
    int workers = 350;
    stored_records records;
    const auto agreement = [&] {
        return layout_agreement({.workers_per_shard = 200, .settling_time = 600ms},
                                std::make_unique<map_store>(records),
                                std::make_unique<fixed_directory>(workers));
    };
    const time_point start{1h};
    std::vector<double> shares(8, 0.5);
    auto first = agreement();

    SECTION("by the number of workers, once it has settled")
    {
        CHECK_FALSE(first.try_agree(shares, start));
        workers = 390;
        CHECK_FALSE(first.try_agree(shares, start + 500ms));
        CHECK_FALSE(first.try_agree(shares, start + 1'000ms));
        CHECK(first.try_agree(shares, start + 1'100ms) == 2);
        CHECK(records.at("fs/layout") == R"({"shards":2})");
    }
    SECTION("and not changed when there are more workers later")
    {
        first.try_agree(shares, start);
        REQUIRE(first.try_agree(shares, start + 600ms) == 2);
        workers = 1'000;
        CHECK(agreement().try_agree(shares, start + 1h) == 2);
    }
    SECTION("by the node that stores it first")
    {
        first.try_agree(shares, start);
        records["fs/layout"] = R"({"shards":3})";
        CHECK(first.try_agree(shares, start + 600ms) == 3);
    }
    SECTION("by the processors of the nodes, once their number has settled, if no size is set")
    {
        layout_agreement automatic({}, std::make_unique<map_store>(records),
                                   std::make_unique<fixed_directory>(workers));
        CHECK_FALSE(automatic.try_agree({}, start));
        CHECK_FALSE(automatic.try_agree({}, start + 1h));
        CHECK_FALSE(automatic.try_agree({0.5}, start + 1h));
        CHECK_FALSE(automatic.try_agree(shares, start + 1h + 500ms));
        CHECK(automatic.try_agree(shares, start + 1h + 1'100ms) == 3);
        CHECK(records.at("fs/layout") == R"({"shards":3})");
    }
    SECTION("not before the platform lists any worker")
    {
        workers = 0;
        CHECK_FALSE(first.try_agree(shares, start));
        CHECK_FALSE(first.try_agree(shares, start + 1h));
    }
    SECTION("a cell that was run before layouts were stored is not divided")
    {
        records["fs/head/0"] = "{}";
        CHECK(first.try_agree(shares, start) == 1);
    }
    SECTION("a layout that can't be read is an error")
    {
        records["fs/layout"] = R"({"shards":0})";
        CHECK_THROWS_AS(first.try_agree(shares, start), parse_error);
    }
}

TEST_CASE("a cell has so many shards that their owners can drive the workers")
{
    const auto shards = [](std::size_t workers, std::size_t strong, std::size_t weak) {
        std::vector<double> shares(weak, 0.12);
        shares.insert(shares.end(), strong, 0.5);
        return shards_for(workers, shares, {});
    };
    CHECK(shards(48, 8, 0) == 1);
    CHECK(shards(150, 8, 0) == 1);
    CHECK(shards(151, 8, 0) == 2);
    CHECK(shards(540, 15, 82) == 4);

    SECTION("weak nodes get smaller shards")
    {
        CHECK(shards(36, 0, 22) == 1);
        CHECK(shards(85, 0, 22) == 3);
    }
    SECTION("a few strong nodes are preferred to many weak ones, if they suffice or do more")
    {
        CHECK(shards(300, 2, 90) == 2);
        CHECK(shards(400, 2, 5) == 2);
        CHECK(shards(400, 2, 90) == 12);
    }
    SECTION("there are not more shards than nodes, nor than allowed")
    {
        CHECK(shards(10'000, 3, 0) == 3);
        CHECK(shards_for(10'000, std::vector<double>(90, 0.5), {.max_shards = 16}) == 16);
        CHECK(shards_for(10'000, {}, {}) == 1);
    }
    SECTION("the settings may limit the workers of a shard")
    {
        CHECK(shards_for(350, {0.5}, {.workers_per_shard = 200}) == 2);
        CHECK(shards_for(350, std::vector<double>(9, 0.5), {.workers_per_shard = 1'000}) == 1);
    }
}

TEST_CASE("the owners of the shards of a cell are different nodes")
{
    membership_view view;
    for (const auto* name : {"a", "b", "c", "d", "e", "f"}) {
        view.members[name] = {.name = name, .incarnation = "1", .processor_share = 0.5};
    }
    view.members["weak"] = {.name = "weak", .incarnation = "1", .processor_share = 0.1};
    std::set<std::string> first;
    std::set<std::string> second;
    for (std::uint64_t epoch = 0; epoch < 40; ++epoch) {
        first.insert(candidate_order(view, epoch, {.index = 0, .count = 2}).front().name);
        second.insert(candidate_order(view, epoch, {.index = 1, .count = 2}).front().name);
    }
    CHECK(first == std::set<std::string>{"a", "c", "e"});
    CHECK(second == std::set<std::string>{"b", "d", "f"});

    SECTION("the nodes meant for other shards precede weaker ones")
    {
        const auto order = candidate_order(view, 1, {.index = 1, .count = 2});
        CHECK(order.back().name == "weak");
        CHECK(order[3].processor_share == 0.5);
    }
}

TEST_CASE("jobs with wide gangs have shards of their own")
{
    const auto job = [](const std::string& id, int tasks, bool gang) {
        return workflow::job_spec{
            .id = id, .steps = {{.tasks = 2}, {.tasks = tasks, .after = {0}, .gang = gang}}};
    };
    CHECK(wide_shards(1) == 1);
    CHECK(wide_shards(2) == 1);
    CHECK(wide_shards(4) == 1);
    CHECK(wide_shards(95) == 31);

    for (const std::size_t count : {2, 3, 4, 7}) {
        std::set<std::size_t> used;
        for (int number = 0; number < 200; ++number) {
            const auto id = "job" + std::to_string(number);
            const auto wide = shard_of(job(id, 9, true), count);
            const auto other = shard_of(job(id, 9, false), count);
            CHECK(wide < wide_shards(count));
            CHECK(other >= wide_shards(count));
            CHECK(other < count);
            CHECK(shard_of(job(id, 8, true), count) == other);
            CHECK(possible_shards(id, count) == std::vector<std::size_t>{other, wide});
            used.insert({wide, other});
        }
        CHECK(used.size() == count);
    }
    CHECK(shard_of(job("a", 100, true), 1) == 0);
    CHECK(possible_shards("a", 1) == std::vector<std::size_t>{0});
}

TEST_CASE("each node calls the permission service for one shard, and all shards have such nodes")
{
    const std::size_t count = 4;
    std::vector<int> nodes(count, 0);
    for (std::size_t position = 0; position < 97; ++position) {
        int served = 0;
        for (std::size_t index = 0; index < count; ++index) {
            if (serves_shard(position, {.index = index, .count = count})) {
                ++served;
                ++nodes[index];
            }
        }
        CHECK(served == 1);
    }
    CHECK(nodes == std::vector<int>{39, 20, 19, 19});
    CHECK(serves_shard(5, {}));
}
