#pragma once

#include "flamingoseam/node/commit_stream.hpp"
#include "flamingoseam/node/membership.hpp"
#include "flamingoseam/workflow/stored_job.hpp"

#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// A node's claim to become the owner.
struct owner_claim {
    std::string owner_key;
    std::vector<std::string> head_keys; ///< One key for each commit stream.
    member self;
    std::uint64_t expected_epoch = 0;    ///< Epoch of the owner to be replaced; 0 if there is none.
    std::uint64_t expected_revision = 0; ///< Revision of that owner's record; 0 if there is none.
    /// Key that must not exist: the member record of an owner that is replaced because its lease
    /// has ended. If it has rejoined meanwhile, it may go on. Empty for no such condition.
    std::string absent_key = {};
    /// Tells the claims of one process for one shard apart, so that none takes the record of
    /// another for its own.
    std::uint64_t number = 0;
    milliseconds timeout{700}; ///< Timeout of one attempt.
    int max_attempts = 8;
};

/// The head record that a successful claim has stored.
struct claimed_head {
    stream_head head;
    std::uint64_t revision = 0; ///< Revision of the owner's record and of each stream's head.
    /// When the attempt was sent whose answer shows that the claim is stored, by boot_now().
    time_point sent{};
};

/// Replaces the owner's record, on condition that it has the expected revision, together with the
/// heads of all commit streams, so that no transaction of an earlier owner can be applied any more.
/// Retries when the store does not answer. Returns none when another node was first or no attempt
/// was answered. Complexity: usually one call to the store.
std::optional<claimed_head> claim_ownership(shared_store& store, const owner_claim& claim);

/// Checks whether the owner to be replaced has no member record any more.
bool is_owner_record_missing(const membership_view& view);

/// Returns for how long after a claim on the basis of a view an earlier owner may still act as the
/// owner; none if there was no owner. That its record is missing shows nothing of the owner: the
/// store may have removed the record early, and further owners may have come and gone before.
std::optional<milliseconds> earlier_certainty(const membership_view& view);

/// The state that earlier owners have stored.
struct stored_state {
    workflow::stored_jobs jobs;
    std::vector<workflow::worker_entry> leased_workers; ///< Workers that may have assigned runs.
};

/// Reads jobs, their progress and the leased workers concurrently, over one connection each, or one
/// after the other if the system has no threads left. The caller must be the owner throughout.
/// Throws error when the store does not answer.
stored_state read_stored_state(const shared_store_factory& stores,
                               const workflow::record_keys& keys);

} // namespace flamingoseam::node
