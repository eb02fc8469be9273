#pragma once

#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/store/config_store.hpp"

#include <mutex>

namespace flamingoseam {

/// Accesses the configuration store over HTTP and JSON. Thread-safe. Watches and lease calls each
/// use a separate connection, so they do not delay other calls.
class http_config_store : public config_store {
public:
    /// `timeout` is the limit of every call; for a watch its wait is added.
    http_config_store(const endpoint& server, milliseconds timeout);

    std::optional<store_record> get(const std::string& key) override;
    store_events list(const std::string& prefix) override;
    swap_result compare_and_swap(const swap_request& request) override;
    std::string keep_alive(const std::string& id, milliseconds time_to_live) override;
    store_events watch(const std::string& prefix, std::uint64_t revision,
                       milliseconds wait) override;

private:
    std::string call(http_client& client, std::mutex& mutex, const http_call& request);

    milliseconds timeout_;
    std::mutex call_mutex_;
    std::mutex lease_mutex_;
    std::mutex watch_mutex_;
    http_client call_client_;
    http_client lease_client_;
    http_client watch_client_;
};

} // namespace flamingoseam
