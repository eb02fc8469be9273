#include "flamingoseam/http/http_server.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "tests/child_exit.hpp"
#include "tests/descriptor_limit.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace flamingoseam;

namespace {

constexpr unsigned short port = 17'562;

/// A connection to the server under test.
class client_connection {
public:
    client_connection() : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in server{};
        server.sin_family = AF_INET;
        server.sin_port = htons(port);
        server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&server), sizeof server) == 0);
    }
    ~client_connection() { ::close(socket_); }
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    void send_request() const
    {
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
        REQUIRE(::send(socket_, request.data(), request.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(request.size()));
    }

    /// Waits for the start of a response.
    [[nodiscard]] bool is_answered(milliseconds timeout) const
    {
        pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
        char first = 0;
        return ::poll(&waiting, 1, static_cast<int>(timeout.count())) == 1 &&
               ::recv(socket_, &first, 1, 0) == 1 && first == 'H';
    }

private:
    int socket_;
};

constexpr std::int64_t few_bytes = 16'000'000; ///< Address space for a few threads.

/// Returns the status of the response to one request, or 0 if there is none.
int status_of(const std::string& path = "/")
{
    try {
        http_client client({"127.0.0.1", port});
        return client.call({.path = path, .timeout = milliseconds(3'000)}).status;
    } catch (const transport_error&) {
        return 0;
    }
}

} // namespace

TEST_CASE("a server without a file descriptor for a connection accepts it later")
{
    http_server server({.address = "127.0.0.1", .port = port},
                       [](const http_request& /*request*/) { return http_response{}; });
    std::unique_ptr<client_connection> connection;
    {
        const descriptor_limit limit(1); // For the client's end of the connection.
        connection = std::make_unique<client_connection>();
        connection->send_request();
        CHECK_FALSE(connection->is_answered(milliseconds(300)));
    }
    CHECK(connection->is_answered(milliseconds(2'000)));

    const client_connection next;
    next.send_request();
    CHECK(next.is_answered(milliseconds(2'000)));
}

TEST_CASE("a server has all its threads from the start")
{
    const auto before = own_status("Threads");
    const http_server server({.address = "127.0.0.1", .port = port, .max_threads = 6},
                             [](const http_request& /*request*/) {
                                 std::this_thread::sleep_for(milliseconds(100));
                                 return http_response{};
                             });
    const auto with_server = own_status("Threads");
    CHECK(with_server == before + 7); // One more accepts connections.

    std::vector<client_connection> connections(12);
    for (const auto& connection : connections) {
        connection.send_request();
    }
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(own_status("Threads") == with_server);
    for (const auto& connection : connections) {
        CHECK(connection.is_answered(milliseconds(2'000)));
    }
}

TEST_CASE("a server that can't start its threads reports it, and the process does not end")
{
    if (has_sanitizer) {
        WARN("not run: a sanitizer needs address space of its own");
        return;
    }
    const auto end = exit_of_child([] {
        std::atomic<int> calls{0};
        limit_address_space(few_bytes);
        try {
            const http_server server({.address = "127.0.0.1", .port = port},
                                     [&calls](const http_request& /*request*/) {
                                         ++calls;
                                         return http_response{};
                                     });
        } catch (const resource_error& cause) {
            status_of();
            return calls == 0 ? cause.id() : 1;
        }
        return 2;
    });
    CHECK(end.signal == 0);
    CHECK(end.code == 402 % 256);
}

TEST_CASE("requests that arrive when there is no thread left do not end the process")
{
    if (has_sanitizer) {
        WARN("not run: a sanitizer needs address space of its own");
        return;
    }
    const auto end = exit_of_child([] {
        const http_server server({.address = "127.0.0.1", .port = port},
                                 [](const http_request& /*request*/) {
                                     std::this_thread::sleep_for(milliseconds(200));
                                     return http_response{};
                                 });
        limit_address_space(few_bytes);
        std::vector<client_connection> connections(20);
        for (const auto& connection : connections) {
            connection.send_request();
        }
        for (const auto& connection : connections) {
            if (!connection.is_answered(milliseconds(2'000))) {
                return 1;
            }
        }
        return 0;
    });
    CHECK(end.signal == 0);
    CHECK(end.code == 0);
}

TEST_CASE("an exception of any type that leaves a handler is answered and costs no thread")
{
    const http_server server({.address = "127.0.0.1", .port = port, .max_threads = 3},
                             [](const http_request& request) -> http_response {
                                 if (request.path == "/number") {
                                     throw 1;
                                 }
                                 throw std::out_of_range("no such element");
                             });
    const auto threads = own_status("Threads");
    for (int number = 0; number < 5; ++number) {
        CHECK(status_of("/number") == 500);
        CHECK(status_of("/range") == 500);
    }
    CHECK(own_status("Threads") == threads);
}
