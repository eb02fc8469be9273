#include "flamingoseam/core/hash.hpp"

#include <sodium.h>

#include <array>
#include <cstring>

namespace flamingoseam {

std::uint64_t short_hash(const std::string& text)
{
    static const std::array<unsigned char, crypto_shorthash_KEYBYTES> key{};
    std::array<unsigned char, crypto_shorthash_BYTES> digest{};
    crypto_shorthash(digest.data(), reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), key.data());
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

} // namespace flamingoseam
