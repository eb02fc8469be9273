#pragma once

#include <cstdint>
#include <string>

namespace flamingoseam {

/// Returns a 64-bit hash of a text (SipHash-2-4 by libsodium) that is the same in every process and
/// version. Not for secrets. Complexity: linear.
std::uint64_t short_hash(const std::string& text);

} // namespace flamingoseam
