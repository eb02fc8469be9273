#include "flamingoseam/http/connection_selector.hpp"

#include <cxxtools/ioerror.h>

#include <poll.h>
#include <sys/stat.h>

namespace flamingoseam::detail {

namespace {

/// Checks whether a connection on which no answer is awaited has been closed, or has data that
/// belongs to no request.
bool is_readable(int socket)
{
    ::pollfd polled{.fd = socket, .events = POLLIN, .revents = 0};
    return ::poll(&polled, 1, 0) > 0;
}

} // namespace

const cxxtools::net::TcpSocket& connection_selector::socket() const
{
    return dynamic_cast<const cxxtools::net::TcpSocket&>(*added_);
}

void connection_selector::keep_connection()
{
    kept_socket_ = connected_socket();
    if (kept_socket_ && is_readable(socket().getFd())) {
        throw cxxtools::IOError("the server has closed the kept connection");
    }
}

void connection_selector::check_connection() const
{
    if (kept_socket_ && connected_socket() != kept_socket_) {
        throw cxxtools::IOError("the kept connection was closed, and the request is not repeated");
    }
}

void connection_selector::onAdd(cxxtools::Selectable& added)
{
    cxxtools::Selector::onAdd(added);
    added_ = &added;
}

std::optional<::ino_t> connection_selector::connected_socket() const
{
    struct ::stat status = {};
    const bool is_connected = added_ != nullptr && socket().isConnected();
    if (!is_connected || ::fstat(socket().getFd(), &status) != 0) {
        return std::nullopt;
    }
    return status.st_ino;
}

} // namespace flamingoseam::detail
