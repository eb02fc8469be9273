#include "flamingoseam/scheduler/scheduler.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/store/cell_records.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

using namespace flamingoseam;

namespace {

scheduler_settings single_scheduler()
{
    const auto process = static_cast<unsigned>(getpid());
    const auto address =
        "127.83." + std::to_string(process / 250 % 250) + "." + std::to_string(process % 250 + 1);
    return {.address = address,
            .zone = "z",
            .store = {address, 1},
            .vm_list = {address, 1},
            .drain_timeout = milliseconds(500),
            .cell = {.shards = {{.id = "s1", .zone = "z", .racks = {"r1"}}},
                     .capacity = {1'000, 1'000}}};
}

/// The records of a store. The next call that is named fails with an unforeseen exception.
struct store_contents {
    std::mutex mutex;
    std::map<std::string, store_record> records;
    std::uint64_t revision = 0;
    std::string failing_call;

    void fail_once_in(const std::string& call)
    {
        const std::lock_guard lock(mutex);
        if (failing_call == call) {
            failing_call.clear();
            throw std::out_of_range("no such header");
        }
    }

    store_events changes_after(const std::string& prefix, std::uint64_t after)
    {
        const std::lock_guard lock(mutex);
        store_events events{.revision = revision, .records = {}};
        for (const auto& [key, record] : records) {
            if (key.starts_with(prefix) && record.revision > after) {
                events.records.push_back(record);
            }
        }
        return events;
    }
};

class config_store_in_memory final : public config_store {
public:
    explicit config_store_in_memory(store_contents& contents) : contents_(contents) {}

    std::optional<store_record> get(const std::string& key) override
    {
        const std::lock_guard lock(contents_.mutex);
        const auto found = contents_.records.find(key);
        return found == contents_.records.end() ? std::nullopt : std::optional(found->second);
    }
    store_events list(const std::string& prefix) override
    {
        contents_.fail_once_in("list");
        return contents_.changes_after(prefix, 0);
    }
    swap_result compare_and_swap(const swap_request& request) override
    {
        contents_.fail_once_in(request.key.starts_with(journal_prefix) ? "journal" : "swap");
        const std::lock_guard lock(contents_.mutex);
        auto& record = contents_.records[request.key];
        if (record.version != request.expected_version) {
            return {.swapped = false, .current = record};
        }
        record = {.key = request.key,
                  .value = request.value,
                  .version = request.expected_version + 1,
                  .revision = ++contents_.revision};
        return {.swapped = true, .current = record};
    }
    std::string keep_alive(const std::string& /*id*/, milliseconds /*time_to_live*/) override
    {
        contents_.fail_once_in("keep_alive");
        return "lease";
    }
    store_events watch(const std::string& prefix, std::uint64_t revision,
                       milliseconds /*wait*/) override
    {
        contents_.fail_once_in("watch");
        std::this_thread::sleep_for(milliseconds(10));
        return contents_.changes_after(prefix, revision);
    }

private:
    store_contents& contents_;
};

/// A scheduler that runs until it is destroyed.
class running_scheduler {
public:
    explicit running_scheduler(store_contents& contents)
        : scheduler_(single_scheduler(), std::make_unique<config_store_in_memory>(contents)),
          runner_([this] { scheduler_.run(); })
    {
    }
    ~running_scheduler()
    {
        scheduler_.shut_down();
        runner_.join();
    }
    running_scheduler(const running_scheduler&) = delete;
    running_scheduler& operator=(const running_scheduler&) = delete;

    scheduler& get() { return scheduler_; }

private:
    scheduler scheduler_;
    std::thread runner_;
};

template <typename Condition> bool holds_within(milliseconds limit, const Condition& condition)
{
    const auto end = now() + limit;
    while (now() < end && !condition()) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return condition();
}

/// Returns the epoch of the shard's owner, 0 if it has none.
std::uint64_t owner_epoch(store_contents& contents)
{
    const std::lock_guard lock(contents.mutex);
    const auto found = contents.records.find(shard_prefix + "s1");
    return found == contents.records.end()
               ? 0
               : from_json<shard_record>(found->second.value).entry.epoch;
}

/// Returns the reason of the answer to a job for the shard.
std::string submit_job(scheduler& process)
{
    std::promise<outcome> answer;
    process.submit("s1", {.customer = "c", .request_id = "r1"},
                   [&answer](const outcome& result) { answer.set_value(result); });
    return answer.get_future().get().reason;
}

/// Waits until the threads of the operator API have started.
void wait_for_operator_server()
{
    const auto settings = single_scheduler();
    http_client client({settings.address, settings.operator_port});
    CHECK(client.call({.path = "/metrics", .timeout = std::chrono::seconds(2)}).status == 200);
}

} // namespace

TEST_CASE("a scheduler owns its shard after an exception that is no error of the store")
{
    store_contents contents;
    contents.failing_call =
        GENERATE(as<std::string>(), "list", "watch", "keep_alive", "swap", "journal");
    INFO(contents.failing_call);
    running_scheduler process(contents);
    CHECK(holds_within(milliseconds(8'000),
                       [&] { return submit_job(process.get()) != "not_owner"; }));
}

TEST_CASE("a scheduler takes its shards over again after an error in its decisions")
{
    store_contents contents;
    running_scheduler process(contents);
    const auto owns_shard = [&] { return submit_job(process.get()) != "not_owner"; };
    REQUIRE(holds_within(milliseconds(8'000), owns_shard));
    REQUIRE(owner_epoch(contents) == 1);
    process.get().exchange({},
                           [](const auto& /*response*/) { throw std::out_of_range("no shard"); });
    CHECK_FALSE(owns_shard());
    CHECK(holds_within(milliseconds(8'000), owns_shard));
    CHECK(owner_epoch(contents) == 2);
}

TEST_CASE("a scheduler without threads for all its duties ends those that it has started")
{
    for (const std::size_t threads : {0U, 1U, 4U, 7U}) {
        store_contents contents;
        scheduler process(single_scheduler(), std::make_unique<config_store_in_memory>(contents));
        wait_for_operator_server();
        const thread_limit limit(threads);
        CHECK_THROWS_AS(process.run(), resource_error);
    }
}
