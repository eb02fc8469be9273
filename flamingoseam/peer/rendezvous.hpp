#pragma once

#include <string>
#include <vector>

namespace flamingoseam {

/// Returns the candidate that rendezvous hashing selects for a key, or an empty string if there are
/// no candidates. Every process selects the same candidate; when a candidate is removed, only its
/// keys are reassigned.
/// Complexity: linear in the number of candidates.
std::string choose_by_hash(const std::string& key, const std::vector<std::string>& candidates);

} // namespace flamingoseam
