/// A stand-in for the users' platform in one process: its key-value service, its workers and its
/// permission service, with a fixed configuration that has one queue.
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/log/log.hpp"
#include "standins/platform_store.hpp"
#include "standins/platform_worker.hpp"

#include <gflags/gflags.h>
#include <sodium.h>

DEFINE_string(address, "127.0.0.1", "IP address of the store and of the permission service");
DEFINE_string(worker_addresses, "", "IP addresses of the workers, separated by commas");
DEFINE_int32(port, 7100, "TCP port of the store, the permission service and the workers");
DEFINE_int32(processors, 16, "processors of each worker");

namespace flamingoseam::standin {

namespace {

using nlohmann::json;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto comma = std::min(text.find(',', begin), text.size());
        parts.push_back(text.substr(begin, comma - begin));
        begin = comma + 1;
    }
    return parts;
}

/// Answers a request to the permission service: grants permission for every worker in it.
http_response advise(const http_request& request)
{
    json allowed = json::array();
    const auto body = json::parse(request.body);
    for (const auto& worker : body.at("workers")) {
        allowed.push_back(json::array({worker, "ticket"}));
    }
    return {.body = json{{"allowed", allowed}}.dump()};
}

json configuration()
{
    const json route = {{"name", "queue"},
                        {"host", ""},
                        {"prefix", "/jobs/"},
                        {"service", "service"},
                        {"targetCompletionMs", 500},
                        {"maxAttempts", 3},
                        {"stretch", 2.0},
                        {"advice", {{"decisionMs", 1.0}, {"periodMs", 0.1}, {"validityMs", 2000}}}};
    return {{"version", 1}, {"routes", json::array({route})}, {"services", json::array()}};
}

/// Returns the record of a worker in the list of servers.
json server_record(const std::string& address, int number)
{
    return {{"service", "service"},
            {"address", address + ":" + std::to_string(FLAGS_port)},
            {"zone", "zone"},
            {"state", "ready"},
            {"capacity", {{"cpu", FLAGS_processors * 1000}, {"memMb", 32'000}, {"gpu", 0}}},
            {"labels", {"a", "r" + std::to_string(number % 2)}}};
}

void serve(const sigset_t& signals)
{
    platform_store store;
    run_ledger ledger;
    std::vector<std::unique_ptr<platform_worker>> workers;
    std::vector<std::unique_ptr<http_server>> servers;
    const auto port = static_cast<unsigned short>(FLAGS_port);
    int number = 0;
    for (const auto& address : split(FLAGS_worker_addresses)) {
        const auto id = "w" + std::to_string(++number);
        workers.push_back(std::make_unique<platform_worker>(id, ledger));
        servers.push_back(std::make_unique<http_server>(
            http_server_options{
                .address = address, .port = port, .kept_headers = {"X-Expect-Instance"}},
            [worker = workers.back().get()](const http_request& request) {
                return worker->handle(request);
            }));
        store.put("servers/" + id, server_record(address, number).dump());
    }
    store.put("op/config", configuration().dump());
    const http_server platform(
        {.address = FLAGS_address, .port = port}, [&](const http_request& request) {
            if (request.path == "/api/advise") {
                return advise(request);
            }
            if (request.path == "/standin/ledger") {
                return http_response{.body = ledger.to_json().dump()};
            }
            return store.handle(request).value_or(http_response{.status = 404, .body = "{}"});
        });
    wait_for_shutdown_signal(signals);
}

} // namespace

} // namespace flamingoseam::standin

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the users' platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    if (sodium_init() < 0) {
        return 1;
    }
    flamingoseam::standin::serve(flamingoseam::block_shutdown_signals());
    return 0;
}
