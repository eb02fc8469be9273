#include "flamingoseam/node/coordinator_rpc.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/descriptor_limit.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

/// Grants permission requests and stores the last of them.
class recording_service final : public owner_service {
public:
    void submit(const workflow::job_spec& /*job*/, const workflow::queue_terms& /*terms*/,
                owner_reply reply) override
    {
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
    void confirm_owner_gone(std::uint64_t /*epoch*/, flag_reply reply) override { reply(false); }
    void lend_workers(const workflow::worker_request& request, count_reply reply) override
    {
        last_worker_request = request;
        reply(7);
    }

    workflow::permission_request last_request;
    workflow::worker_request last_worker_request;
};

endpoint own_address()
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127.78." + std::to_string(process / 250 % 250) + "." +
                std::to_string(process % 250 + 1),
            7301};
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
