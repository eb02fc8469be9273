#pragma once

#include <cstdint>
#include <string>

namespace flamingoseam {

/// Returns a 64-bit hash of `text` (SipHash-2-4 of libsodium) that is the same in all processes and
/// versions. Not suitable for secrets: its key is constant. Complexity: linear in the text.
std::uint64_t short_hash(const std::string& text);

} // namespace flamingoseam
