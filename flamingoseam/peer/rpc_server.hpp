#pragma once

#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/peer/scheduler_service.hpp"

#include <memory>

namespace flamingoseam {

/// Serves a scheduler's interface over Cap'n Proto RPC on a thread of its own.
class rpc_server {
public:
    /// Listens at once. Throws transport_error (id 301) when the address can't be bound.
    rpc_server(const endpoint& listen, scheduler_service& service);

    /// Closes every connection.
    ~rpc_server();

    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace flamingoseam
