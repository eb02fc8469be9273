#pragma once

#include "flamingoseam/core/clock.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cxxtools::http {
class Client;
}

namespace flamingoseam {

/// An IP number and a port.
struct endpoint {
    std::string address;
    unsigned short port = 0;

    bool operator==(const endpoint&) const = default;
    auto operator<=>(const endpoint&) const = default;
};

/// Returns "address:port". Complexity: linear in the text.
std::string to_string(const endpoint& value);

/// Reads "address:port".
/// Throws parse_error (id 103) that names the text when it has no port from 1 to 65535.
endpoint endpoint_from_string(const std::string& text);

/// The answer to an HTTP request.
struct http_answer {
    int status = 0;
    std::string body;
};

/// What a request sends besides its path.
struct http_call {
    std::string method = "GET";
    std::string path; ///< With its query, for example "/v1/kv?key=a".
    std::string body;
    std::string authorization;
    std::string traceparent;
    std::vector<std::pair<std::string, std::string>> headers = {}; ///< Any others, by name.
    milliseconds timeout{1000};
};

/// One kept-alive connection to one server. Not for use from two threads at one time.
class http_client {
public:
    explicit http_client(endpoint server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and waits for its answer. When a kept connection breaks or stays silent for
    /// the whole time-out, the library sends the request again over a new one, so the server may
    /// get it twice and the answer is that to the second copy.
    /// Throws transport_error (id 304) when no connection could be made or when it failed or stayed
    /// silent; the request may have reached the server. The connection is given up, so the next
    /// call makes a new one.
    http_answer call(const http_call& request);

    /// Returns the server that this client speaks to.
    [[nodiscard]] const endpoint& server() const noexcept { return server_; }

private:
    endpoint server_;
    std::unique_ptr<cxxtools::http::Client> client_;
};

/// Percent-encodes text for use in a query. Complexity: linear.
std::string url_encode(const std::string& text);

} // namespace flamingoseam
