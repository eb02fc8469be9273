#include "flamingoseam/peer/rendezvous.hpp"

#include <sodium.h>

#include <array>
#include <cstdint>
#include <cstring>

namespace flamingoseam {

namespace {

std::uint64_t weight_of(const std::string& key, const std::string& candidate)
{
    static const std::array<unsigned char, crypto_shorthash_KEYBYTES> hash_key{};
    const auto text = key + '\n' + candidate;
    std::array<unsigned char, crypto_shorthash_BYTES> digest{};
    crypto_shorthash(digest.data(), reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), hash_key.data());
    std::uint64_t weight = 0;
    std::memcpy(&weight, digest.data(), sizeof weight);
    return weight;
}

} // namespace

std::string choose_by_hash(const std::string& key, const std::vector<std::string>& candidates)
{
    std::string best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : candidates) {
        const auto weight = weight_of(key, candidate);
        if (best.empty() || weight > best_weight || (weight == best_weight && candidate < best)) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace flamingoseam
