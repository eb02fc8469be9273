#pragma once

#include "flamingoseam/core/clock.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cxxtools::http {
class Client;
class Request;
} // namespace cxxtools::http

namespace flamingoseam {

/// An IP address and a port.
struct endpoint {
    std::string address;
    unsigned short port = 0;

    bool operator==(const endpoint&) const = default;
    auto operator<=>(const endpoint&) const = default;
};

/// Returns "address:port". Complexity: linear in the text.
std::string to_string(const endpoint& value);

/// Parses "address:port".
/// Throws parse_error (id 103) with the text when it has no address or no port from 1 to 65535.
endpoint endpoint_from_string(const std::string& text);

namespace detail {
class single_send_client;
}

/// The response to an HTTP request.
struct http_answer {
    int status = 0;
    std::string body;
};

/// A request to an HTTP server.
struct http_call {
    std::string method = "GET";
    std::string path; ///< Including the query, for example "/v1/kv?key=a".
    std::string body;
    std::string authorization;
    std::string traceparent;
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< Other headers.
    milliseconds timeout{1000};
    /// Whether the request may be sent again after a timeout, or when the kept connection turns out
    /// to be closed; see http_client::call().
    bool may_send_again = true;
};

/// One keep-alive connection to one server. Not thread-safe.
class http_client {
public:
    explicit http_client(endpoint server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and waits for the response. When a reused connection breaks or delivers no
    /// response within the timeout, cxxtools repeats the request over a new connection. The server
    /// may therefore receive the request twice, and the response is the one to the second copy.
    /// Throws transport_error (id 304), and nothing else, when the request can't be written (it was
    /// not sent then), or the connection could not be established, failed or delivered no response
    /// in time; the request may have reached the server then. The connection is
    /// then closed, and the next call opens a new one. A request that must not reach the server
    /// twice, or a server that started later, is sent with `may_send_again` = false. It fails when
    /// the reused connection turns out to be closed.
    http_answer call(const http_call& request);

    /// Returns the address of the server.
    [[nodiscard]] const endpoint& server() const noexcept { return server_; }

private:
    http_answer send(const cxxtools::http::Request& message, const http_call& request);

    endpoint server_;
    std::unique_ptr<cxxtools::http::Client> client_;
    std::unique_ptr<detail::single_send_client> single_send_client_;
};

/// Returns `text` percent-encoded for use in a query. Complexity: linear.
std::string url_encode(const std::string& text);

} // namespace flamingoseam
