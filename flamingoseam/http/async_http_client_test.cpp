#include "flamingoseam/http/async_http_client.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/http_server.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <thread>

using namespace flamingoseam;

namespace {

constexpr unsigned short port = 17'563;

/// A client that is used from the thread of the test.
class tested_client {
public:
    explicit tested_client(endpoint server)
        : client_(std::make_unique<async_http_client>(loop_, std::move(server)))
    {
    }
    ~tested_client() { destroy(); }
    tested_client(const tested_client&) = delete;
    tested_client& operator=(const tested_client&) = delete;

    /// Begins a call and returns its result later.
    std::future<call_result<http_answer>> begin(http_call request)
    {
        auto result = std::make_shared<std::promise<call_result<http_answer>>>();
        loop_.post([this, request = std::move(request), result] {
            client_->call(request, [this, result](call_result<http_answer> answer) {
                ++results;
                result->set_value(std::move(answer));
            });
        });
        return result->get_future();
    }

    http_answer call(const http_call& request) { return begin(request).get().take(); }

    void destroy()
    {
        const auto done = std::make_shared<std::promise<void>>();
        loop_.post([this, done] {
            client_.reset();
            done->set_value();
        });
        done->get_future().wait();
    }

    std::atomic<int> results{0};

private:
    io_loop loop_{"test", thread_duty::polls};
    std::unique_ptr<async_http_client> client_;
};

http_call post_of(const std::string& path, milliseconds timeout, std::string body = "text")
{
    return {.method = "POST", .path = path, .body = std::move(body), .timeout = timeout};
}

/// A socket that listens, and accepts no connections until it is told to.
class idle_listener {
public:
    idle_listener() : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(socket_, generic, size) == 0);
        REQUIRE(::listen(socket_, 0) == 0);
        REQUIRE(::getsockname(socket_, generic, &size) == 0);
        port_ = ::ntohs(address.sin_port);
    }
    ~idle_listener() { ::close(socket_); }
    idle_listener(const idle_listener&) = delete;
    idle_listener& operator=(const idle_listener&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }

    /// Accepts a connection and returns its socket.
    [[nodiscard]] int accept() const { return ::accept(socket_, nullptr, nullptr); }

private:
    int socket_;
    unsigned short port_ = 0;
};

} // namespace

