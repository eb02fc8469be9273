#include "flamingoseam/peer/rendezvous.hpp"

#include "flamingoseam/core/hash.hpp"

#include <cstdint>

namespace flamingoseam {

std::string choose_by_hash(const std::string& key, const std::vector<std::string>& candidates)
{
    std::string best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : candidates) {
        const auto weight = short_hash(key + '\n' + candidate);
        if (best.empty() || weight > best_weight || (weight == best_weight && candidate < best)) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace flamingoseam
