#pragma once

#include "flamingoseam/node/membership.hpp"

#include <optional>
#include <vector>

namespace flamingoseam::node {

/// Returns the members in the order in which they should own the jobs after the owner of `epoch`:
/// the largest share of a processor first, since the owner needs the most; among equal ones the
/// order differs from epoch to epoch. Complexity: n log n.
std::vector<member> candidate_order(const membership_view& view, std::uint64_t epoch);

/// Returns the member that should own the jobs in place of `owner`, none when no member has a much
/// larger share of a processor. Complexity: n log n.
std::optional<member> find_stronger(const membership_view& view, const member& owner,
                                    std::uint64_t epoch);

} // namespace flamingoseam::node
