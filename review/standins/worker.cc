/// A stand-in for one worker of the users' platform, as a process of its own. It registers itself in
/// the store, accepts starts, stops and lease renewals, and appends what it does to a record file.
#include "review/standins/record.hh"

#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/http/http_server.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <csignal>
#include <condition_variable>
#include <mutex>
#include <thread>

DEFINE_string(id, "w1", "id of the worker in the store");
DEFINE_string(address, "", "ADDRESS:PORT that the worker registers in the store");
DEFINE_int32(port, 0, "TCP port to listen on at 127.0.0.1");
DEFINE_string(store, "", "ADDRESS:PORT of the store");
DEFINE_string(record, "", "file to which the record is appended");

namespace {

using namespace flamingoseam;
using nlohmann::json;

constexpr milliseconds heartbeat{1'500};
constexpr milliseconds entry_lifetime{4'500}; ///< Three heartbeats.
constexpr milliseconds advance_interval{5};
constexpr std::int64_t max_hold_ms = 6'000;

struct active_run {
    std::string task;
    std::int64_t number = 0;
    time_point ends{};
    time_point began{};
};

class worker {
public:
    worker() : record_(FLAGS_record), born_(wall_now().count()), start_(now())
    {
        log("up", {});
    }

    std::int64_t born() const { return born_; }

    http_response handle(const http_request& request)
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_discarded()) {
            return {.status = 400, .body = "{}"};
        }
        const auto expected = request.headers.find("X-Expect-Instance");
        if (expected != request.headers.end() && !expected->second.empty() &&
            expected->second != FLAGS_id) {
            return {.status = 421, .body = "{}"};
        }
        std::unique_lock lock(mutex_);
        const auto token = body.value("fencingToken", std::int64_t{0});
        if (token < token_) {
            return refuse("fence");
        }
        token_ = token;
        if (request.path == "/api/run-start") {
            return start(body);
        }
        if (request.path == "/api/run-stop") {
            return stop(body);
        }
        if (request.path == "/api/hold") {
            return hold(lock, body);
        }
        return {.status = 404, .body = "{}"};
    }

    /// Ends the runs that are done or whose lease has lapsed.
    void advance()
    {
        const std::lock_guard lock(mutex_);
        const bool has_lapsed = clock_ms() > lease_until_;
        for (std::size_t index = runs_.size(); index-- > 0;) {
            if (has_lapsed) {
                end_run(index, "lapsed");
            } else if (runs_[index].ends <= now()) {
                end_run(index, "done");
            }
        }
    }

private:
    void log(const char* event, json fields)
    {
        fields["event"] = event;
        fields["worker"] = FLAGS_id;
        fields["born"] = born_;
        record_.write(std::move(fields));
    }

    std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(now() - start_).count() + 1;
    }

    http_response refuse(const char* reason) const
    {
        return {.status = 409, .body = json{{"clockMs", clock_ms()}, {"reason", reason}}.dump()};
    }

    void extend_lease(const json& body)
    {
        const auto until = body.value("deadlineMs", std::int64_t{0});
        lease_until_ = std::max(lease_until_, std::min(until, clock_ms() + max_hold_ms));
    }

    http_response start(const json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        const auto is_same = [&](const active_run& run) {
            return run.task == task && run.number == number;
        };
        if (std::ranges::none_of(runs_, is_same)) {
            extend_lease(body);
            if (number <= refused_up_to_[task]) {
                return refuse("old");
            }
            if (body.at("deadlineMs").get<std::int64_t>() <= clock_ms()) {
                return refuse("late");
            }
            const auto spec = body.value("spec", "");
            const milliseconds length(std::stoi(spec.substr(spec.find("ms=") + 3)));
            runs_.push_back(
                {.task = task, .number = number, .ends = now() + length, .began = now()});
            log("start", {{"task", task}, {"run", number}});
        }
        return {.body = json{{"clockMs", clock_ms()}}.dump()};
    }

    http_response stop(const json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        refused_up_to_[task] = std::max(refused_up_to_[task], number);
        for (std::size_t index = runs_.size(); index-- > 0;) {
            if (runs_[index].task == task && runs_[index].number <= number) {
                end_run(index, "stopped");
            }
        }
        return {.body = json{{"clockMs", clock_ms()}}.dump()};
    }

