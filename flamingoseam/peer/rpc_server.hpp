#pragma once

#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/peer/scheduler_service.hpp"

#include <memory>

namespace flamingoseam {

/// Serves a scheduler's interface over Cap'n Proto RPC on a dedicated thread.
class rpc_server {
public:
    /// Starts listening before it returns. Throws transport_error (id 301) if the address can't be
    /// bound.
    rpc_server(const endpoint& listen, scheduler_service& service);

    /// Stops listening and closes every connection.
    ~rpc_server();

    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace flamingoseam
