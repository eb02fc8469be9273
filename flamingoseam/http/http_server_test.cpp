#include "flamingoseam/http/http_server.hpp"

#include "tests/descriptor_limit.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

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
