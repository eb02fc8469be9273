#include "standins/base64.hpp"

#include <sodium.h>

#include <stdexcept>

namespace flamingoseam::standin {

namespace {

constexpr int variant = sodium_base64_VARIANT_ORIGINAL;

} // namespace

std::string to_base64(const std::string& bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                          text.size(), nullptr, &size, nullptr, variant) != 0) {
        throw std::invalid_argument("malformed base64 text");
    }
    bytes.resize(size);
    return bytes;
}

} // namespace flamingoseam::standin
