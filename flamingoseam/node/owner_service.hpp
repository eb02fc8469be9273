#pragma once

#include "flamingoseam/node/permission_dispatcher.hpp"
#include "flamingoseam/workflow/job_record.hpp"
#include "flamingoseam/workflow/worker_lending.hpp"

#include <functional>
#include <optional>
#include <string>

namespace flamingoseam::node {

/// The outcome of a call about a job. Only `unknown` leaves open whether the job may run.
enum class owner_verdict {
    accepted,  ///< Stored; for a query, answered.
    refused,   ///< It is certain that nothing was stored and nothing will run.
    not_found, ///< The job does not exist.
    no_owner,  ///< No node owns the jobs at present; nothing was stored.
    unknown,   ///< No answer before the timeout; the job may have been stored.
};

/// Returns the verdict's name in lower case. Complexity: constant.
const char* to_string(owner_verdict value);

/// Parses a verdict's name. Throws parse_error (id 128) with the text if it is not a verdict.
owner_verdict owner_verdict_from_string(const std::string& text);

/// The owner's answer to a call about a job.
struct owner_answer {
    owner_verdict verdict = owner_verdict::unknown;
    std::string reason;
    milliseconds retry_after{0};
    std::string phase; ///< Phase of the job that was queried.
    int pending = 0;   ///< Number of jobs in the queried queue that have not started.
};

/// A request that another node takes over ownership.
struct ownership_offer {
    std::uint64_t epoch = 0; ///< Epoch of the owner to be replaced.
    bool is_leaving = false; ///< The owner is shutting down; otherwise it has ended or can't reach
    ///< the store.
};

/// What a replaced owner says of itself and of the owners before it.
struct stop_confirmation {
    bool has_stopped =
        false; ///< None of them starts runs any more, nor does it itself extend leases.
    /// When the owners before it stop extending leases, too; none if that is not known.
    std::optional<time_point> renewals_end = std::nullopt;
};

/// The calls that the owner of the jobs answers, and those that any node answers for other nodes.
/// Reply callbacks may be called from any thread.
class owner_service {
public:
    using owner_reply = std::function<void(owner_answer)>;
    using flag_reply = std::function<void(bool)>;
    using stop_reply = std::function<void(stop_confirmation)>;
    using count_reply = std::function<void(std::size_t)>;
    using permission_reply = std::function<void(std::optional<permission_answer>)>;

    virtual ~owner_service() = default;
    virtual void submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                        owner_reply reply) = 0;
    virtual void cancel(const std::string& job, owner_reply reply) = 0;
    virtual void find(const std::string& job, owner_reply reply) = 0;
    virtual void count_pending(const std::string& queue, owner_reply reply) = 0;
    virtual void ask_permission(const workflow::permission_request& request,
                                permission_reply reply) = 0;

    /// Handles a request to take over. Replies whether this node will try to.
    virtual void offer_ownership(const ownership_offer& offer, flag_reply reply) = 0;

    /// Replies whether the owner of this epoch has recently refused a connection of this node, too.
    /// Called by a node whose own connection was refused.
    virtual void confirm_owner_gone(std::uint64_t epoch, flag_reply reply) = 0;

    /// Gives idle workers of this shard to another one and replies with their number.
    virtual void lend_workers(const workflow::worker_request& request, count_reply reply) = 0;

    /// Stops the owner of this epoch, which another node has replaced, if it is one of this
    /// process. Replies that it hasn't stopped if it is none.
    virtual void stop_owner(std::uint64_t epoch, stop_reply reply) = 0;
};

} // namespace flamingoseam::node
