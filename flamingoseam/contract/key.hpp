#pragma once

#include "flamingoseam/contract/contract.hpp"

#include <string>

namespace flamingoseam {

/// Returns the BLAKE2b-256 hash of a key in hexadecimal, by libsodium. Keys are long random texts,
/// so a fast hash suffices; the key itself is neither kept nor logged. Complexity: linear.
std::string hash_key(const std::string& key);

/// Returns the key in an "Authorization: Bearer KEY" header's value, empty when it has none.
std::string bearer_key(const std::string& authorization);

/// Tells whether a key's hash is among `hashes`, compared in constant time.
/// Complexity: linear in the number of hashes.
bool is_known_key(const std::string& key, const std::vector<std::string>& hashes);

} // namespace flamingoseam
