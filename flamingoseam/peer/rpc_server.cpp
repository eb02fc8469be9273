#include "flamingoseam/peer/rpc_server.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/peer/rpc_convert.hpp"

#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/async-io.h>

#include <future>
#include <thread>

namespace flamingoseam {

namespace {

/// Turns a call of the service with a reply function into a promise on the RPC thread.
template <typename Result, typename Call> kj::Promise<Result> promise_of(Call&& call)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Result>>>(kj::mv(pair.fulfiller));
    call([fulfiller](Result result) { (*fulfiller)->fulfill(kj::mv(result)); });
    return kj::mv(pair.promise);
}

class scheduler_server final : public rpc::Scheduler::Server {
public:
    explicit scheduler_server(scheduler_service& service) : service_(service) {}

    kj::Promise<void> submit(SubmitContext context) override
    {
        const auto params = context.getParams().getRequest();
        const auto request = detail::read(params);
        const std::string shard = params.getShard().cStr();
        return promise_of<outcome>([&](auto reply) { service_.submit(shard, request, reply); })
            .then([context](outcome result) mutable {
                detail::write(context.getResults().initOutcome(), result);
            });
    }

    kj::Promise<void> job(JobContext context) override
    {
        const auto params = context.getParams();
        using answer = std::optional<std::string>;
        return promise_of<answer>([&](auto reply) {
                   service_.find_job(params.getShard().cStr(), params.getCustomer().cStr(),
                                     params.getRequestId().cStr(), reply);
               })
            .then([context](answer result) mutable {
                context.getResults().setFound(result.has_value());
                context.getResults().setJson(result.value_or(""));
            });
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const auto params = context.getParams();
        return promise_of<outcome>([&](auto reply) {
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
        const exchange_message theirs{.revision = params.getRevision(),
                                      .contracts =
                                          detail::read_list<contract_record>(params.getContracts()),
                                      .shards = {}};
        return promise_of<exchange_message>([&](auto reply) { service_.exchange(theirs, reply); })
            .then([context](exchange_message ours) mutable {
                auto results = context.getResults();
                results.setRevision(ours.revision);
                detail::write_list(
                    results.initContracts(static_cast<unsigned>(ours.contracts.size())),
                    ours.contracts);
                detail::write_list(results.initShards(static_cast<unsigned>(ours.shards.size())),
                                   ours.shards);
            });
    }

    kj::Promise<void> requestShare(RequestShareContext context) override
    {
        const auto wish = detail::read(context.getParams().getGrant());
        return promise_of<std::int64_t>([&](auto reply) { service_.request_share(wish, reply); })
            .then([context](std::int64_t given) mutable { context.getResults().setGiven(given); });
    }

    kj::Promise<void> offerShare(OfferShareContext context) override
    {
        const auto grant = detail::read(context.getParams().getGrant());
        return promise_of<bool>([&](auto reply) { service_.offer_share(grant, reply); })
            .then([context](bool confirmed) mutable {
                context.getResults().setConfirmed(confirmed);
            });
    }

private:
    scheduler_service& service_;
};

} // namespace

class rpc_server::impl {
public:
    impl(const endpoint& listen, scheduler_service& service)
    {
        std::promise<void> ready;
        auto is_ready = ready.get_future();
        thread_ = std::thread([this, listen, &service, &ready] { run(listen, service, ready); });
        try {
            is_ready.get();
        } catch (...) {
            thread_.join();
            throw;
        }
    }

    ~impl()
    {
        stop_->fulfill();
        thread_.join();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

private:
    void run(const endpoint& listen, scheduler_service& service, std::promise<void>& ready)
    {
        auto io = kj::setupAsyncIo();
        capnp::TwoPartyServer server(kj::heap<scheduler_server>(service));
        kj::Own<kj::ConnectionReceiver> listener;
        try {
            auto address = io.provider->getNetwork()
                               .parseAddress(listen.address, listen.port)
                               .wait(io.waitScope);
            listener = address->listen();
        } catch (const kj::Exception& cause) {
            ready.set_exception(std::make_exception_ptr(transport_error(
                301, "can't listen on " + to_string(listen) + ": " + cause.getDescription().cStr(),
                false)));
            return;
        }
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        stop_ = kj::mv(stop.fulfiller);
        ready.set_value();
        server.listen(*listener).exclusiveJoin(kj::mv(stop.promise)).wait(io.waitScope);
    }

    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
    std::thread thread_;
};

rpc_server::rpc_server(const endpoint& listen, scheduler_service& service)
    : impl_(std::make_unique<impl>(listen, service))
{
}

rpc_server::~rpc_server() = default;

} // namespace flamingoseam
