/// A stand-in for a worker VM.
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/log.hpp"
#include "standins/worker_model.hpp"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 7300, "TCP port to listen on");
DEFINE_int64(processors, 64, "processors");
DEFINE_int64(memory_gb, 128, "memory in gigabytes");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_int64(slots, 8, "tasks at one time");
DEFINE_bool(check_epoch, true, "refuse commands of an older epoch");

namespace {

using namespace flamingoseam;

http_response handle(standin::worker_model& model, const http_request& request)
{
    if (request.path == "/v1/command") {
        return {.body = to_json(model.command(from_json<worker_command>(request.body)))};
    }
    if (request.path == "/v1/events") {
        return {.body = to_json(
                    model.poll(std::stoull(request.query_or("epoch", "0")),
                               std::stoull(request.query_or("after", "0")),
                               milliseconds(std::stoi(request.query_or("wait_ms", "0"))),
                               milliseconds(std::stoi(request.query_or("lease_ms", "0")))))};
    }
    if (request.path == "/v1/ledger") {
        return {.body = to_json(model.ledger())};
    }
    if (request.path == "/v1/counts") {
        return {.body = to_json(model.counts())};
    }
    if (request.path == "/v1/fault") {
        model.set_fail_every_task(request.query_or("fail_every_task", "0") == "1");
        return {.body = "{}"};
    }
    return {.status = 404, .body = "{}"};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stands in for a worker VM");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    const auto signals = flamingoseam::block_end_signals();
    standin::worker_model model({.address = FLAGS_address,
                                 .capacity = {.milli_cpus = FLAGS_processors * 1000,
                                              .memory_mb = FLAGS_memory_gb * 1000,
                                              .accelerators = FLAGS_accelerators,
                                              .slots = FLAGS_slots},
                                 .check_epoch = FLAGS_check_epoch});
    const http_server server({.address = FLAGS_address,
                              .port = static_cast<unsigned short>(FLAGS_port),
                              .max_threads = 32,
                              .max_body_bytes = 4'000'000},
                             [&model](const auto& request) { return handle(model, request); });
    flamingoseam::wait_for_end(signals);
    return 0;
}
