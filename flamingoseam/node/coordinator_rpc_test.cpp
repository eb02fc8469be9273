#include "flamingoseam/node/coordinator_rpc.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/child_exit.hpp"
#include "tests/descriptor_limit.hpp"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <stdexcept>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

/// Grants permission requests and stores the last of them.
class recording_service final : public owner_service {
public:
    void submit(const workflow::job_spec& /*job*/, const workflow::queue_terms& terms,
                owner_reply reply) override
    {
        last_terms = terms;
        reply({});
    }
    void cancel(const std::string& /*job*/, owner_reply reply) override { reply({}); }
    void find(const std::string& /*job*/, owner_reply reply) override { reply({}); }
    void count_pending(const std::string& /*queue*/, owner_reply reply) override { reply({}); }
    void ask_permission(const workflow::permission_request& request,
                        permission_reply reply) override
    {
        last_request = request;
        reply(permission_answer{.grants = {{"w1", "ticket"}}});
    }
    void offer_ownership(const ownership_offer& /*offer*/, flag_reply reply) override
    {
        reply(false);
    }
    void confirm_owner_gone(std::uint64_t epoch, flag_reply reply) override
    {
        if (epoch == failing_epoch) {
            throw std::out_of_range("no such epoch");
        }
        if (epoch == waiting_epoch) {
            kept_reply = reply;
            return;
        }
        reply(false);
    }
    void lend_workers(const workflow::worker_request& request, count_reply reply) override
    {
        last_worker_request = request;
        reply(7);
    }

    void stop_owner(std::uint64_t epoch, stop_reply reply) override
    {
        reply({.has_stopped = epoch == stopped_epoch, .renewals_end = renewals_end});
    }

    static constexpr std::uint64_t stopped_epoch = 15; ///< Of an owner that has stopped.
    static constexpr std::uint64_t failing_epoch = 13; ///< Throws.
    static constexpr std::uint64_t waiting_epoch = 14; ///< Is not answered.

    std::optional<time_point> renewals_end;
    flag_reply kept_reply;
    workflow::permission_request last_request;
    workflow::worker_request last_worker_request;
    workflow::queue_terms last_terms;
};

endpoint own_address()
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127.78." + std::to_string(process / 250 % 250) + "." +
                std::to_string(process % 250 + 1),
            7301};
}

/// Closes the descriptors of this process that are connected to the server, under their owner.
void close_connections_of_client()
{
    constexpr int most_descriptors = 1'000;
    for (int descriptor = 3; descriptor < most_descriptors; ++descriptor) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const bool is_connected =
            ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
        if (is_connected && ntohs(peer.sin_port) == own_address().port) {
            ::close(descriptor);
        }
    }
}

/// Returns the id of the error with which a call ends, or 0 if it is answered.
int error_of_call(coordinator_client& client, std::uint64_t epoch)
{
    try {
        client.confirms_owner_gone(own_address(), epoch, milliseconds(300));
        return 0;
    } catch (const transport_error& cause) {
        return cause.id();
    }
}

} // namespace

