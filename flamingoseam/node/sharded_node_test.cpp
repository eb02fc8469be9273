#include "flamingoseam/node/sharded_node.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/blocking_channel.hpp"
#include "tests/commit_only_store.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <mutex>
#include <stdexcept>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

endpoint own_address()
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127.79." + std::to_string(process / 250 % 250) + "." +
                std::to_string(process % 250 + 1),
            7302};
}

/// The records of a cell of one shard. Thread-safe.
class cell_records {
public:
    cell_records() { put("fs/layout", R"({"shards":1})"); }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        records_[key] = {.key = key, .value = value, .revision = ++revision_};
    }

    shared_result commit(const shared_transaction& changes)
    {
        const std::lock_guard lock(mutex_);
        shared_result result;
        for (const auto& condition : changes.conditions) {
            auto current = records_[condition.key];
            if (current.revision != condition.revision) {
                current.key = condition.key;
                result.conflicting.push_back(current);
            }
        }
        if (!result.conflicting.empty()) {
            return result;
        }
        ++revision_;
        for (const auto& write : changes.writes) {
            records_[write.key] = {.key = write.key, .value = write.value, .revision = revision_};
        }
        for (const auto& key : changes.removals) {
            records_[key] = {.key = key, .revision = revision_, .removed = true};
        }
        return {.applied = true, .revision = revision_};
    }

    shared_page read(const std::string& prefix, std::uint64_t after) const
    {
        const std::lock_guard lock(mutex_);
        shared_page page{.revision = revision_};
        for (const auto& [key, record] : records_) {
            if (key.starts_with(prefix) && record.revision > after) {
                page.records.push_back(record);
            }
        }
        return page;
    }

    std::atomic<bool> hides_owner{false}; ///< Watches don't show changes of the owner's record.

private:
    mutable std::mutex mutex_;
    std::map<std::string, shared_record> records_;
    std::uint64_t revision_ = 0;
};

class cell_store final : public commit_only_store {
public:
    explicit cell_store(cell_records& records) : records_(records) {}

    std::optional<shared_record> get(const std::string& key) override
    {
        for (const auto& record : list(key, "").records) {
            if (record.key == key) {
                return record;
            }
        }
        return std::nullopt;
    }
    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        auto page = records_.read(prefix, 0);
        std::erase_if(page.records, &shared_record::removed);
        return page;
    }
    shared_result commit(const shared_transaction& changes, milliseconds /*timeout*/) override
    {
        return records_.commit(changes);
    }
    shared_changes watch(const std::string& prefix, std::uint64_t revision,
                         watch_times /*times*/) override
    {
        std::this_thread::sleep_for(milliseconds(10));
        auto page = records_.read(prefix, revision);
        std::erase_if(page.records, [this](const shared_record& record) {
            return records_.hides_owner && record.key == "fs/m/owner";
        });
        return {.revision = page.revision, .records = std::move(page.records)};
    }

private:
    cell_records& records_;
};

/// Lists one worker.
class one_worker_directory final : public worker_directory {
public:
    std::optional<std::vector<workflow::worker_entry>> next() override
    {
        return std::exchange(list_, std::nullopt);
    }
    [[nodiscard]] time_point confirmed_at() const override { return now(); }

private:
    std::optional<std::vector<workflow::worker_entry>> list_{
        {{.id = "w1", .service = "s", .address = {"127.0.0.1", 1}, .capacity = {1'000, 1'000}}}};
};

/// The only worker. Answers polls late.
struct late_worker {
    std::atomic<int> connections{0};
    std::atomic<std::uint64_t> newest_epoch{0}; ///< Of the polls.
    std::atomic<std::uint64_t> fenced_epoch{0}; ///< Polls of this owner are answered as fenced.
    std::atomic<int> fenced_answers{0};
};

class late_worker_channel final : public tests::blocking_channel {
public:
    explicit late_worker_channel(late_worker& worker) : worker_(worker) { ++worker_.connections; }
    ~late_worker_channel() override { --worker_.connections; }
    late_worker_channel(const late_worker_channel&) = delete;
    late_worker_channel& operator=(const late_worker_channel&) = delete;

    order_answer start(const start_call& /*call*/, milliseconds /*timeout*/) override { return {}; }
    order_answer stop(const workflow::run_name& /*name*/, std::uint64_t /*epoch*/,
                      milliseconds /*timeout*/) override
    {
        return {};
    }
    renew_answer renew(const renew_call& call, milliseconds /*timeout*/) override
    {
        const auto epoch = call.epoch / tokens_per_epoch;
        worker_.newest_epoch = std::max(worker_.newest_epoch.load(), epoch);
        std::this_thread::sleep_for(milliseconds(700));
        if (epoch == worker_.fenced_epoch) {
            ++worker_.fenced_answers;
            return {.outcome = renew_answer::kind::fenced};
        }
        return {.clock = worker_time(1'000)};
    }

private:
    late_worker& worker_;
};

/// A socket that listens at an address, as that of an earlier process which has not ended yet.
class listening_socket {
public:
    explicit listening_socket(const endpoint& server) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        REQUIRE(::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr) == 1);
        REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(::listen(socket_, 1) == 0);
    }
    ~listening_socket() { ::close(socket_); }
    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;

private:
    int socket_;
};

