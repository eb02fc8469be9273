#include "flamingoseam/entry/entry.hpp"

#include "flamingoseam/contract/key.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/peer/rpc_server.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

using namespace flamingoseam;

namespace {

entry_settings entry_of_this_process()
{
    const auto process = static_cast<unsigned>(getpid());
    const auto address =
        "127.84." + std::to_string(process / 250 % 250) + "." + std::to_string(process % 250 + 1);
    return {.address = address, .zone = "z", .schedulers = {{address, 1}}};
}

/// A scheduler that has had a call but is no longer the owner, and names an owner with an address
/// that can't be parsed.
class former_owner final : public scheduler_service {
public:
    explicit former_owner(endpoint address) : address_(std::move(address)), server_(address_, *this)
    {
    }

    void submit(const std::string& /*shard*/, const work_request& /*request*/,
                reply_outcome reply) override
    {
        submitted_ = true;
        reply({.kind = verdict::may_have_run, .reason = "not_owner"});
    }
    void exchange(const exchange_message& /*request*/, reply_exchange reply) override
    {
        contract terms{.customer = "c", .version = 1, .key_hashes = {hash_key("key")}};
        const shard_entry owned{
            .shard = "s1", .zone = "z", .epoch = 1, .owner = to_string(address_)};
        const shard_entry odd{.shard = "s1", .zone = "z", .epoch = 2, .owner = "nowhere"};
        reply({.revision = 1,
               .contracts = {{.value = terms, .revision = 1}},
               .shards = {submitted_ ? odd : owned}});
    }
    void find_job(const std::string& /*shard*/, const std::string& /*customer*/,
                  const std::string& /*request_id*/, reply_job reply) override
    {
        reply(std::nullopt);
    }
    void cancel(const std::string& /*shard*/, const std::string& /*customer*/,
                const std::string& /*request_id*/, reply_outcome reply) override
    {
        reply({});
    }
    void request_share(const share_transfer& /*request*/, reply_share reply) override { reply(0); }
    void offer_share(const share_transfer& /*grant*/, reply_confirmed reply) override
    {
        reply(false);
    }

private:
    endpoint address_;
    std::atomic<bool> submitted_{false};
    rpc_server server_;
};

} // namespace

TEST_CASE("a call that may have run is not refused as malformed when its next owner's address is")
{
    auto settings = entry_of_this_process();
    settings.call_timeout = std::chrono::seconds(3);
    const former_owner scheduler(settings.schedulers.at(0));
    entry process(settings);
    http_response response;
    const auto end = now() + std::chrono::seconds(3);
    do {
        std::this_thread::sleep_for(milliseconds(20));
        response = process.handle(
            {.method = "POST", .path = "/v1/calls", .body = "{}", .authorization = "Bearer key"});
    } while (response.body.find("unknown_key") != std::string::npos && now() < end);
    INFO(response.body);
    CHECK(response.body.find("may_have_run") != std::string::npos);
}

TEST_CASE("an entry whose address is in use ends the threads that it has started")
{
    const entry first(entry_of_this_process());
    CHECK_THROWS_AS(entry(entry_of_this_process()), transport_error);
}

TEST_CASE("an entry without threads for all its polls ends those that it has started")
{
    for (const std::size_t threads : {0U, 1U, 2U}) {
        const thread_limit limit(threads);
        CHECK_THROWS(entry(entry_of_this_process()));
    }
}
