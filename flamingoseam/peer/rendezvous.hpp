#pragma once

#include <string>
#include <vector>

namespace flamingoseam {

/// Returns the candidate that rendezvous hashing gives for a key, an empty text when there is none.
/// Every process gets the same answer; when a candidate goes, only its keys move.
/// Complexity: linear in the number of candidates.
std::string choose_by_hash(const std::string& key, const std::vector<std::string>& candidates);

} // namespace flamingoseam
