#pragma once

#include "flamingoseam/node/commit_stream.hpp"
#include "flamingoseam/node/membership.hpp"
#include "flamingoseam/workflow/stored_job.hpp"

#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// What a node needs to become the owner.
struct owner_claim {
    std::string owner_key;
    std::vector<std::string> head_keys; ///< One for each chain of transactions.
    member self;
    std::uint64_t known_epoch = 0;    ///< Of the owner that is to be replaced; 0 for none.
    std::uint64_t known_revision = 0; ///< Of that owner's record; 0 when there is none.
    milliseconds timeout{700};        ///< Of one attempt.
    int most_attempts = 8;
};

/// A head that stands in the store and makes its writer the owner.
struct claimed_head {
    stream_head head;
    std::uint64_t revision = 0; ///< Of the owner's record and of every chain's head.
};

/// Replaces the owner's record, on condition that it is still the known one, and with it the heads
/// of all chains, so that no transaction of an earlier owner can be applied any more. An attempt
/// without an answer is repeated. Returns none when another node was first or no attempt was
/// answered. Complexity: one call to the store, as a rule.
std::optional<claimed_head> claim_ownership(shared_store& store, const owner_claim& claim);

/// What earlier owners have left in the store.
struct stored_state {
    std::vector<workflow::job_record> jobs;
    std::vector<workflow::worker_entry> roster; ///< Workers that may hold runs.
};

/// Reads jobs, their progress and the roster at one time, over a connection each. Nobody but the
/// caller may be the owner meanwhile. Throws error when the store does not answer.
stored_state read_stored_state(const shared_store_factory& stores,
                               const workflow::record_keys& keys);

} // namespace flamingoseam::node