    http_response hold(std::unique_lock<std::mutex>& lock, const json& body)
    {
        const auto last_seen = body.value("lastSeen", std::int64_t{0});
        std::erase_if(ended_, [&](const json& end) {
            const bool is_noted = end.at(0).get<std::int64_t>() <= last_seen;
            if (is_noted) {
                log("noted", {{"end", end.at(0)}, {"task", end.at(1)}, {"run", end.at(2)},
                              {"how", end.at(3)}, {"lastSeen", last_seen}});
            }
            return is_noted;
        });
        extend_lease(body);
        const auto until = now() + milliseconds(body.value("waitMs", 0));
        changed_.wait_until(lock, until, [&] { return !ended_.empty() || now() >= until; });
        json running = json::array();
        for (const auto& run : runs_) {
            const auto length = std::max(run.ends - run.began, time_point::duration(1));
            const auto percent = 100 * (now() - run.began) / length;
            running.push_back({run.task, run.number, "", std::min<std::int64_t>(99, percent), 0});
        }
        return {.body = json{{"clockMs", clock_ms()},
                             {"born", born_},
                             {"running", running},
                             {"ended", ended_}}
                            .dump()};
    }

    void end_run(std::size_t index, const char* how)
    {
        const auto run = runs_[index];
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
        refused_up_to_[run.task] = std::max(refused_up_to_[run.task], run.number);
        log("end", {{"end", next_end_}, {"task", run.task}, {"run", run.number}, {"how", how}});
        ended_.push_back({next_end_++, run.task, run.number, how, ""});
        changed_.notify_all();
    }

    review::record record_;
    std::int64_t born_;
    time_point start_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t token_ = 0;
    std::int64_t lease_until_ = 0;
    std::vector<active_run> runs_;
    std::map<std::string, std::int64_t> refused_up_to_;
    std::vector<json> ended_;
    std::int64_t next_end_ = 1;
};

std::string to_base64(const std::string& bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_ENCODED_LEN(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

/// Writes the worker's entry under a lease of three heartbeats and renews the lease.
void keep_registered(std::int64_t born)
{
    http_client store(endpoint_from_string(FLAGS_store));
    const json entry = {{"service", "service"},
                        {"address", FLAGS_address},
                        {"zone", "zone"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldRemainingMs", 0},
                        {"sequence", 1},
                        {"born", born},
                        {"capacity", {{"cpu", 64'000}, {"memMb", 128'000}, {"gpu", 0}}},
                        {"labels", {"a", "r1"}}};
    std::int64_t lease = 0;
    while (true) {
        try {
            if (lease == 0) {
                const auto granted =
                    store.call({.method = "POST",
                                .path = "/api/kv-lease",
                                .body = json{{"ttlMs", entry_lifetime.count()}}.dump()});
                lease = json::parse(granted.body).at("lease").get<std::int64_t>();
                const json puts = json::array({{{"key", "servers/" + FLAGS_id},
                                                {"value", to_base64(entry.dump())},
                                                {"lease", lease}}});
                store.call({.method = "POST",
                            .path = "/api/kv-txn",
                            .body = json{{"precondition", json::array()},
                                         {"puts", puts},
                                         {"remove", json::array()}}
                                        .dump()});
            } else if (store.call({.method = "POST",
                                   .path = "/api/kv-keep/" + std::to_string(lease),
                                   .body = "{}"})
                           .status == 404) {
                lease = 0;
                continue;
            }
        } catch (const std::exception&) {
            lease = 0;
        }
        std::this_thread::sleep_for(heartbeat);
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0) {
        return 1;
    }
    worker state;
    const http_server server({.address = "127.0.0.1",
                              .port = static_cast<unsigned short>(FLAGS_port),
                              .kept_headers = {"X-Expect-Instance"}},
                             [&](const http_request& request) { return state.handle(request); });
    std::thread([&] { keep_registered(state.born()); }).detach();
    while (true) {
        state.advance();
        std::this_thread::sleep_for(advance_interval);
    }
}