/// Counts how often the configuration of the queues is read from the store.
class counted_queues final : public queue_configuration_source {
public:
    explicit counted_queues(bool fails_to_read) : fails(fails_to_read) {}

    [[nodiscard]] std::optional<workflow::queue_configuration>
    queues_after(std::int64_t /*version*/) const override
    {
        asked_before_refresh = asked_before_refresh || refreshes == 0;
        return std::nullopt;
    }
    void refresh() override
    {
        ++refreshes;
        if (fails) {
            throw transport_error(304, "no answer", true);
        }
    }

    const bool fails;
    std::atomic<int> refreshes{0};
    mutable std::atomic<bool> asked_before_refresh{false};
};

/// A node that is the only one of its cell, and thus the owner.
class single_node {
public:
    /// If `failing_event` is set, the log throws an exception the first time that it is written.
    explicit single_node(late_worker& worker, permission_call permission = nullptr,
                         std::string failing_event = "", bool fails_to_read_queues = false)
        : queues(fails_to_read_queues),
          log_({.program = "test",
                .node = "node1",
                .descriptor = output_.descriptor,
                .observer =
                    [this](const log_event& event) {
                        if (event.event == failing_event_ && !has_failed_.exchange(true)) {
                            throw std::out_of_range("no such job");
                        }
                    }}),
          failing_event_(std::move(failing_event)),
          node_({.node = {.name = "node1", .rpc = own_address()}},
                {.stores = [this] { return std::make_unique<cell_store>(records); },
                 .channels = tests::on_own_threads([&worker](const auto& /*entry*/) {
                     return std::make_unique<late_worker_channel>(worker);
                 }),
                 .directory = [] { return std::make_unique<one_worker_directory>(); },
                 .permission = std::move(permission),
                 .queues = &queues,
                 .log = &log_,
                 .metrics = &metrics_})
    {
    }

    void leave()
    {
        const auto time = now();
        node_.leave({.handover_end = time + milliseconds(500),
                     .calls_end = time + std::chrono::seconds(1)});
    }

    cell_records records;
    counted_queues queues;

private:
    /// An open file to which nothing is written.
    struct null_device {
        int descriptor = ::open("/dev/null", O_WRONLY);
        ~null_device() { ::close(descriptor); }
    };

    null_device output_;
    event_log log_;
    const std::string failing_event_;
    std::atomic<bool> has_failed_{false};
    node_metrics metrics_;
    sharded_node node_;
};

template <typename Condition> bool holds_within(milliseconds limit, const Condition& condition)
{
    const auto end = now() + limit;
    while (now() < end && !condition()) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return condition();
}

/// Checks whether the node answers other nodes within a time.
bool answers_within(coordinator_client& client, milliseconds limit)
{
    return holds_within(limit, [&client] {
        try {
            client.confirms_owner_gone(own_address(), 1, milliseconds(200));
            return true;
        } catch (const transport_error&) {
            return false;
        }
    });
}

const workflow::permission_request request{.job = "5c0e7a21d94b36f8", .workers = {"w1"}};

} // namespace

TEST_CASE("a node whose address another process still holds serves once it is free")
{
    auto earlier = std::make_unique<listening_socket>(own_address());
    late_worker worker;
    const single_node node(worker);
    std::this_thread::sleep_for(milliseconds(300));
    earlier.reset();
    coordinator_client client;
    CHECK(answers_within(client, std::chrono::seconds(3)));
}

TEST_CASE("a node without a permission service refuses other nodes' calls to it")
{
    late_worker worker;
    const single_node node(worker);
    coordinator_client client;
    REQUIRE(answers_within(client, std::chrono::seconds(3)));
    CHECK_FALSE(client.ask_permission(own_address(), request, milliseconds(500)));
    CHECK(answers_within(client, milliseconds(500)));
}

TEST_CASE("a node that ends waits for its calls to the permission service")
{
    std::atomic<int> running{0};
    late_worker worker;
    auto node = std::make_unique<single_node>(worker, [&running](const auto& /*request*/) {
        ++running;
        std::this_thread::sleep_for(milliseconds(300));
        --running;
        return permission_answer{};
    });
    coordinator_client client;
    REQUIRE(answers_within(client, std::chrono::seconds(3)));
    CHECK_THROWS_AS(client.ask_permission(own_address(), request, milliseconds(50)),
                    transport_error);
    CHECK(running == 1);
    node.reset();
    CHECK(running == 0);
}

TEST_CASE("an owner decides only after its node has read the newest configuration of the queues")
{
    late_worker worker;
    const single_node node(worker);
    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch > 0; }));
    CHECK(node.queues.refreshes == 1);
    CHECK_FALSE(node.queues.asked_before_refresh);
}

