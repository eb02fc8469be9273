#pragma once

#include "flamingoseam/contract/contract.hpp"

#include <string>

namespace flamingoseam {

/// Returns the BLAKE2b-256 hash of a key in hexadecimal, computed by libsodium. Keys are long
/// random strings, so a fast hash suffices; the key itself is neither stored nor logged.
/// Complexity: linear.
std::string hash_key(const std::string& key);

/// Returns the key from the value of an "Authorization: Bearer KEY" header, an empty string if it
/// is not a bearer key.
std::string bearer_key(const std::string& authorization);

/// Checks whether the hash of a key is in `hashes`; hashes are compared in constant time.
/// Complexity: linear in the number of hashes.
bool is_known_key(const std::string& key, const std::vector<std::string>& hashes);

} // namespace flamingoseam