// Permission calls of more than 1.5 s through other nodes always timed out, so that gangs never
// started (issue 16).
TEST_CASE("a long permission call through another node is answered")
{
    recording_service service;
    coordinator_server server(own_address(), service);
    coordinator_client client;
    const workflow::permission_request request{
        .job = "j", .step = 1, .workers = {"w1", "w2"}, .service_time = milliseconds(1'729)};
    const auto answer = client.ask_permission(own_address(), request, milliseconds(2'000));

    REQUIRE(answer);
    CHECK(answer->grants.size() == 1);
    CHECK(service.last_request.job == "j");
    CHECK(service.last_request.workers == request.workers);
    CHECK(service.last_request.service_time == milliseconds(1'729));
}

TEST_CASE("a request for workers reaches the owner of another shard")
{
    recording_service service;
    coordinator_server server(own_address(), service);
    coordinator_client client;
    const workflow::worker_request request{
        .shard = 2, .service = "s", .workers = 31, .demand = {.total = 40.5, .desired = 90}};

    CHECK(client.lend_workers(own_address(), request, milliseconds(2'000)) == 7);
    CHECK(service.last_worker_request.shard == 2);
    CHECK(service.last_worker_request.service == "s");
    CHECK(service.last_worker_request.workers == 31);
    CHECK(service.last_worker_request.demand.total == 40.5);
    CHECK(service.last_worker_request.demand.desired == 90);
}

TEST_CASE("the terms of a job's queue reach the owner with their version")
{
    recording_service service;
    const coordinator_server server(own_address(), service);
    coordinator_client client;
    const workflow::queue_terms terms{
        .name = "q", .version = 42, .service = "s", .priority = 3, .max_attempts = 5};
    client.submit(own_address(), {.id = "j", .queue = "q", .payload = {}, .steps = {}}, terms,
                  milliseconds(2'000));
    CHECK(service.last_terms.name == "q");
    CHECK(service.last_terms.version == 42);
    CHECK(service.last_terms.service == "s");
    CHECK(service.last_terms.priority == 3);
    CHECK(service.last_terms.max_attempts == 5);
}

TEST_CASE("a node tells whether its replaced owner has stopped")
{
    recording_service service;
    const coordinator_server server(own_address(), service);
    coordinator_client client;
    const auto ask = [&client](std::uint64_t epoch) {
        return client.stop_owner(own_address(), epoch, milliseconds(2'000));
    };
    CHECK(ask(recording_service::stopped_epoch).has_stopped);
    CHECK_FALSE(ask(recording_service::stopped_epoch).renewals_end);
    CHECK_FALSE(ask(1).has_stopped);

    service.renewals_end = now() - milliseconds(100);
    const auto asked = now();
    const auto past = ask(recording_service::stopped_epoch).renewals_end;
    REQUIRE(past);
    CHECK(*past >= asked);
    CHECK(*past <= now());
    service.renewals_end = now() + std::chrono::seconds(10);
    const auto future = ask(recording_service::stopped_epoch).renewals_end;
    REQUIRE(future);
    CHECK(*future >= *service.renewals_end); // The clocks may advance at different rates.
    CHECK(*future <= now() + std::chrono::seconds(11));
}

TEST_CASE("a server without a file descriptor for a node's connection accepts it later")
{
    recording_service service;
    coordinator_server server(own_address(), service);
    coordinator_client client;
    {
        const descriptor_limit limit(1); // For the client's end of the connection.
        CHECK_THROWS_AS(client.confirms_owner_gone(own_address(), 1, milliseconds(300)),
                        transport_error);
    }
    CHECK_FALSE(client.confirms_owner_gone(own_address(), 1, milliseconds(2'000)));
}

TEST_CASE("without file descriptors neither a server nor a client of nodes starts")
{
    recording_service service;
    const descriptor_limit limit(0);
    CHECK_THROWS_AS(coordinator_server(own_address(), service), transport_error);
    CHECK_THROWS_AS(coordinator_client(), transport_error);
}

TEST_CASE("an error at the close of a connection does not end the process")
{
    const auto end = exit_of_child([] {
        recording_service service;
        const coordinator_server server(own_address(), service);
        coordinator_client client;
        const int first = error_of_call(client, 1);
        close_connections_of_client();
        const int failed = error_of_call(client, 1);
        return first == 0 && failed != 0 && error_of_call(client, 1) == 0 ? 0 : 1;
    });
    CHECK(end.signal == 0);
    CHECK(end.code == 0);
}

TEST_CASE("an exception in a call of another node is the answer to that call only")
{
    recording_service service;
    const coordinator_server server(own_address(), service);
    coordinator_client client;
    CHECK(error_of_call(client, recording_service::failing_epoch) == 307);
    CHECK(error_of_call(client, 1) == 0);
}

TEST_CASE(
    "a call of another node that is answered when the server has stopped does not end the process")
{
    const auto end = exit_of_child([] {
        recording_service service;
        std::optional<coordinator_server> server(std::in_place, own_address(), service);
        coordinator_client client;
        const int unanswered = error_of_call(client, recording_service::waiting_epoch);
        server.reset();
        service.kept_reply(true);
        service.kept_reply = nullptr;
        return unanswered == 307 ? 0 : 1;
    });
    CHECK(end.signal == 0);
    CHECK(end.code == 0);
}

TEST_CASE("a lack of descriptors is not taken for a closed port")
{
    coordinator_client client;
    const descriptor_limit limit(0);
    CHECK(error_of_call(client, 1) == 306);
}
