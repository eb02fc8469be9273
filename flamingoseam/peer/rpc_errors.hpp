#pragma once

namespace flamingoseam::detail {

/// Ids of the transport_error that calls of other processes throw.
inline constexpr int not_connected = 306;      ///< No connection in time; nothing was sent.
inline constexpr int no_answer = 307;          ///< Sent, but not answered.
inline constexpr int refused_connection = 317; ///< Nothing listens there; nothing was sent.

} // namespace flamingoseam::detail
