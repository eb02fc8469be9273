#pragma once

#include "flamingoseam/http/http_client.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam::scenario {

/// Settings of a load: identical requests sent over several connections at the same time.
struct load_options {
    std::vector<endpoint> entries; ///< Connections are spread over them, as a load balancer does.
    std::string path;
    std::string body;
    std::string key;
    int connections = 1;
    int count = 0;            ///< Total number of requests; 0 sends until stop() is called.
    milliseconds interval{0}; ///< Pause between two requests of one connection.
    milliseconds timeout{30'000};
    /// If not 0, a job with this number as its id is submitted, then one with the next, and so on.
    std::int64_t first_job = 0;
    bool client_ids = false; ///< Whether each request carries a UUID and is
                             ///< sent a second time if it gets no answer.
};

/// The outcome of one request.
struct load_result {
    std::string request_id; ///< That of the request, or the job's id.
    int status = 0;         ///< HTTP status; 0 if no answer was received.
    std::string verdict;
    std::string reason;
    std::string output;
    std::int64_t wait_ms = 0;
    std::int64_t began_ms = 0; ///< Wall clock time at which the request was first sent.
};

/// Sends requests from one thread per connection and collects the results.
class load {
public:
    explicit load(load_options options);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    /// Makes the threads stop after the requests that are in flight; ends a load without a count.
    void stop() { stopping_ = true; }

    /// Waits until all threads have stopped and returns the results of all requests.
    std::vector<load_result> finish();

private:
    void run(std::size_t connection);
    load_result send(std::size_t connection, http_client& client);
    std::string body_with(const std::string& request_id, bool first_attempt) const;

    load_options options_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> sent_{0};
    std::atomic<std::int64_t> next_job_{0};
    std::mutex mutex_;
    std::vector<load_result> results_;
    std::vector<std::thread> threads_;
};

} // namespace flamingoseam::scenario