TEST_CASE("a request that doesn't block")
{
    std::atomic<int> received{0};
    std::atomic<int> delay_ms{0};
    const std::string large(3'000'000, 'x');
    auto server = std::make_unique<http_server>(
        http_server_options{.address = "127.0.0.1", .port = port, .max_body_bytes = 4'000'000},
        [&](const http_request& request) {
            ++received;
            std::this_thread::sleep_for(milliseconds(delay_ms.load()));
            return http_response{.status = 201,
                                 .body = request.path == "/large" ? large : request.body};
        });
    tested_client client({"127.0.0.1", port});

    SECTION("gets its whole answer, over one connection")
    {
        for (int number = 0; number < 3; ++number) {
            const auto answer = client.call(post_of("/small", milliseconds(1'000)));
            CHECK(answer.status == 201);
            CHECK(answer.body == "text");
        }
        CHECK(client.call(post_of("/large", milliseconds(5'000))).body == large);
        CHECK(client.call(post_of("/small", milliseconds(5'000), large)).body == large);
        CHECK(client.call(post_of("/small", milliseconds(1'000))).body == "text");
    }
    SECTION("is not sent again after a timeout on a connection that was used before")
    {
        client.call(post_of("/small", milliseconds(1'000)));
        delay_ms = 400;
        const auto began = now();
        CHECK_THROWS_AS(client.call(post_of("/small", milliseconds(100))), transport_error);
        CHECK(now() - began < milliseconds(200));
        std::this_thread::sleep_for(milliseconds(500));
        CHECK(received == 2);
        CHECK(client.results == 2);

        delay_ms = 0;
        CHECK(client.call(post_of("/small", milliseconds(1'000))).status == 201);
    }
    SECTION("fails at once if nothing listens")
    {
        server.reset();
        const auto began = now();
        CHECK_THROWS_AS(client.call(post_of("/small", milliseconds(1'000))), transport_error);
        CHECK(now() - began < milliseconds(500));
    }
    SECTION("gets an answer from a server that was restarted between two requests")
    {
        client.call(post_of("/small", milliseconds(1'000)));
        server.reset();
        std::this_thread::sleep_for(milliseconds(50));
        server = std::make_unique<http_server>(
            http_server_options{.address = "127.0.0.1", .port = port},
            [](const http_request& /*request*/) { return http_response{.status = 202}; });
        CHECK(client.call(post_of("/small", milliseconds(1'000))).status == 202);
    }
    SECTION("does not reach a server that started later if it must not be sent again")
    {
        auto call = post_of("/small", milliseconds(1'000));
        call.may_send_again = false;
        CHECK(client.call(call).status == 201);
        server.reset();
        std::atomic<int> received_later{0};
        server =
            std::make_unique<http_server>(http_server_options{.address = "127.0.0.1", .port = port},
                                          [&](const http_request& /*request*/) {
                                              ++received_later;
                                              return http_response{.status = 202};
                                          });
        CHECK_THROWS_AS(client.call(call), transport_error);
        CHECK(received_later == 0);
        CHECK(client.call(call).status == 202);
        server.reset();
    }
    SECTION("has no result any more once its client has been destroyed")
    {
        delay_ms = 100;
        const auto result = client.begin(post_of("/small", milliseconds(1'000)));
        std::this_thread::sleep_for(milliseconds(30));
        client.destroy();
        std::this_thread::sleep_for(milliseconds(200));
        CHECK(client.results == 0);
    }
}

TEST_CASE("a client may be destroyed in the handler of its answer")
{
    const http_server server(
        {.address = "127.0.0.1", .port = port},
        [](const http_request& /*request*/) { return http_response{.status = 201}; });
    io_loop loop("test", thread_duty::polls);
    const auto status = std::make_shared<std::promise<int>>();
    loop.post([&loop, status] {
        auto client = std::make_shared<async_http_client>(loop, endpoint{"127.0.0.1", port});
        auto& called = *client;
        called.call({.path = "/"},
                    [client = std::move(client), status](call_result<http_answer> result) mutable {
                        client.reset();
                        status->set_value(result.take().status);
                    });
    });
    CHECK(status->get_future().get() == 201);
}

TEST_CASE("a connection that is established late is used as soon as it is")
{
    const idle_listener listener;
    tested_client first(listener.address());
    tested_client second(listener.address()); // The backlog has no room for it.
    auto earlier = first.begin(post_of("/", milliseconds(300)));
    std::this_thread::sleep_for(milliseconds(50));
    auto later = second.begin(post_of("/", milliseconds(4'000)));
    CHECK_THROWS_AS(earlier.get().take(), transport_error);

    const int given_up = listener.accept();
    const int connected = listener.accept();
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::array<char, 2'000> request{};
    CHECK(::recv(connected, request.data(), request.size(), 0) > 0);
    CHECK(::send(connected, answer.data(), answer.size(), 0) > 0);
    CHECK(later.get().take().body == "ok");
    ::close(given_up);
    ::close(connected);
}

TEST_CASE("a request whose kept connection is closed while it waits for its answer is not repeated")
{
    const idle_listener listener;
    tested_client client(listener.address());
    auto call = post_of("/", milliseconds(2'000));
    call.may_send_again = false;
    auto first = client.begin(call);
    const int connected = listener.accept();
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::array<char, 2'000> request{};
    REQUIRE(::recv(connected, request.data(), request.size(), 0) > 0);
    REQUIRE(::send(connected, answer.data(), answer.size(), 0) > 0);
    CHECK(first.get().take().body == "ok");

    auto second = client.begin(call);
    REQUIRE(::recv(connected, request.data(), request.size(), 0) > 0);
    ::close(connected);
    const auto closed_at = now();
    CHECK_THROWS_AS(second.get().take(), transport_error);
    CHECK(now() - closed_at < milliseconds(1'000));

    // The library may have opened a connection, on which nothing must have been written.
    auto third = client.begin(call);
    ::ssize_t received = 0;
    while (received == 0) {
        const int next = listener.accept();
        received = ::recv(next, request.data(), request.size(), 0);
        if (received > 0) {
            REQUIRE(::send(next, answer.data(), answer.size(), 0) > 0);
            CHECK(third.get().take().body == "ok");
        }
        ::close(next);
    }
    CHECK(client.results == 3);
}

TEST_CASE("an answer that comes in pieces, or breaks off, has one result")
{
    const idle_listener listener;
    tested_client client(listener.address());
    auto result = client.begin(post_of("/", milliseconds(2'000)));
    const int connected = listener.accept();
    std::array<char, 2'000> request{};
    REQUIRE(::recv(connected, request.data(), request.size(), 0) > 0);
    const auto send = [connected](const std::string& text) {
        REQUIRE(::send(connected, text.data(), text.size(), 0) > 0);
        std::this_thread::sleep_for(milliseconds(20));
    };
    send("HTTP/1.1 200 OK\r\nCont");
    send("ent-Length: 6\r\n\r\nab");

    SECTION("in pieces")
    {
        send("cd");
        send("ef");
        CHECK(result.get().take().body == "abcdef");
    }
    SECTION("broken off")
    {
        const auto closed_at = now();
        ::shutdown(connected, SHUT_RDWR);
        CHECK_THROWS_AS(result.get().take(), transport_error);
        CHECK(now() - closed_at < milliseconds(1'000));
    }
    ::close(connected);
    CHECK(client.results == 1);
}
