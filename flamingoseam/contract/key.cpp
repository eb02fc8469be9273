#include "flamingoseam/contract/key.hpp"

#include <sodium.h>

#include <array>

namespace flamingoseam {

std::string hash_key(const std::string& key)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char*>(key.data()), key.size(), nullptr, 0);
    std::string text(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

std::string bearer_key(const std::string& authorization)
{
    static const std::string prefix = "Bearer ";
    if (!authorization.starts_with(prefix)) {
        return {};
    }
    return authorization.substr(prefix.size());
}

bool is_known_key(const std::string& key, const std::vector<std::string>& hashes)
{
    if (key.empty()) {
        return false;
    }
    const auto hash = hash_key(key);
    bool known = false;
    for (const auto& candidate : hashes) {
        known |= candidate.size() == hash.size() &&
                 sodium_memcmp(candidate.data(), hash.data(), hash.size()) == 0;
    }
    return known;
}

} // namespace flamingoseam
