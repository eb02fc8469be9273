#include "flamingoseam/log/ready_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr std::size_t max_piece_bytes = 4'096; ///< PIPE_BUF: a writable pipe accepts as many.

} // namespace

std::optional<std::size_t> write_ready(int descriptor, std::string_view text, milliseconds timeout)
{
    std::size_t done = 0;
    while (done < text.size()) {
        pollfd ready{.fd = descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&ready, 1, static_cast<int>(timeout.count())) <= 0) {
            return done;
        }
        const auto piece = text.substr(done, max_piece_bytes);
        const auto written = ::write(descriptor, piece.data(), piece.size());
        if (written <= 0) {
            return std::nullopt;
        }
        done += static_cast<std::size_t>(written);
    }
    return done;
}

} // namespace flamingoseam
