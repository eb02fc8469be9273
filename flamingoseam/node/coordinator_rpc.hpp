#pragma once

#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/node/owner_service.hpp"
#include "flamingoseam/peer/rpc_errors.hpp"

#include <memory>

namespace flamingoseam::node {

/// Id of the transport_error thrown when nothing listens at the other node's address.
inline constexpr int refused_connection = detail::refused_connection;

/// Calls other nodes over Cap'n Proto RPC. Thread-safe. Calls throw transport_error: id 306 when
/// there was no connection in time and nothing was sent, id 317 when nothing was sent since nothing
/// listens at the address, id 307 when the call was sent but not answered before the timeout.
class coordinator_client {
public:
    coordinator_client();
    ~coordinator_client();
    coordinator_client(const coordinator_client&) = delete;
    coordinator_client& operator=(const coordinator_client&) = delete;

    owner_answer submit(const endpoint& owner, const workflow::job_spec& job,
                        const workflow::queue_terms& terms, milliseconds timeout);
    owner_answer cancel(const endpoint& owner, const std::string& job, milliseconds timeout);
    owner_answer find(const endpoint& owner, const std::string& job, milliseconds timeout);
    owner_answer count_pending(const endpoint& owner, const std::string& queue,
                               milliseconds timeout);

    /// Asks the permission service through another node. Returns none when the service did not
    /// answer that node.
    std::optional<permission_answer> ask_permission(const endpoint& node,
                                                    const workflow::permission_request& request,
                                                    milliseconds timeout);

    /// Asks the node to take over from the owner of the offer's epoch. Returns whether it will try.
    bool offer_ownership(const endpoint& node, const ownership_offer& offer, milliseconds timeout);

    /// Asks the node whether the owner of this epoch has refused its connections as well.
    bool confirms_owner_gone(const endpoint& node, std::uint64_t epoch, milliseconds timeout);

    /// Tells the node that the owner of this epoch has been replaced. Returns what that owner says
    /// if it was one of that node.
    stop_confirmation stop_owner(const endpoint& node, std::uint64_t epoch, milliseconds timeout);

    /// Asks the owner of another shard for workers. Returns how many it gives.
    std::size_t lend_workers(const endpoint& owner, const workflow::worker_request& request,
                             milliseconds timeout);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Serves calls of other nodes on a separate thread.
class coordinator_server {
public:
    /// Starts to serve calls. Throws transport_error (id 301) when the address can't be bound.
    coordinator_server(const endpoint& listen, owner_service& service);
    ~coordinator_server();
    coordinator_server(const coordinator_server&) = delete;
    coordinator_server& operator=(const coordinator_server&) = delete;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace flamingoseam::node
