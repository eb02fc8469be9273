#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_server.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam::standin {

/// Every start and end over all workers of a stand-in, to find runs that must not be.
class run_ledger {
public:
    void begin(const std::string& task);
    void end(const std::string& task, bool done);

    /// Returns starts, tasks done, tasks that ran in two places and tasks that ran after they
    /// were done, as JSON.
    [[nodiscard]] nlohmann::json to_json() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, int> running_;
    std::map<std::string, int> done_;
    int starts_ = 0;
    int doubled_ = 0;
    int again_ = 0;
};

/// A stand-in for one worker of the users' platform: leases, fencing tokens, run numbers, ends that
/// are told until they may be forgotten. A task runs for as long as its payload says: "ms=300".
class platform_worker {
public:
    platform_worker(std::string id, run_ledger& ledger);
    ~platform_worker();
    platform_worker(const platform_worker&) = delete;
    platform_worker& operator=(const platform_worker&) = delete;

    http_response handle(const http_request& request);

private:
    struct run {
        std::string task;
        std::int64_t number = 0;
        time_point began{};
        time_point ends{};
    };

    http_response start(const nlohmann::json& body);
    http_response stop(const nlohmann::json& body);
    http_response hold(std::unique_lock<std::mutex>& lock, const nlohmann::json& body);
    [[nodiscard]] http_response refuse(const char* reason) const;
    [[nodiscard]] nlohmann::json lists() const;
    [[nodiscard]] std::int64_t clock_ms() const;
    bool accepts(const nlohmann::json& body);
    void end_run(std::size_t index, const char* how);
    void advance();

    std::string id_;
    run_ledger& ledger_;
    std::mutex mutex_;
    std::condition_variable changed_;
    time_point born_ = now();
    std::int64_t born_wall_ms_ = wall_now().count();
    std::int64_t token_ = 0;
    std::int64_t lease_until_ms_ = 0;
    std::vector<run> runs_;
    std::map<std::string, std::int64_t> barred_;
    std::vector<nlohmann::json> ended_;
    std::int64_t next_end_ = 1;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace flamingoseam::standin
