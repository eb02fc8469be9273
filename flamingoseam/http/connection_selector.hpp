#pragma once

#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

#include <sys/types.h>

#include <optional>

namespace flamingoseam::detail {

/// Handles the events of one connection of the HTTP library, whose socket it makes accessible.
///
/// When a kept connection turns out to be closed, the library establishes another one and sends the
/// request again. The new connection is never established within the call that begins it, so that
/// a check after each step of the library ends such a request before it is written.
class connection_selector final : public cxxtools::Selector {
public:
    /// The socket of the connection. Must not be called before a request was begun.
    [[nodiscard]] const cxxtools::net::TcpSocket& socket() const;

    /// To be called before a request is begun that must not reach another connection than the kept
    /// one, if there is one. Throws cxxtools::IOError if the server has closed that connection.
    void keep_connection();

    /// Permits the next request to be sent on any connection.
    void release_connection() noexcept { kept_socket_.reset(); }

    /// To be called after each step of a request that is not finished. Throws cxxtools::IOError if
    /// the request is about to be sent on another connection than the kept one.
    void check_connection() const;

protected:
    void onAdd(cxxtools::Selectable& added) override;

private:
    /// Identifies the socket for as long as it exists, unlike its descriptor, which the library
    /// gets again for the next socket. None if there is no connection.
    [[nodiscard]] std::optional<::ino_t> connected_socket() const;

    cxxtools::Selectable* added_ = nullptr;
    std::optional<::ino_t> kept_socket_; ///< None if the request may be sent on any connection.
};

} // namespace flamingoseam::detail
