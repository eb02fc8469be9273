#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/service_thread.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam {

/// A request as it is passed to a handler.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    std::string authorization;                  ///< The value of the Authorization header.
    std::string traceparent;                    ///< The value of the W3C traceparent header.
    std::map<std::string, std::string> headers; ///< The headers listed in http_server_options.
    bool body_too_large = false;

    /// Returns the query parameter `name`, or `fallback` when it is absent.
    [[nodiscard]] std::string query_or(const std::string& name, const std::string& fallback) const;
};

/// The response of a handler.
struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< Other headers.
    bool close_without_answer = false; ///< Stand-ins use it to simulate a lost answer.
};

using http_handler = std::function<http_response(const http_request&)>;

/// The address and the limits of a server.
struct http_server_options {
    std::string address;     ///< An IP address.
    unsigned short port = 0; ///< 1 to 65535.
    /// Maximum number of concurrent requests. All these threads are started with the server.
    unsigned max_threads = 64;
    std::size_t max_body_bytes = 1'000'000; ///< Handlers answer longer bodies with 413.
    milliseconds read_timeout = std::chrono::seconds(10);    ///< Limit for a slow sender.
    milliseconds keep_alive_timeout = std::chrono::hours(1); ///< Limit for idle connections.
    std::vector<std::string> kept_headers = {}; ///< Names of further headers that are passed on.
};

namespace detail {
class http_server_loop;
}

/// An HTTP/1.1 server with its own threads, based on cxxtools. An exception of any type that a
/// handler throws is answered with 500.
class http_server {
public:
    /// Starts listening and passes every request to `handler`, which several threads call
    /// concurrently. Throws transport_error (id 301) when the address cannot be bound, and
    /// resource_error when the system has not enough threads left: id 401 if nothing was started,
    /// else id 402. After 402 the address stays bound until the process ends, but requests don't
    /// reach the handler.
    http_server(const http_server_options& options, http_handler handler);

    /// Stops the server as stop() does.
    ~http_server();

    /// Closes every connection after its next response, so that callers connect to another server.
    void close_after_answers();

    /// Stops listening, waits until the requests that are being handled are answered, and closes
    /// all connections. Has no effect on a stopped server.
    void stop();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    std::unique_ptr<detail::http_server_loop> loop_;
    service_thread thread_;
};

} // namespace flamingoseam
