#pragma once

#include "flamingoseam/node/owner_service.hpp"

#include <functional>

namespace flamingoseam::node {

/// Timeouts of a call that is forwarded to the current owner of the jobs.
struct owner_call_options {
    milliseconds timeout{2'500}; ///< Timeout of the call with all its attempts.
    /// Timeout of one attempt; the owner may have ended undetected.
    milliseconds attempt_timeout{1'000};
    milliseconds owner_wait{700};     ///< How long a call waits until there is an owner.
    milliseconds retry_interval{100}; ///< Maximum wait between attempts.
    /// Returns when the call must have ended; evaluated before each attempt. Null for no limit
    /// beyond the timeout.
    std::function<time_point()> latest_end = nullptr;
};

/// Makes one attempt that takes at most `limit`.
using owner_attempt = std::function<owner_answer(milliseconds limit)>;

/// Waits until the owner may have changed, at most for `limit`.
using owner_change_wait = std::function<void(milliseconds limit)>;

/// Calls the owner and retries while there is no owner or an attempt was not answered. Retries are
/// safe since all calls about jobs are idempotent. An unanswered attempt may still have stored a
/// job, so a refusal after one is reported as `unknown`. Throws what `attempt` throws.
owner_answer call_owner(const owner_call_options& options, const owner_attempt& attempt,
                        const owner_change_wait& wait_for_change);

} // namespace flamingoseam::node
