#pragma once

namespace flamingoseam::detail {

/// Ids of the transport_error exceptions thrown by calls to other processes.
inline constexpr int not_connected = 306;      ///< Could not connect in time; nothing was sent.
inline constexpr int no_answer = 307;          ///< The request was sent, but no response arrived.
inline constexpr int refused_connection = 317; ///< No process listens there; nothing was sent.

} // namespace flamingoseam::detail
