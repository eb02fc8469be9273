#include "flamingoseam/peer/rpc_server.hpp"

#include "flamingoseam/peer/rpc_convert.hpp"
#include "flamingoseam/peer/rpc_listener.hpp"

namespace flamingoseam {

namespace {

class scheduler_server final : public rpc::Scheduler::Server {
public:
    explicit scheduler_server(scheduler_service& service) : service_(service) {}

    kj::Promise<void> submit(SubmitContext context) override
    {
        const auto params = context.getParams().getRequest();
        const auto request = detail::read(params);
        const std::string shard = params.getShard().cStr();
        return detail::promise_of<outcome>(
                   [&](auto reply) { service_.submit(shard, request, reply); })
            .then([context](outcome result) mutable {
                detail::write(context.getResults().initOutcome(), result);
            });
    }

    kj::Promise<void> job(JobContext context) override
    {
        const auto params = context.getParams();
        using job_json = std::optional<std::string>;
        return detail::promise_of<job_json>([&](auto reply) {
                   service_.find_job(params.getShard().cStr(), params.getCustomer().cStr(),
                                     params.getRequestId().cStr(), reply);
               })
            .then([context](job_json result) mutable {
                context.getResults().setFound(result.has_value());
                context.getResults().setJson(result.value_or(""));
            });
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const auto params = context.getParams();
        return detail::promise_of<outcome>([&](auto reply) {
                   service_.cancel(params.getShard().cStr(), params.getCustomer().cStr(),
                                   params.getRequestId().cStr(), reply);
               })
            .then([context](outcome result) mutable {
                detail::write(context.getResults().initOutcome(), result);
            });
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        const auto params = context.getParams();
        const exchange_message request{
            .revision = params.getRevision(),
            .contracts = detail::read_list<contract_record>(params.getContracts()),
            .shards = {}};
        return detail::promise_of<exchange_message>(
                   [&](auto reply) { service_.exchange(request, reply); })
            .then([context](exchange_message reply_message) mutable {
                auto results = context.getResults();
                results.setRevision(reply_message.revision);
                detail::write_list(
                    results.initContracts(static_cast<unsigned>(reply_message.contracts.size())),
                    reply_message.contracts);
                detail::write_list(
                    results.initShards(static_cast<unsigned>(reply_message.shards.size())),
                    reply_message.shards);
            });
    }

    kj::Promise<void> requestShare(RequestShareContext context) override
    {
        const auto request = detail::read(context.getParams().getGrant());
        return detail::promise_of<std::int64_t>(
                   [&](auto reply) { service_.request_share(request, reply); })
            .then([context](std::int64_t given) mutable { context.getResults().setGiven(given); });
    }

    kj::Promise<void> offerShare(OfferShareContext context) override
    {
        const auto grant = detail::read(context.getParams().getGrant());
        return detail::promise_of<bool>([&](auto reply) { service_.offer_share(grant, reply); })
            .then([context](bool confirmed) mutable {
                context.getResults().setConfirmed(confirmed);
            });
    }

private:
    scheduler_service& service_;
};

} // namespace

class rpc_server::impl : public detail::rpc_listener {
public:
    impl(const endpoint& listen, scheduler_service& service)
        : detail::rpc_listener(listen, [&service]() -> capnp::Capability::Client {
              return kj::heap<scheduler_server>(service);
          })
    {
    }
};

rpc_server::rpc_server(const endpoint& listen, scheduler_service& service)
    : impl_(std::make_unique<impl>(listen, service))
{
}

rpc_server::~rpc_server() = default;

} // namespace flamingoseam
