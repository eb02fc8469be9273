#include "flamingoseam/http/http_client.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/http_server.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace flamingoseam;

TEST_CASE("a request that must not be sent again")
{
    std::atomic<int> received{0};
    std::atomic<int> delay_ms{0};
    constexpr unsigned short port = 17'561;
    const std::string large(20'000, 'x');
    auto server = std::make_unique<http_server>(
        http_server_options{.address = "127.0.0.1", .port = port},
        [&](const http_request& request) {
            ++received;
            std::this_thread::sleep_for(milliseconds(delay_ms.load()));
            return http_response{.status = 201,
                                 .body = request.path == "/large" ? large : request.body};
        });
    http_client client({"127.0.0.1", port});
    const auto call = [&](const std::string& path, milliseconds timeout) {
        return client.call({.method = "POST",
                            .path = path,
                            .body = "text",
                            .timeout = timeout,
                            .may_send_again = false});
    };

    SECTION("gets its whole answer, over one connection")
    {
        for (int number = 0; number < 3; ++number) {
            const auto answer = call("/small", milliseconds(1'000));
            CHECK(answer.status == 201);
            CHECK(answer.body == "text");
        }
        CHECK(call("/large", milliseconds(1'000)).body == large);
    }
    // Guards against a second run of a task: a poll that was sent again reached a worker that had
    // been restarted meanwhile.
    SECTION("is not sent again after a timeout on a connection that was used before")
    {
        call("/small", milliseconds(1'000));
        delay_ms = 400;
        const auto began = now();
        CHECK_THROWS_AS(call("/small", milliseconds(100)), transport_error);
        CHECK(now() - began < milliseconds(200));
        std::this_thread::sleep_for(milliseconds(500));
        CHECK(received == 2);

        delay_ms = 0;
        CHECK(call("/small", milliseconds(1'000)).status == 201);
    }
    SECTION("fails at once if nothing listens")
    {
        server.reset();
        CHECK_THROWS_AS(call("/small", milliseconds(1'000)), transport_error);
    }
}

TEST_CASE("a request that must not be sent again does not reach a server that started later")
{
    constexpr unsigned short port = 17'562;
    const http_server_options options{.address = "127.0.0.1", .port = port};
    const auto answer = [](const http_request& /*request*/) {
        return http_response{.status = 201};
    };
    auto earlier = std::make_unique<http_server>(options, answer);
    http_client client({"127.0.0.1", port});
    const http_call call{.path = "/small", .timeout = milliseconds(500), .may_send_again = false};
    CHECK(client.call(call).status == 201);

    earlier.reset();
    std::atomic<int> received{0};
    const http_server later(options, [&](const http_request& request) {
        ++received;
        return answer(request);
    });
    CHECK_THROWS_AS(client.call(call), transport_error);
    CHECK(received == 0);
}

TEST_CASE("a header that is too long for the library is a failed call, not an unknown exception")
{
    http_client client({"127.0.0.1", 17'563});
    const http_call call{.headers = {{"X-Text", std::string(5'000, 'i')}}};
    CHECK_THROWS_AS(client.call(call), transport_error);
}

TEST_CASE("a request whose headers are too long is an error of that call, and is not sent")
{
    http_client client({"127.0.0.1", 17'563});
    try {
        client.call({.path = "/", .headers = {{"X-Text", std::string(10'000, 'x')}}});
        FAIL("no exception");
    } catch (const transport_error& cause) {
        CHECK(cause.id() == 304);
        CHECK_FALSE(cause.sent());
    }
}
