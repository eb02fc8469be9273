#pragma once

#include "flamingoseam/node/owner_service.hpp"

#include <functional>

namespace flamingoseam::node {

/// How a call about a job is passed to whoever owns the jobs.
struct owner_call_options {
    milliseconds timeout{2'500};       ///< Of the whole call.
    milliseconds attempt_limit{1'000}; ///< Of one attempt; the owner may have died unnoticed.
    milliseconds owner_wait{700};      ///< How long a call waits for the next owner.
    milliseconds pause{100};           ///< Between attempts, at most.
};

/// One attempt, with the time that it may take.
using owner_attempt = std::function<owner_answer(milliseconds limit)>;

/// Waits until the owner may have changed, at most so long.
using owner_change = std::function<void(milliseconds limit)>;

/// Asks the owner, again when there is none at present or an attempt had no answer: all calls about
/// jobs are idempotent. An attempt without an answer may still have stored a job, so a refusal that
/// follows one is reported as `unknown`. Throws what `attempt` throws.
owner_answer call_owner(const owner_call_options& options, const owner_attempt& attempt,
                        const owner_change& wait_for_change);

} // namespace flamingoseam::node
