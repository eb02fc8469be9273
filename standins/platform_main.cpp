/// A stand-in for the users' platform in one process: its key-value service, its workers and its
/// permission service, with a configuration of one queue, whose service can be changed with
/// /standin/route?service=NAME. A worker announces that it leaves when a test calls
/// /standin/leave?number=N. The store can be served at several addresses, one for each node, at
/// which the workers have addresses of their own.
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/log/log.hpp"
#include "standins/platform_store.hpp"
#include "standins/platform_ticket.hpp"
#include "standins/platform_worker.hpp"
#include "standins/store_view.hpp"

#include <gflags/gflags.h>
#include <sodium.h>

#include <atomic>

DEFINE_string(address, "127.0.0.1", "IP address of the store and of the permission service");
DEFINE_string(worker_addresses, "", "IP addresses of the workers, separated by commas");
DEFINE_string(
    views, "",
    "ADDRESS=PREFIX[+PREFIX],...: serves the store also at each ADDRESS, where the addresses "
    "of workers have the first PREFIX in place of --worker_prefix, and those of nodes the "
    "second one in place of --node_prefix");
DEFINE_string(worker_prefix, "", "prefix of the workers' registered addresses");
DEFINE_string(node_prefix, "", "prefix of the addresses at which nodes call each other");
DEFINE_int32(port, 7100, "TCP port of the store, the permission service and the workers");
DEFINE_int32(drain_ms, 2'000, "time for which a leaving worker may be given work, in milliseconds");
DEFINE_int32(processors, 16, "processors of each worker");
DEFINE_uint32(watches, 48, "watches that may wait at each address of the store");
DEFINE_uint32(refused_percent, 0,
              "share of workers for which the permission service refuses a step, in percent");

namespace flamingoseam::standin {

namespace {

using nlohmann::json;

constexpr unsigned worker_threads = 12; ///< Of each worker, for orders and for long polls.

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

/// Answers a request to the permission service: grants permission for every worker in it that isn't
/// among those that are refused for the step.
http_response advise(const http_request& request)
{
    json allowed = json::array();
    const auto body = json::parse(request.body);
    const auto step = body.at("step").get<std::string>();
    for (const auto& worker : body.at("workers")) {
        const auto id = worker.get<std::string>();
        if (!is_refused(step, id, FLAGS_refused_percent)) {
            allowed.push_back(json::array({id, write_ticket({step, id, wall_now()})}));
        }
    }
    return {.body = json{{"allowed", allowed}}.dump()};
}

json configuration(int version, const std::string& service)
{
    const json route = {{"name", "queue"},
                        {"host", ""},
                        {"prefix", "/jobs/"},
                        {"service", service},
                        {"targetCompletionMs", 500},
                        {"maxAttempts", 3},
                        {"stretch", 2.0},
                        {"advice", {{"decisionMs", 1.0}, {"periodMs", 0.1}, {"validityMs", 2000}}}};
    return {{"version", version}, {"routes", json::array({route})}, {"services", json::array()}};
}

std::string worker_id(std::size_t index)
{
    return "w" + std::to_string(index + 1);
}

/// Returns the record of a worker in the list of servers.
json server_record(const std::string& address, std::size_t number, const char* state)
{
    return {{"service", "service"},
            {"address", address + ":" + std::to_string(FLAGS_port)},
            {"zone", "zone"},
            {"state", state},
            {"capacity", {{"cpu", FLAGS_processors * 1000}, {"memMb", 32'000}, {"gpu", 0}}},
            {"labels", {"a", "r" + std::to_string(number % 2)}}};
}

std::vector<seen_prefix> read_prefixes(const std::string& text)
{
    const auto separator = text.find('+');
    std::vector<seen_prefix> prefixes = {{FLAGS_worker_prefix, text.substr(0, separator)}};
    if (separator != std::string::npos) {
        prefixes.push_back({FLAGS_node_prefix, text.substr(separator + 1)});
    }
    return prefixes;
}

std::unique_ptr<http_server> serve_view(platform_store& store, const std::string& definition)
{
    const auto separator = definition.find('=');
    auto view =
        std::make_shared<store_view>(store, read_prefixes(definition.substr(separator + 1)));
    return std::make_unique<http_server>(
        http_server_options{.address = definition.substr(0, separator),
                            .port = static_cast<unsigned short>(FLAGS_port),
                            .max_threads = store_threads(FLAGS_watches)},
        [view = std::move(view)](const http_request& request) {
            return view->handle(request).value_or(http_response{.status = 404, .body = "{}"});
        });
}

void serve(const sigset_t& signals)
{
    platform_store store;
    run_ledger ledger;
    std::vector<std::unique_ptr<platform_worker>> workers;
    std::vector<std::unique_ptr<http_server>> servers;
    const auto port = static_cast<unsigned short>(FLAGS_port);
    const auto addresses = split(FLAGS_worker_addresses);
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        const auto& address = addresses[index];
        const auto id = worker_id(index);
        workers.push_back(
            std::make_unique<platform_worker>(id, milliseconds(FLAGS_drain_ms), ledger));
        servers.push_back(std::make_unique<http_server>(
            http_server_options{.address = address,
                                .port = port,
                                .max_threads = worker_threads,
                                .kept_headers = {"X-Expect-Instance"}},
            [worker = workers.back().get()](const http_request& request) {
                return worker->handle(request);
            }));
        store.put("servers/" + id, server_record(address, index, "ready").dump());
    }
    const auto announce_leaving = [&](const http_request& request) {
        const auto index = std::stoul(request.query_or("number", "1")) - 1;
        const auto record = server_record(addresses.at(index), index, "draining");
        store.put("servers/" + worker_id(index), record.dump());
        workers.at(index)->begin_leaving();
        return http_response{.body = "{}"};
    };
    std::atomic<int> version{1};
    const auto set_service = [&](const std::string& service) {
        store.put("op/config", configuration(version++, service).dump());
        return http_response{.body = "{}"};
    };
    set_service("service");
    for (const auto& definition : split(FLAGS_views)) {
        servers.push_back(serve_view(store, definition));
    }
    const http_server platform(
        {.address = FLAGS_address, .port = port, .max_threads = store_threads(FLAGS_watches)},
        [&](const http_request& request) {
            if (request.path == "/api/advise") {
                return advise(request);
            }
            if (request.path == "/standin/ledger") {
                return http_response{.body = ledger.to_json().dump()};
            }
            if (request.path == "/standin/route") {
                return set_service(request.query_or("service", "service"));
            }
            if (request.path == "/standin/leave") {
                return announce_leaving(request);
            }
            return store.handle(request).value_or(http_response{.status = 404, .body = "{}"});
        });
    wait_for_shutdown_signal(signals);
    store.release_cut_watches();
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
