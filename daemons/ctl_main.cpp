/// The operators' command line. It holds nothing; every answer comes from a scheduler.
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

DEFINE_string(servers, "", "operators' interfaces of schedulers, ADDRESS:PORT separated by commas");
DEFINE_string(key, "", "operator's key; FLAMINGOSEAM_KEY is used when it is empty");
DEFINE_string(output, "table", "table for people, json for programs");
DEFINE_string(author, "", "name that the history keeps; the login name when it is empty");
DEFINE_string(change_id, "", "id of the change; give the same one to repeat an apply safely");
DEFINE_int64(expected_version, -1, "apply only over this version; 0 when there must be none");
DEFINE_bool(check, false, "with contract apply: only check the file");
DEFINE_int32(timeout_ms, 10000, "longest wait for an answer");

namespace {

using namespace flamingoseam;

/// Exit codes that scripts can rely on.
enum exit_code {
    exit_done = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_lost_race = 3,
    exit_unknown = 4
};

constexpr const char* usage_text =
    "speaks to the schedulers of a cell\n"
    "usage: flamingoseamctl --servers A:P[,A:P] COMMAND\n"
    "  contract apply FILE       make FILE (TOML) the customer's contract\n"
    "  contract check FILE       check FILE and say what is wrong\n"
    "  contract get CUSTOMER     the contract in force\n"
    "  contract list             every customer with its version and limits\n"
    "  contract diff FILE        what an apply of FILE would change\n"
    "  contract history CUSTOMER every version with its author\n"
    "  status                    shards, owners, what is reserved\n"
    "  workers SHARD             the workers of a shard\n"
    "  drain WORKER              give a worker no new tasks and move its jobs\n"
    "  cancel CUSTOMER ID        cancel a call or job\n"
    "  explain CUSTOMER ID       why a piece of work waits, or what became of it\n"
    "  hash KEY                  the hash of a key, for key_hashes\n"
    "  trace ID [FILE ...]       a request's story from nodes' logs, or from standard input;\n"
    "                            needs no running cell\n"
    "exit codes: 0 done, 1 refused or failed, 2 usage, 3 another change was first,\n"
    "            4 not known whether it was done";

struct server_answer {
    int status = 0;
    std::string body;
};

std::string key()
{
    if (!FLAGS_key.empty()) {
        return FLAGS_key;
    }
    const char* from_environment = std::getenv("FLAMINGOSEAM_KEY");
    return from_environment == nullptr ? "" : from_environment;
}

std::vector<endpoint> servers()
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

/// Asks the servers in turn until one gives an answer that `is_final` takes.
server_answer ask(const std::string& method, const std::string& path, const std::string& body,
                  const std::function<bool(const server_answer&)>& is_final)
{
    server_answer last;
    for (const auto& server : servers()) {
        http_client client(server);
        try {
            const auto answer = client.call({.method = method,
                                             .path = path,
                                             .body = body,
                                             .authorization = "Bearer " + key(),
                                             .timeout = milliseconds(FLAGS_timeout_ms)});
            last = {.status = answer.status, .body = answer.body};
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

bool any_answer(const server_answer& /*answer*/)
{
    return true;
}

bool is_found(const server_answer& answer)
{
    return answer.status != 404;
}

int fail(const server_answer& answer)
{
    std::cerr << answer.body << '\n';
    return answer.status == 504 ? exit_unknown : exit_failed;
}

bool is_json_wanted()
{
    return FLAGS_output == "json";
}

std::string text_of(const resources& amount)
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
    auto wanted = read_contract_file(file);
    wanted.author = author();
    wanted.change_id = FLAGS_change_id.empty() ? make_request_id(wall_now()) : FLAGS_change_id;
    auto path = "/v1/contracts/" + wanted.customer;
    if (FLAGS_expected_version >= 0) {
        path += "?expected_version=" + std::to_string(FLAGS_expected_version);
    }
    const auto answer = ask("PUT", path, to_json(wanted), any_answer);
    if (answer.status != 200 && answer.status != 409) {
        std::cerr << "change id: " << wanted.change_id << '\n';
        return answer.status == 0 ? (fail(answer), exit_unknown) : fail(answer);
    }
    const auto result = from_json<apply_answer>(answer.body);
    if (is_json_wanted()) {
        std::cout << answer.body << '\n';
    } else {
        std::cout << result.message << '\n';
        for (const auto& line : result.differences) {
            std::cout << "  " << line << '\n';
        }
        for (const auto& name : result.unconfirmed) {
            std::cout << "  not confirmed by " << name << '\n';
        }
    }
    return answer.status == 409 ? exit_lost_race : exit_done;
}

int show_contract(const std::string& customer)
{
    const auto answer = ask("GET", "/v1/contracts/" + customer, "", is_found);
    if (answer.status != 200) {
        return fail(answer);
    }
    std::cout << (is_json_wanted() ? answer.body : to_json(from_json<contract>(answer.body), true))
              << '\n';
    return exit_done;
}

int print_contracts(const server_answer& answer)
{
    if (answer.status != 200) {
        return fail(answer);
    }
    if (is_json_wanted()) {
        std::cout << answer.body << '\n';
        return exit_done;
    }
    const std::vector<int> widths = {24, 8, 16, 36, 36};
    print_row({"customer", "version", "author", "guaranteed", "ceiling"}, widths);
    for (const auto& one : from_json<std::vector<contract>>(answer.body)) {
        print_row({one.customer, std::to_string(one.version), one.author, text_of(one.guaranteed),
                   text_of(one.ceiling)},
                  widths);
    }
    return exit_done;
}

int show_diff(const std::string& file)
{
    const auto wanted = read_contract_file(file);
    const auto answer = ask("GET", "/v1/contracts/" + wanted.customer, "", is_found);
    if (answer.status != 200) {
        return fail(answer);
    }
    auto current = from_json<contract>(answer.body);
    current.version = 0;
    current.change_id.clear();
    current.author.clear();
    for (const auto& line : diff(current, wanted)) {
        std::cout << line << '\n';
    }
    return exit_done;
}

int show_status()
{
    std::map<std::string, shard_summary> shards;
    cell_summary cell;
    const auto merge = [&shards, &cell](const server_answer& answer) {
        if (answer.status != 200) {
            return false;
        }
        cell = from_json<cell_summary>(answer.body);
        for (const auto& one : cell.shards) {
            auto& known = shards[one.shard];
            if (one.epoch > known.epoch || (one.epoch == known.epoch && one.workers > 0)) {
                known = one;
            }
        }
        return false;
    };
    const auto answer = ask("GET", "/v1/status", "", merge);
    if (shards.empty()) {
        return fail(answer);
    }
    if (is_json_wanted()) {
        std::vector<shard_summary> list;
        for (const auto& [id, one] : shards) {
            list.push_back(one);
        }
        std::cout << to_json(list) << '\n';
        return exit_done;
    }
    std::cout << cell.members.size() << " schedulers, store "
              << (cell.store_available ? "answers" : "does not answer") << '\n';
    const std::vector<int> widths = {20, 22, 6, 10, 8, 8, 36, 36};
    print_row({"shard", "owner", "epoch", "state", "workers", "open", "reserved", "capacity"},
              widths);
    for (const auto& [id, one] : shards) {
        print_row({id, one.owner.empty() ? "(none)" : one.owner, std::to_string(one.epoch),
                   one.recovering ? "recovering" : "serving", std::to_string(one.workers),
                   std::to_string(one.open_requests), text_of(one.reserved), text_of(one.capacity)},
                  widths);
    }
    return exit_done;
}

int show_workers(const std::string& shard)
{
    const auto answer = ask("GET", "/v1/shards/" + shard, "", is_found);
    if (answer.status != 200) {
        return fail(answer);
    }
    if (is_json_wanted()) {
        std::cout << answer.body << '\n';
        return exit_done;
    }
    const std::vector<int> widths = {24, 12, 10, 12, 36, 36};
    print_row({"worker", "zone", "rack", "status", "reserved", "capacity"}, widths);
    for (const auto& one : from_json<std::vector<worker_view>>(answer.body)) {
        print_row({one.address, one.zone, one.rack, one.status, text_of(one.reserved),
                   text_of(one.capacity)},
                  widths);
    }
    return exit_done;
}

int explain(const std::string& customer, const std::string& id)
{
    const auto answer =
        ask("GET", "/v1/explain?customer=" + url_encode(customer) + "&request_id=" + url_encode(id),
            "", is_found);
    if (answer.status != 200) {
        return fail(answer);
    }
    const auto view = from_json<request_view>(answer.body);
    if (is_json_wanted()) {
        std::cout << answer.body << '\n';
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
    const auto answer = ask("POST", path, "", [](const server_answer& one) {
        return one.status == 200 && from_json<outcome>(one.body).reason != "unknown_request";
    });
    if (answer.status != 200) {
        return fail(answer);
    }
    std::cout << answer.body << '\n';
    return from_json<outcome>(answer.body).reason == "unknown_request" ? exit_unknown : exit_done;
}

/// Prints the story of a request from logs, which need not be in order.
int trace(const std::string& request, const std::vector<std::string>& files)
{
    std::stringstream logs;
    if (files.empty()) {
        logs << std::cin.rdbuf();
    }
    for (const auto& name : files) {
        const std::ifstream file(name);
        if (!file) {
            std::cerr << name << " can't be read\n";
            return exit_failed;
        }
        logs << file.rdbuf() << '\n';
    }
    const auto story = trace_request(logs, request);
    if (story.empty()) {
        std::cerr << "no line of these logs names " << request << '\n';
        return exit_failed;
    }
    std::cout << to_text(story);
    return exit_done;
}

int run(const std::vector<std::string>& words)
{
    const auto is = [&words](const std::vector<std::string>& names, std::size_t arguments) {
        return words.size() == names.size() + arguments &&
               std::equal(names.begin(), names.end(), words.begin());
    };
    if (is({"contract", "check"}, 1) || (is({"contract", "apply"}, 1) && FLAGS_check)) {
        read_contract_file(words.back());
        std::cout << words.back() << ": good\n";
        return exit_done;
    }
    if (is({"contract", "apply"}, 1)) {
        return apply(words.back());
    }
    if (is({"contract", "get"}, 1)) {
        return show_contract(words.back());
    }
    if (is({"contract", "list"}, 0)) {
        return print_contracts(ask("GET", "/v1/contracts", "", any_answer));
    }
    if (is({"contract", "diff"}, 1)) {
        return show_diff(words.back());
    }
    if (is({"contract", "history"}, 1)) {
        return print_contracts(ask("GET", "/v1/history/" + words.back(), "", any_answer));
    }
    if (is({"status"}, 0)) {
        return show_status();
    }
    if (is({"workers"}, 1)) {
        return show_workers(words.back());
    }
    if (is({"drain"}, 1)) {
        const auto answer =
            ask("POST", "/v1/drain?worker=" + url_encode(words.back()), "", is_found);
        return answer.status == 200 ? exit_done : fail(answer);
    }
    if (is({"cancel"}, 2)) {
        return cancel(words.at(1), words.at(2));
    }
    if (is({"explain"}, 2)) {
        return explain(words.at(1), words.at(2));
    }
    if (words.size() >= 2 && words.front() == "trace") {
        return trace(words.at(1), {words.begin() + 2, words.end()});
    }
    if (is({"hash"}, 1)) {
        std::cout << hash_key(words.back()) << '\n';
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
