#pragma once

#include "flamingoseam/node/permission_dispatcher.hpp"
#include "flamingoseam/workflow/job_record.hpp"

#include <functional>
#include <string>

namespace flamingoseam::node {

/// What a call about a job has come to. Only `unknown` leaves open whether a job may run.
enum class owner_verdict {
    accepted,  ///< Stored; for a question: answered.
    refused,   ///< Certainly nothing was stored, and nothing will run.
    not_found, ///< There is no such job.
    no_owner,  ///< Nobody answers for the jobs at present; nothing was stored.
    unknown,   ///< No answer in time; the job may have been stored.
};

/// Returns the verdict's name in lower case. Complexity: constant.
const char* to_string(owner_verdict value);

/// Reads a verdict's name. Throws parse_error (id 128) that names the text.
owner_verdict owner_verdict_from_string(const std::string& text);

/// The owner's answer to a call about a job.
struct owner_answer {
    owner_verdict verdict = owner_verdict::unknown;
    std::string reason;
    milliseconds retry_after{0};
    std::string phase; ///< Of the job, in answer to a question about it.
    int pending = 0;   ///< Jobs of a queue that have not begun, in answer to a question about it.
};

/// An owner's wish that another node takes over.
struct ownership_offer {
    std::uint64_t epoch = 0; ///< Of the owner that asks.
    bool is_leaving = false; ///< It is about to end; otherwise it does not reach the store.
};

/// The calls that the owner of the jobs answers, and those that any node answers for the others.
/// Replies may come from any thread.
class owner_service {
public:
    using reply_owner = std::function<void(owner_answer)>;
    using reply_flag = std::function<void(bool)>;
    using reply_permission = std::function<void(std::optional<permission_answer>)>;

    virtual ~owner_service() = default;
    virtual void submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                        reply_owner reply) = 0;
    virtual void cancel(const std::string& job, reply_owner reply) = 0;
    virtual void find(const std::string& job, reply_owner reply) = 0;
    virtual void count_pending(const std::string& queue, reply_owner reply) = 0;
    virtual void ask_permission(const workflow::permission_request& request,
                                reply_permission reply) = 0;

    /// The owner asks this node to take over. The reply tells whether it will try.
    virtual void offer_ownership(const ownership_offer& offer, reply_flag reply) = 0;

    /// Another node could not connect to the owner of this epoch and asks whether it was the same
    /// here.
    virtual void confirm_owner_gone(std::uint64_t epoch, reply_flag reply) = 0;
};

} // namespace flamingoseam::node
