#pragma once

#include <array>
#include <cstddef>
#include <istream>

namespace flamingoseam::detail {

/// Reads the bytes that a stream can deliver without waiting and passes them in pieces to
/// `append(data, size)`. Returns their number.
template <typename Append> std::size_t read_available(std::istream& in, const Append& append)
{
    std::array<char, 4096> buffer{};
    std::size_t total = 0;
    while (in.rdbuf()->in_avail() > 0) {
        const auto count = in.readsome(buffer.data(), buffer.size());
        if (count <= 0) {
            break;
        }
        const auto size = static_cast<std::size_t>(count);
        append(buffer.data(), size);
        total += size;
    }
    return total;
}

} // namespace flamingoseam::detail
