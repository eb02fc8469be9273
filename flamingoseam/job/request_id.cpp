#include "flamingoseam/job/request_id.hpp"

#include <sodium.h>

#include <array>
#include <charconv>

namespace flamingoseam {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::array<std::size_t, 4> dash_positions = {8, 13, 18, 23};

bool is_uuid(const std::string& id)
{
    if (id.size() != uuid_length) {
        return false;
    }
    for (std::size_t i = 0; i < id.size(); ++i) {
        const bool is_dash = i == dash_positions[0] || i == dash_positions[1] ||
                             i == dash_positions[2] || i == dash_positions[3];
        if (is_dash ? id[i] != '-' : std::isxdigit(static_cast<unsigned char>(id[i])) == 0) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string make_request_id(wall_time wall)
{
    std::array<unsigned char, 16> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    auto time = static_cast<std::uint64_t>(wall.count());
    for (int i = 5; i >= 0; --i) {
        bytes.at(static_cast<std::size_t>(i)) = static_cast<unsigned char>(time & 0xff);
        time >>= 8;
    }
    bytes[6] = static_cast<unsigned char>((bytes[6] & 0x0f) | 0x70);
    bytes[8] = static_cast<unsigned char>((bytes[8] & 0x3f) | 0x80);
    std::array<char, 33> hex{};
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    std::string text(hex.data());
    for (const auto position : dash_positions) {
        text.insert(position, 1, '-');
    }
    return text;
}

std::optional<wall_time> time_of_request_id(const std::string& text)
{
    const auto id = text.starts_with(entry_id_prefix) ? text.substr(entry_id_prefix.size()) : text;
    if (!is_uuid(id) || id[14] != '7') {
        return std::nullopt;
    }
    const auto digits = id.substr(0, 8) + id.substr(9, 4);
    std::uint64_t milliseconds_since_epoch = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds_since_epoch, 16);
    return wall_time(static_cast<std::int64_t>(milliseconds_since_epoch));
}

} // namespace flamingoseam
