#pragma once

#include "flamingoseam/core/call_result.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/http/io_loop.hpp"

#include <functional>
#include <memory>

namespace flamingoseam {

namespace detail {
class async_connection;
}

/// One keep-alive connection to one server, on the thread of a loop. To be used on that thread
/// only, except that a client without a call may be created on any.
class async_http_client {
public:
    using answer_handler = std::function<void(call_result<http_answer>)>;

    async_http_client(io_loop& loop, endpoint server);

    /// Cancels a call in flight, whose handler is not called any more. The server may nevertheless
    /// receive the request.
    ~async_http_client();

    async_http_client(const async_http_client&) = delete;
    async_http_client& operator=(const async_http_client&) = delete;

    /// Sends a request, never again after a timeout, whatever `may_send_again` says; that decides
    /// only whether it is repeated when the kept connection turns out to be closed. Calls `handler`
    /// once, after this function has returned, with the answer or with the transport_error (id 304)
    /// of http_client::call(). The handler may destroy the client. There must be no other call in
    /// flight.
    void call(const http_call& request, answer_handler handler);

private:
    void finish();
    http_answer take_answer();

    io_loop& loop_;
    endpoint server_;
    std::string path_; ///< Of the call in flight.
    answer_handler handler_;
    std::unique_ptr<detail::async_connection> connection_;
    std::exception_ptr failure_; ///< Why the request could not be sent.
    io_timer end_;               ///< Due when the call has ended or its time is over.
};

} // namespace flamingoseam
