#pragma once

#include "flamingoseam/http/http_client.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam::scenario {

/// A stream of requests from several connections at once.
struct load_options {
    std::vector<endpoint> entries; ///< Connections are spread over them, as a balancer does.
    std::string path;
    std::string body;
    std::string key;
    int connections = 1;
    int count = 0;            ///< Requests in all; 0 goes on until stop().
    milliseconds interval{0}; ///< Between two requests of one connection.
    milliseconds timeout{30'000};
    bool own_ids = false; ///< Each request carries a UUID; a failed one is sent once more.
};

/// What one request came to.
struct load_result {
    std::string request_id;
    int status = 0; ///< 0 when no answer came.
    std::string verdict;
    std::string reason;
    std::string output;
    std::int64_t wait_ms = 0;
    std::int64_t began_ms = 0; ///< Wall clock.
};

/// Sends a load from threads of its own.
class load {
public:
    explicit load(load_options options);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    /// Ends a load without a count after the requests under way.
    void stop() { stopping_ = true; }

    /// Waits for the end and returns every result.
    std::vector<load_result> finish();

private:
    void run(std::size_t connection);
    load_result send(std::size_t connection, http_client& client);
    std::string body_with(const std::string& request_id, bool first_attempt) const;

    load_options options_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> sent_{0};
    std::mutex mutex_;
    std::vector<load_result> results_;
    std::vector<std::thread> threads_;
};

} // namespace flamingoseam::scenario
