/// The program flamingoseamctl: the operators' command-line client. It keeps no state. Except
/// for the commands that work on local input only, every result comes from a scheduler.
#include "flamingoseam/contract/contract.hpp"
#include "flamingoseam/contract/key.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/log/request_trace.hpp"
#include "flamingoseam/scheduler/operator_messages.hpp"
#include "flamingoseam/shard/shard_state.hpp"

#include <gflags/gflags.h>
#include <sodium.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(servers, "",
              "operators' interfaces of schedulers: ADDRESS:PORT, separated by commas");
DEFINE_string(key, "", "operator's key; the environment variable FLAMINGOSEAM_KEY when empty");
DEFINE_string(output, "table", "output format: table for people, json for programs");
DEFINE_string(author, "", "author recorded in the history; the login name when empty");
DEFINE_string(change_id, "", "id of the change; pass the same id to retry an apply safely");
DEFINE_int64(expected_version, -1,
             "apply only if this is the current version; 0 if there must be no contract");
DEFINE_bool(check, false, "with contract apply: only validate the file");
DEFINE_int32(timeout_ms, 10000, "timeout of a request to a scheduler, in milliseconds");

namespace {

using namespace flamingoseam;

/// Exit codes, which are part of the interface for scripts.
enum exit_code {
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_conflict = 3,
    exit_unknown = 4
};

constexpr const char* usage_text =
    "command-line client for the schedulers of a cell\n"
    "usage: flamingoseamctl --servers A:P[,A:P] COMMAND\n"
    "  contract apply FILE       make FILE (TOML) the customer's contract\n"
    "  contract check FILE       validate FILE and print the error, if any\n"
    "  contract get CUSTOMER     the contract in force\n"
    "  contract list             every customer with its version and limits\n"
    "  contract diff FILE        what applying FILE would change\n"
    "  contract history CUSTOMER every version with its author\n"
    "  status                    shards, their owners and reserved resources\n"
    "  workers SHARD             the workers of a shard\n"
    "  drain WORKER              assign a worker no new tasks and move its jobs\n"
    "  cancel CUSTOMER ID        cancel a call or a job\n"
    "  explain CUSTOMER ID       why a call or a job is waiting, or how it ended\n"
    "  hash KEY                  the hash of a key, for key_hashes\n"
    "  trace ID [FILE ...]       the events of a request in nodes' logs or in standard input;\n"
    "                            needs no running cell\n"
    "exit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict with another change,\n"
    "            4 unknown whether it was done";

struct server_response {
    int status = 0;
    std::string body;
};

std::string operator_key()
{
    if (!FLAGS_key.empty()) {
        return FLAGS_key;
    }
    const char* from_environment = std::getenv("FLAMINGOSEAM_KEY");
    return from_environment == nullptr ? "" : from_environment;
}

std::vector<endpoint> parse_servers()
{
    std::vector<endpoint> list;
    std::istringstream in(FLAGS_servers);
    std::string text;
    while (std::getline(in, text, ',')) {
        list.push_back(endpoint_from_string(text));
    }
    if (list.empty()) {
        throw config_error(204, "--servers: at least one ADDRESS:PORT is required");
    }
    return list;
}

/// Sends a request to the servers in turn until `is_final` accepts a response. Returns that
/// response, or else the last one received. When no server responded, the status is 0 and the body
/// is an operator_error.
server_response send_request(const std::string& method, const std::string& path,
                             const std::string& body,
                             const std::function<bool(const server_response&)>& is_final)
{
    server_response last;
    for (const auto& server : parse_servers()) {
        http_client client(server);
        try {
            const auto response = client.call({.method = method,
                                               .path = path,
                                               .body = body,
                                               .authorization = "Bearer " + operator_key(),
                                               .timeout = milliseconds(FLAGS_timeout_ms)});
            last = {.status = response.status, .body = response.body};
            if (is_final(last)) {
                return last;
            }
        } catch (const transport_error& cause) {
            if (last.status == 0) {
                last.body =
                    to_json(operator_error{.reason = "unreachable", .detail = cause.what()});
            }
        }
    }
    return last;
}

bool accept_any(const server_response& /*response*/)
{
    return true;
}

bool is_found(const server_response& response)
{
    return response.status != 404;
}

int print_failure(const server_response& response)
{
    std::cerr << response.body << '\n';
    return response.status == 504 ? exit_unknown : exit_failed;
}

bool is_json_output()
{
    return FLAGS_output == "json";
}

std::string format_resources(const resources& amount)
{
    std::ostringstream out;
    out << static_cast<double>(amount.milli_cpus) / 1000 << " cpu " << amount.memory_mb / 1000
        << " GB " << amount.accelerators << " acc " << amount.slots << " slots";
    return out.str();
}

void print_row(const std::vector<std::string>& cells, const std::vector<int>& widths)
{
    for (std::size_t i = 0; i < cells.size(); ++i) {
        std::cout << std::left << std::setw(widths.at(i)) << cells[i] << ' ';
    }
    std::cout << '\n';
}

std::string author()
{
    if (!FLAGS_author.empty()) {
        return FLAGS_author;
    }
    const char* login = std::getenv("USER");
    return login == nullptr ? "unknown" : login;
}

int apply(const std::string& file)
{
    auto new_contract = read_contract_file(file);
    new_contract.author = author();
    new_contract.change_id =
        FLAGS_change_id.empty() ? make_request_id(wall_now()) : FLAGS_change_id;
    auto path = "/v1/contracts/" + new_contract.customer;
    if (FLAGS_expected_version >= 0) {
        path += "?expected_version=" + std::to_string(FLAGS_expected_version);
    }
    const auto response = send_request("PUT", path, to_json(new_contract), accept_any);
    if (response.status != 200 && response.status != 409) {
        std::cerr << "change id: " << new_contract.change_id << '\n';
        return response.status == 0 ? (print_failure(response), exit_unknown)
                                    : print_failure(response);
    }
    const auto result = from_json<apply_answer>(response.body);
    if (is_json_output()) {
        std::cout << response.body << '\n';
    } else {
        std::cout << result.message << '\n';
        for (const auto& line : result.differences) {
            std::cout << "  " << line << '\n';
        }
        for (const auto& name : result.unconfirmed) {
            std::cout << "  not confirmed by " << name << '\n';
        }
    }
    return response.status == 409 ? exit_conflict : exit_done;
}

int show_contract(const std::string& customer)
{
    const auto response = send_request("GET", "/v1/contracts/" + customer, "", is_found);
    if (response.status != 200) {
        return print_failure(response);
    }
    std::cout << (is_json_output() ? response.body
                                   : to_json(from_json<contract>(response.body), true))
              << '\n';
    return exit_done;
}

int print_contracts(const server_response& response)
{
    if (response.status != 200) {
        return print_failure(response);
    }
    if (is_json_output()) {
        std::cout << response.body << '\n';
        return exit_done;
    }
    const std::vector<int> widths = {24, 8, 16, 36, 36};
    print_row({"customer", "version", "author", "guaranteed", "ceiling"}, widths);
    for (const auto& contract_version : from_json<std::vector<contract>>(response.body)) {
        print_row({contract_version.customer, std::to_string(contract_version.version),
                   contract_version.author, format_resources(contract_version.guaranteed),
                   format_resources(contract_version.ceiling)},
                  widths);
    }
    return exit_done;
}

int show_diff(const std::string& file)
{
    const auto new_contract = read_contract_file(file);
    const auto response =
        send_request("GET", "/v1/contracts/" + new_contract.customer, "", is_found);
    if (response.status != 200) {
        return print_failure(response);
    }
    auto current = from_json<contract>(response.body);
    current.version = 0;
    current.change_id.clear();
    current.author.clear();
    for (const auto& line : diff(current, new_contract)) {
        std::cout << line << '\n';
    }
    return exit_done;
}

int show_status()
{
    std::map<std::string, shard_summary> shards;
    cell_summary cell;
    const auto merge = [&shards, &cell](const server_response& response) {
        if (response.status != 200) {
            return false;
        }
        cell = from_json<cell_summary>(response.body);
        for (const auto& shard : cell.shards) {
            auto& newest = shards[shard.shard];
            if (shard.epoch > newest.epoch || (shard.epoch == newest.epoch && shard.workers > 0)) {
                newest = shard;
            }
        }
        return false;
    };
    const auto response = send_request("GET", "/v1/status", "", merge);
    if (shards.empty()) {
        return print_failure(response);
    }
    if (is_json_output()) {
        std::vector<shard_summary> list;
        for (const auto& [id, shard] : shards) {
            list.push_back(shard);
        }
        std::cout << to_json(list) << '\n';
        return exit_done;
    }
    std::cout << cell.members.size() << " schedulers, store "
              << (cell.store_available ? "answers" : "does not answer") << '\n';
    const std::vector<int> widths = {20, 22, 6, 10, 8, 8, 36, 36};
    print_row({"shard", "owner", "epoch", "state", "workers", "open", "reserved", "capacity"},
              widths);
    for (const auto& [id, shard] : shards) {
        print_row({id, shard.owner.empty() ? "(none)" : shard.owner, std::to_string(shard.epoch),
                   shard.recovering ? "recovering" : "serving", std::to_string(shard.workers),
                   std::to_string(shard.open_requests), format_resources(shard.reserved),
                   format_resources(shard.capacity)},
                  widths);
    }
    return exit_done;
}

int show_workers(const std::string& shard)
{
    const auto response = send_request("GET", "/v1/shards/" + shard, "", is_found);
    if (response.status != 200) {
        return print_failure(response);
    }
    if (is_json_output()) {
        std::cout << response.body << '\n';
        return exit_done;
    }
    const std::vector<int> widths = {24, 12, 10, 12, 36, 36};
    print_row({"worker", "zone", "rack", "status", "reserved", "capacity"}, widths);
    for (const auto& worker : from_json<std::vector<worker_view>>(response.body)) {
        print_row({worker.address, worker.zone, worker.rack, worker.status,
                   format_resources(worker.reserved), format_resources(worker.capacity)},
                  widths);
    }
    return exit_done;
}

int explain(const std::string& customer, const std::string& id)
{
    const auto response = send_request(
        "GET", "/v1/explain?customer=" + url_encode(customer) + "&request_id=" + url_encode(id), "",
        is_found);
    if (response.status != 200) {
        return print_failure(response);
    }
    const auto view = from_json<request_view>(response.body);
    if (is_json_output()) {
        std::cout << response.body << '\n';
        return exit_done;
    }
    std::cout << view.request_id << " (" << view.cls << ") is " << view.state << '\n';
    if (!view.held_by.empty()) {
        std::cout << "held by " << view.held_by << ": " << view.held_text << '\n';
    }
    for (const auto& [phase, count] : view.tasks) {
        std::cout << "tasks in phase " << phase << ": " << count << '\n';
    }
    if (view.state == "ended") {
        std::cout << "verdict " << to_string(view.result.kind) << ' ' << view.result.reason << '\n';
    }
    return exit_done;
}

int cancel(const std::string& customer, const std::string& id)
{
    const auto path =
        "/v1/cancel?customer=" + url_encode(customer) + "&request_id=" + url_encode(id);
    const auto response = send_request("POST", path, "", [](const server_response& candidate) {
        return candidate.status == 200 &&
               from_json<outcome>(candidate.body).reason != "unknown_request";
    });
    if (response.status != 200) {
        return print_failure(response);
    }
    std::cout << response.body << '\n';
    return from_json<outcome>(response.body).reason == "unknown_request" ? exit_unknown : exit_done;
}

/// Prints the events of a request that are found in logs, whose lines may be in any order.
int trace(const std::string& request, const std::vector<std::string>& files)
{
    std::stringstream logs;
    if (files.empty()) {
        logs << std::cin.rdbuf();
    }
    for (const auto& name : files) {
        const std::ifstream file(name);
        if (!file) {
            std::cerr << name << ": the file could not be opened\n";
            return exit_failed;
        }
        logs << file.rdbuf() << '\n';
    }
    const auto events = trace_request(logs, request);
    if (events.empty()) {
        std::cerr << "these logs have no line about request " << request << '\n';
        return exit_failed;
    }
    std::cout << to_text(events);
    return exit_done;
}

int run(const std::vector<std::string>& command_words)
{
    const auto matches = [&command_words](const std::vector<std::string>& names,
                                          std::size_t arguments) {
        return command_words.size() == names.size() + arguments &&
               std::equal(names.begin(), names.end(), command_words.begin());
    };
    if (matches({"contract", "check"}, 1) || (matches({"contract", "apply"}, 1) && FLAGS_check)) {
        read_contract_file(command_words.back());
        std::cout << command_words.back() << ": good\n";
        return exit_done;
    }
    if (matches({"contract", "apply"}, 1)) {
        return apply(command_words.back());
    }
    if (matches({"contract", "get"}, 1)) {
        return show_contract(command_words.back());
    }
    if (matches({"contract", "list"}, 0)) {
        return print_contracts(send_request("GET", "/v1/contracts", "", accept_any));
    }
    if (matches({"contract", "diff"}, 1)) {
        return show_diff(command_words.back());
    }
    if (matches({"contract", "history"}, 1)) {
        return print_contracts(
            send_request("GET", "/v1/history/" + command_words.back(), "", accept_any));
    }
    if (matches({"status"}, 0)) {
        return show_status();
    }
    if (matches({"workers"}, 1)) {
        return show_workers(command_words.back());
    }
    if (matches({"drain"}, 1)) {
        const auto response = send_request(
            "POST", "/v1/drain?worker=" + url_encode(command_words.back()), "", is_found);
        return response.status == 200 ? exit_done : print_failure(response);
    }
    if (matches({"cancel"}, 2)) {
        return cancel(command_words.at(1), command_words.at(2));
    }
    if (matches({"explain"}, 2)) {
        return explain(command_words.at(1), command_words.at(2));
    }
    if (command_words.size() >= 2 && command_words.front() == "trace") {
        return trace(command_words.at(1), {command_words.begin() + 2, command_words.end()});
    }
    if (matches({"hash"}, 1)) {
        std::cout << hash_key(command_words.back()) << '\n';
        return exit_done;
    }
    std::cerr << usage_text << '\n';
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage_text);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0) {
        return exit_failed;
    }
    try {
        return run(std::vector<std::string>(argv + 1, argv + argc));
    } catch (const std::exception& cause) {
        std::cerr << cause.what() << '\n';
        return exit_failed;
    }
}
