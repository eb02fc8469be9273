#pragma once

#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/peer/scheduler_service.hpp"

#include <memory>

namespace flamingoseam {

/// Calls schedulers over Cap'n Proto RPC. Thread-safe; keeps one connection per scheduler, on a
/// dedicated thread. Every call throws transport_error: id 306 if no connection could be
/// established in time and id 317 if it was refused (nothing was sent in either case), id 307 if
/// the response did not arrive in time or the connection failed. A connection on which an exchange
/// times out is replaced.
class rpc_client {
public:
    rpc_client();
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    outcome submit(const endpoint& scheduler, const std::string& shard, const work_request& request,
                   milliseconds timeout);
    std::optional<std::string> find_job(const endpoint& scheduler, const std::string& shard,
                                        const std::string& customer, const std::string& request_id,
                                        milliseconds timeout);
    outcome cancel(const endpoint& scheduler, const std::string& shard, const std::string& customer,
                   const std::string& request_id, milliseconds timeout);
    exchange_message exchange(const endpoint& scheduler, const exchange_message& request,
                              milliseconds timeout);
    std::int64_t request_share(const endpoint& scheduler, const share_transfer& request,
                               milliseconds timeout);
    bool offer_share(const endpoint& scheduler, const share_transfer& grant, milliseconds timeout);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace flamingoseam
