#pragma once

#include "flamingoseam/node/membership.hpp"
#include "flamingoseam/node/shard.hpp"

#include <optional>
#include <vector>

namespace flamingoseam::node {

/// Returns the members in the order in which they should take over the jobs from the owner of
/// `epoch`: by descending processor share, since the owner needs the most processor time. Members
/// with equal shares are divided among the shards of the cell, so that their owners are different
/// members, and are ordered differently in each epoch. Complexity: n log n.
std::vector<member> candidate_order(const membership_view& view, std::uint64_t epoch,
                                    const shard_identity& shard = {});

/// Returns the member that should replace `owner`, none when no member has a much larger processor
/// share. Complexity: n log n.
std::optional<member> find_stronger(const membership_view& view, const member& owner,
                                    std::uint64_t epoch, const shard_identity& shard = {});

} // namespace flamingoseam::node
