#pragma once

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/entry/router.hpp"
#include "flamingoseam/entry/settings.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/trace/span.hpp"

#include <prometheus/registry.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <vector>

namespace flamingoseam {

/// The entry process without its main function. Accepts requests of callers over HTTP and forwards
/// them to schedulers. Keeps no state of requests but the open calls.
class entry {
public:
    /// Throws transport_error if the address can't be used, resource_error if the system has no
    /// threads left.
    explicit entry(entry_settings settings);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// Refuses new requests and waits for those in progress, at most for the drain timeout.
    void shut_down();

    /// Handles one HTTP request; called from HTTP threads.
    http_response handle(const http_request& request);

private:
    http_response dispatch(const http_request& request, const contract& terms, span& request_span);
    http_response submit(const http_request& request, const contract& terms, bool is_job,
                         span& request_span);
    http_response answer(const std::string& request_id, const outcome& result, span& request_span);
    http_response refuse(const std::string& reason, const std::string& detail);

    /// Counts a request as open. Returns false if the entry is draining.
    bool begin_request();
    void end_request();

    void start_polling();
    void start_server();

    /// Polls the schedulers in turn for owners and contracts, from index `first_index` on, until
    /// stopping.
    void poll_schedulers(std::size_t first_index);

    /// Fetches owners and contracts from one scheduler, and sends it the contracts that it lacks.
    void poll_scheduler(const endpoint& scheduler);

    entry_settings settings_;
    span_writer spans_;
    cell_map map_;
    rpc_client client_;
    router router_;
    std::shared_ptr<prometheus::Registry> registry_;
    std::map<std::string, prometheus::Counter*> outcome_counters_;
    prometheus::Histogram* latency_ = nullptr;
    std::mutex mutex_;
    std::condition_variable idle_;
    int open_requests_ = 0;
    bool draining_ = false;
    std::atomic<bool> stopping_{false};
    std::vector<service_thread> poll_threads_;
    std::unique_ptr<http_server> server_;
};

} // namespace flamingoseam
