#pragma once

#include "flamingoseam/entry/router.hpp"
#include "flamingoseam/entry/settings.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/trace/span.hpp"

#include <prometheus/registry.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace flamingoseam {

/// The entry's process without its main function: meets callers over HTTP and brings their requests
/// to schedulers. It holds nothing but its open calls.
class entry {
public:
    explicit entry(entry_settings settings);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// Refuses new requests, then waits for those in progress, at most for the drain timeout.
    void shut_down();

    /// Answers one HTTP request; called from HTTP threads.
    http_response handle(const http_request& request);

private:
    http_response dispatch(const http_request& request, const contract& terms, span& hop);
    http_response submit(const http_request& request, const contract& terms, bool is_job,
                         span& hop);
    http_response answer(const std::string& request_id, const outcome& result, span& hop);
    http_response refuse(const std::string& reason, const std::string& detail);
    bool begin();
    void end();
    void follow(std::size_t first);
    void follow_once(const endpoint& scheduler);

    entry_settings settings_;
    span_writer spans_;
    cell_map map_;
    rpc_client client_;
    router router_;
    std::shared_ptr<prometheus::Registry> registry_;
    std::map<std::string, prometheus::Counter*> outcomes_;
    prometheus::Histogram* latency_ = nullptr;
    std::mutex mutex_;
    std::condition_variable idle_;
    int open_ = 0;
    bool draining_ = false;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> followers_;
    std::unique_ptr<http_server> server_;
};

} // namespace flamingoseam
