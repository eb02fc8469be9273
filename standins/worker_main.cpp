/// A stand-in for a worker VM.
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/log.hpp"
#include "standins/worker_model.hpp"

#include <gflags/gflags.h>
#include <sodium.h>

#include <condition_variable>
#include <mutex>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7300, "TCP port to listen on");
DEFINE_int64(processors, 64, "processors");
DEFINE_int64(memory_gb, 128, "memory in gigabytes");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_int64(slots, 8, "maximum number of concurrent tasks");
DEFINE_bool(check_epoch, true, "refuse commands with an older epoch");
DEFINE_bool(check_session, true, "refuse starts from an older session");

namespace {

using namespace flamingoseam;

constexpr milliseconds max_sleep{50};

/// Runs a worker_model on the clock of the process. Thread-safe.
class live_worker {
public:
    explicit live_worker(const standin::worker_options& options)
        : model_(options), thread_([this] { run(); })
    {
    }

    ~live_worker()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_all();
        thread_.join();
    }

    live_worker(const live_worker&) = delete;
    live_worker& operator=(const live_worker&) = delete;

    /// Handles a request to the worker.
    http_response handle(const http_request& request)
    {
        if (request.path == "/v1/command") {
            const auto command = from_json<worker_command>(request.body);
            const std::lock_guard lock(mutex_);
            const auto answer = model_.command(command, now(), wall_now());
            changed_.notify_all();
            return {.body = to_json(answer)};
        }
        if (request.path == "/v1/events") {
            return {.body = to_json(poll(request))};
        }
        const std::lock_guard lock(mutex_);
        if (request.path == "/v1/ledger") {
            return {.body = to_json(model_.ledger())};
        }
        if (request.path == "/v1/counts") {
            return {.body = to_json(model_.counts())};
        }
        if (request.path == "/v1/fault") {
            model_.set_fail_every_task(request.query_or("fail_every_task", "0") == "1");
            return {.body = "{}"};
        }
        return {.status = 404, .body = "{}"};
    }

private:
    event_batch poll(const http_request& request)
    {
        const standin::event_poll poll{
            .epoch = std::stoull(request.query_or("epoch", "0")),
            .session = std::stoull(request.query_or("session", "0")),
            .after = std::stoull(request.query_or("after", "0")),
            .lease = milliseconds(std::stoi(request.query_or("lease_ms", "0"))),
            .answered = std::stoull(request.query_or("answered", "0"))};
        const auto until = now() + milliseconds(std::stoi(request.query_or("wait_ms", "0")));
        std::unique_lock lock(mutex_);
        while (true) {
            auto batch = model_.poll(poll, now(), wall_now());
            if (!batch.accepted || !batch.events.empty() || now() >= until) {
                return batch;
            }
            changed_.wait_until(lock, until);
        }
    }

    void run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            const auto started = model_.counts().started;
            model_.advance(now(), wall_now());
            changed_.notify_all();
            changed_.wait_until(lock, model_.next_due(now() + max_sleep), [this, started] {
                return stopping_ || model_.counts().started > started;
            });
        }
    }

    standin::worker_model model_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for a worker VM");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    const auto signals = flamingoseam::block_shutdown_signals();
    live_worker worker({.incarnation = std::to_string(wall_now().count()) + "-" +
                                       std::to_string(randombytes_random()),
                        .capacity = {.milli_cpus = FLAGS_processors * 1000,
                                     .memory_mb = FLAGS_memory_gb * 1000,
                                     .accelerators = FLAGS_accelerators,
                                     .slots = FLAGS_slots},
                        .check_epoch = FLAGS_check_epoch,
                        .check_session = FLAGS_check_session});
    const http_server server({.address = FLAGS_address,
                              .port = static_cast<unsigned short>(FLAGS_port),
                              .max_threads = 32,
                              .max_body_bytes = 4'000'000},
                             [&worker](const auto& request) { return worker.handle(request); });
    flamingoseam::wait_for_shutdown_signal(signals);
    return 0;
}