TEST_CASE("a node that can't read the configuration of the queues serves all the same")
{
    late_worker worker;
    const single_node node(worker, nullptr, "", true);
    CHECK(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch > 0; }));
    CHECK(node.queues.refreshes == 1);
}

TEST_CASE("a node that ends waits for the threads of its owner")
{
    late_worker worker;
    auto node = std::make_unique<single_node>(worker);
    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch > 0; }));
    node.reset();
    CHECK(worker.connections == 0);
}

TEST_CASE("what an earlier owner hears last does not end the next owner of the same process")
{
    late_worker worker;
    single_node node(worker);
    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch == 1; }));
    worker.fenced_epoch = 1;
    const member gone{.name = "node2", .incarnation = "i2", .address = {"127.0.0.1", 1}};
    node.records.put("fs/m/owner", write_owner({.epoch = 2, .owner = gone}));
    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch == 3; }));

    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.fenced_answers > 0; }));
    std::this_thread::sleep_for(milliseconds(1'000));
    CHECK(worker.newest_epoch == 3);
}

TEST_CASE("a node that can't begin its ownership gives it up, and does not end")
{
    late_worker worker;
    single_node node(worker, nullptr, "owner_begins");
    cell_store store(node.records);
    REQUIRE(holds_within(std::chrono::seconds(4), [&] {
        const auto owner = store.get("fs/m/owner");
        return owner && read_owner(owner->value).owner.name.empty();
    }));
    // No other node takes over, so it does when it has left that to others for a while.
    CHECK(holds_within(std::chrono::seconds(6), [&] { return worker.newest_epoch == 2; }));
}

// Guards against an ownership that a strong node took from a weaker one, and lost, again and again.
TEST_CASE("a node whose owner has failed does not replace a weaker one that serves")
{
    late_worker worker;
    single_node node(worker, nullptr, "owner_begins");
    cell_store store(node.records);
    REQUIRE(holds_within(std::chrono::seconds(4), [&] {
        const auto owner = store.get("fs/m/owner");
        return owner && read_owner(owner->value).owner.name.empty();
    }));
    const member weaker{
        .name = "node2", .incarnation = "i2", .address = {"127.0.0.1", 1}, .processor_share = 0.5};
    node.records.put("fs/m/node/node2", write_member(weaker));
    node.records.put("fs/m/owner", write_owner({.epoch = 2, .owner = weaker}));
    CHECK_FALSE(holds_within(std::chrono::seconds(6), [&] { return worker.newest_epoch > 0; }));
}

TEST_CASE("a node forms its shards after an exception that is no error of the store")
{
    late_worker worker;
    const single_node node(worker, nullptr, "layout_known");
    coordinator_client client;
    CHECK(answers_within(client, std::chrono::seconds(3)));
}

TEST_CASE("a node leaves its shards one after the other if there is no thread for each")
{
    late_worker worker;
    single_node node(worker);
    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch == 1; }));
    {
        const thread_limit limit(0);
        node.leave();
    }
    cell_store store(node.records);
    const auto owner = store.get("fs/m/owner");
    REQUIRE(owner);
    CHECK(read_owner(owner->value).owner.name.empty());
}

TEST_CASE("an owner that is told of its successor stops, and its node goes on to tell so")
{
    late_worker worker;
    const single_node node(worker);
    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch == 1; }));
    coordinator_client client;
    const auto has_stopped = [&client](std::uint64_t epoch) {
        return client.stop_owner(own_address(), epoch, std::chrono::seconds(1)).has_stopped;
    };
    CHECK_FALSE(has_stopped(7)); // That was no owner of this process.
    CHECK(has_stopped(1));
    // No other node has taken over in fact, so this one does.
    REQUIRE(holds_within(std::chrono::seconds(4), [&] { return worker.newest_epoch == 2; }));
    CHECK(has_stopped(1));
}

// Guards against a second run of a task: two owners with one epoch in one process took each other's
// transactions for their own, so that ends were acknowledged that were not stored.
TEST_CASE("a node that has replaced a weaker owner does not begin the same ownership again")
{
    late_worker worker;
    single_node node(worker);
    REQUIRE(holds_within(std::chrono::seconds(3), [&] { return worker.newest_epoch == 1; }));
    const member weaker{
        .name = "node2", .incarnation = "i2", .address = {"127.0.0.1", 1}, .processor_share = 0.1};
    node.records.put("fs/m/node/node2", write_member(weaker));
    node.records.put("fs/m/owner", write_owner({.epoch = 2, .owner = weaker}));
    std::this_thread::sleep_for(milliseconds(1'000)); // The node sees the weaker owner.
    node.records.hides_owner = true;
    REQUIRE(holds_within(std::chrono::seconds(5), [&] { return worker.newest_epoch == 3; }));

    const member other{
        .name = "node3", .incarnation = "i3", .address = {"127.0.0.1", 1}, .processor_share = 0.1};
    node.records.put("fs/m/node/node3", write_member(other)); // The node looks at its old view.
    std::this_thread::sleep_for(milliseconds(1'500));
    CHECK(node.queues.refreshes == 2); // That is once for each ownership that it has begun.
}
