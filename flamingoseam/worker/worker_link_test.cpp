#include "flamingoseam/worker/worker_link.hpp"

#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/http/json.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
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
