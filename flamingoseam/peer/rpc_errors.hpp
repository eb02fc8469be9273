#pragma once

#include "flamingoseam/core/service_thread.hpp"

#include <kj/exception.h>

#include <string>

namespace flamingoseam::detail {

/// Ids of the transport_error exceptions thrown by calls to other processes.
inline constexpr int not_connected = 306;      ///< Could not connect in time; nothing was sent.
inline constexpr int no_answer = 307;          ///< The request was sent, but no response arrived.
inline constexpr int refused_connection = 317; ///< No process listens there; nothing was sent.

/// Returns a description of the exception that is being handled, without the stack that the text of
/// kj::Exception has. To be called in a catch block.
inline std::string describe_rpc_failure()
{
    try {
        throw;
    } catch (const kj::Exception& cause) {
        return cause.getDescription().cStr();
    } catch (...) {
        return describe_current_exception();
    }
}

} // namespace flamingoseam::detail
