#include "flamingoseam/worker/worker_link.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/http/json.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>

using namespace flamingoseam;

namespace {

/// Returns an address that is specific to this process, so that concurrent test runs don't collide.
endpoint worker_address()
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127.77." + std::to_string(process / 250 % 250) + "." +
                std::to_string(process % 250 + 1),
            7300};
}

constexpr milliseconds longer_than_command_timeout{1'500};

/// A worker that executes the first start but responds after the timeout, and refuses every later
/// copy of it.
class late_response_worker {
public:
    explicit late_response_worker(std::string refusal)
        : refusal_(std::move(refusal)),
          server_({.address = worker_address().address, .port = worker_address().port},
                  [this](const http_request& request) { return handle(request); })
    {
    }

    int starts_seen()
    {
        const std::lock_guard lock(mutex_);
        return starts_seen_;
    }

private:
    http_response handle(const http_request& request)
    {
        std::unique_lock lock(mutex_);
        if (request.path != "/v1/command") {
            return {.body = to_json(event_batch{.accepted = true, .incarnation = "A"})};
        }
        const auto command = from_json<worker_command>(request.body);
        command_response response{.accepted = true, .epoch = command.epoch, .incarnation = "A"};
        if (command.starts.empty()) {
            return {.body = to_json(response)};
        }
        if (++starts_seen_ == 1) {
            lock.unlock();
            std::this_thread::sleep_for(longer_than_command_timeout);
            return {.body = to_json(response)};
        }
        response.accepted = refusal_ == "no_capacity";
        response.reason = refusal_;
        response.results.push_back({.task_id = "t1", .started = false, .reason = refusal_});
        return {.body = to_json(response)};
    }

    std::string refusal_;
    std::mutex mutex_;
    int starts_seen_ = 0;
    http_server server_;
};

/// Records the start results and counts the reports that the link delivers.
class start_listener final : public worker_listener {
public:
    void on_report(const std::string& /*address*/, const command_response& /*report*/) override
    {
        const std::lock_guard lock(mutex_);
        ++reports_;
        changed_.notify_all();
    }
    void on_start_result(const std::string& /*address*/, const start_result& result) override
    {
        const std::lock_guard lock(mutex_);
        results_.push_back(result);
        changed_.notify_all();
    }
    void on_event(const std::string& /*address*/, const task_event& /*event*/) override {}
    void on_lost(const std::string& /*address*/) override {}
    void on_stale_epoch(const std::string& /*address*/, std::uint64_t /*newest_epoch*/) override {}

    /// Waits until at least `count` reports have arrived; returns false after 5 seconds.
    bool wait_for_reports(int count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, milliseconds(5'000), [&] { return reports_ >= count; });
    }

    std::vector<start_result> results()
    {
        const std::lock_guard lock(mutex_);
        return results_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int reports_ = 0;
    std::vector<start_result> results_;
};

} // namespace

// After a timeout the link sends a command again. A refusal applies to the newest copy only: an
// earlier copy may have started the task, so the link must request a report and must not pass the
// refusal on as the result of the start.
TEST_CASE("a refused command of which an earlier copy may have been carried out")
{
    const auto refusal =
        GENERATE(as<std::string>(), "other_incarnation", "no_session", "no_capacity");
    late_response_worker worker(refusal);
    start_listener listener;
    http_worker_link link({.worker = worker_address(), .shard = "s", .owner = "o", .epoch = 1},
                          listener);
    REQUIRE(listener.wait_for_reports(1));
    link.resume();
    link.start({.task_id = "t1", .customer = "c", .request_id = "r"});
    REQUIRE(listener.wait_for_reports(2));

    CHECK(worker.starts_seen() >= 2);
    CHECK(listener.results().empty());
}

namespace {

/// A worker that accepts all commands and has an event that is new in each poll. It answers no
/// calls once it is silent.
class answering_worker {
public:
    answering_worker()
        : server_({.address = worker_address().address, .port = worker_address().port},
                  [this](const http_request& request) { return handle(request); })
    {
    }

    std::atomic<bool> silent{false};

private:
    http_response handle(const http_request& request)
    {
        if (silent) {
            return {.status = 500};
        }
        const auto sequence = ++events_;
        if (request.path != "/v1/command") {
            std::this_thread::sleep_for(milliseconds(5));
            return {.body =
                        to_json(event_batch{.accepted = true,
                                            .incarnation = "A",
                                            .events = {{.sequence = sequence, .task_id = "t1"}}})};
        }
        const auto command = from_json<worker_command>(request.body);
        command_response response{.accepted = true, .epoch = command.epoch, .incarnation = "A"};
        for (const auto& task : command.starts) {
            response.results.push_back({.task_id = task.task_id, .started = true});
        }
        return {.body = to_json(response)};
    }

    std::atomic<std::uint64_t> events_{0};
    http_server server_;
};

/// Counts what a link delivers. One of its functions fails at its first call.
class failing_listener final : public worker_listener {
public:
    explicit failing_listener(std::string failing) : failing_(std::move(failing)) {}

    void on_report(const std::string& /*address*/, const command_response& /*report*/) override
    {
        fail_once_in("report");
        ++reports;
    }
    void on_start_result(const std::string& /*address*/, const start_result& /*result*/) override
    {
        fail_once_in("start");
        ++results;
    }
    void on_event(const std::string& /*address*/, const task_event& /*event*/) override
    {
        fail_once_in("event");
        ++events;
    }
    void on_lost(const std::string& /*address*/) override
    {
        fail_once_in("loss");
        ++losses;
    }
    void on_stale_epoch(const std::string& /*address*/, std::uint64_t /*newest_epoch*/) override {}

    std::atomic<int> reports{0};
    std::atomic<int> results{0};
    std::atomic<int> events{0};
    std::atomic<int> losses{0};

private:
    void fail_once_in(const std::string& function)
    {
        if (function == failing_ && !has_failed_.exchange(true)) {
            throw std::out_of_range("no such worker");
        }
    }

    std::string failing_;
    std::atomic<bool> has_failed_{false};
};

template <typename Condition> bool holds_soon(const Condition& condition)
{
    const auto end = now() + std::chrono::seconds(5);
    while (!condition() && now() < end) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

} // namespace

TEST_CASE("a link to a worker goes on with a report after a listener has failed")
{
    answering_worker worker;
    const auto start_link = [](failing_listener& listener) {
        return std::make_unique<http_worker_link>(worker_link_options{.worker = worker_address(),
                                                                      .shard = "s",
                                                                      .owner = "o",
                                                                      .epoch = 1,
                                                                      .lease = milliseconds(800)},
                                                  listener);
    };

    SECTION("with a report")
    {
        failing_listener listener("report");
        const auto link = start_link(listener);
        CHECK(holds_soon([&] { return listener.reports > 0 && listener.events > 0; }));
    }
    SECTION("with the result of a start")
    {
        failing_listener listener("start");
        const auto link = start_link(listener);
        REQUIRE(holds_soon([&] { return listener.reports > 0; }));
        link->resume();
        link->start({.task_id = "t1", .customer = "c", .request_id = "r"});
        CHECK(holds_soon([&] { return listener.reports > 1; }));
        CHECK(listener.results == 0);
        link->resume();
        link->start({.task_id = "t2", .customer = "c", .request_id = "r"});
        CHECK(holds_soon([&] { return listener.results == 1; }));
    }
    SECTION("with an event")
    {
        failing_listener listener("event");
        const auto link = start_link(listener);
        CHECK(holds_soon([&] { return listener.reports > 1 && listener.events > 0; }));
    }
    SECTION("with the loss of the worker")
    {
        failing_listener listener("loss");
        const auto link = start_link(listener);
        REQUIRE(holds_soon([&] { return listener.reports > 0; }));
        worker.silent = true;
        CHECK(holds_soon([&] { return listener.losses == 1; }));
    }
}

TEST_CASE("a link to a worker without a thread for each connection is not created")
{
    failing_listener listener("");
    for (const std::size_t threads : {0U, 1U}) {
        const thread_limit limit(threads);
        CHECK_THROWS_AS(
            (http_worker_link({.worker = worker_address(), .shard = "s", .owner = "o", .epoch = 1},
                              listener)),
            resource_error);
    }
}
