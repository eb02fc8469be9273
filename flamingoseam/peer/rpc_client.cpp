#include "flamingoseam/peer/rpc_client.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/peer/rpc_convert.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace flamingoseam {

namespace {

constexpr milliseconds connect_timeout{500};

/// One connection to one scheduler. Lives on the client's thread.
struct connection {
    connection(kj::Own<kj::AsyncIoStream> opened, std::uint64_t number)
        : number(number), stream(kj::mv(opened)), client(*stream),
          scheduler(client.bootstrap().castAs<rpc::Scheduler>())
    {
    }

    std::uint64_t number;
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    rpc::Scheduler::Client scheduler;
};

kj::Duration to_duration(milliseconds length)
{
    return length.count() * kj::MILLISECONDS;
}

} // namespace

class rpc_client::impl {
public:
    impl()
    {
        std::promise<void> ready;
        thread_ = std::thread([this, &ready] { run(ready); });
        ready.get_future().get();
    }

    ~impl()
    {
        stop_->fulfill();
        thread_.join();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    /// Runs `use` with a connection on the client's thread and waits for what it promises.
    template <typename Result, typename Use>
    Result call(const endpoint& scheduler, milliseconds timeout, Use&& use, bool drop_on_timeout)
    {
        bool sent = false;
        std::uint64_t used = 0; // The connection itself must not leave its thread.
        try {
            return executor_->executeSync([&]() -> kj::Promise<Result> {
                auto answer = open(scheduler).then(
                    [&, timeout](std::shared_ptr<connection> opened) -> kj::Promise<Result> {
                        sent = true;
                        used = opened->number;
                        return use(opened->scheduler).attach(kj::mv(opened));
                    });
                return within<Result>(kj::mv(answer), timeout);
            });
        } catch (const kj::Exception& cause) {
            const bool timed_out = cause.getType() == kj::Exception::Type::OVERLOADED;
            if (!timed_out || drop_on_timeout) {
                drop(scheduler, used);
            }
            throw transport_error(sent ? 307 : 306,
                                  to_string(scheduler) + ": " + cause.getDescription().cStr(),
                                  sent);
        }
    }

private:
    template <typename Result>
    kj::Promise<Result> within(kj::Promise<Result> answer, milliseconds timeout)
    {
        auto late = timer_->afterDelay(to_duration(timeout)).then([]() -> kj::Promise<Result> {
            return KJ_EXCEPTION(OVERLOADED, "no answer in time");
        });
        return answer.exclusiveJoin(kj::mv(late));
    }

    kj::Promise<std::shared_ptr<connection>> open(const endpoint& scheduler)
    {
        const auto found = connections_.find(scheduler);
        if (found != connections_.end()) {
            return found->second;
        }
        auto opening = network_->parseAddress(scheduler.address, scheduler.port)
                           .then([](kj::Own<kj::NetworkAddress> address) {
                               auto stream = address->connect();
                               return stream.attach(kj::mv(address));
                           })
                           .then([this, scheduler](kj::Own<kj::AsyncIoStream> stream) {
                               const auto found = connections_.find(scheduler);
                               if (found != connections_.end()) {
                                   return found->second;
                               }
                               auto opened =
                                   std::make_shared<connection>(kj::mv(stream), ++last_number_);
                               connections_[scheduler] = opened;
                               return opened;
                           });
        return within<std::shared_ptr<connection>>(kj::mv(opening), connect_timeout);
    }

    void drop(const endpoint& scheduler, std::uint64_t used)
    {
        executor_->executeSync([&] {
            const auto found = connections_.find(scheduler);
            if (found != connections_.end() && found->second->number == used) {
                connections_.erase(found);
            }
        });
    }

    void run(std::promise<void>& ready)
    {
        auto io = kj::setupAsyncIo();
        timer_ = &io.provider->getTimer();
        network_ = &io.provider->getNetwork();
        executor_ = kj::getCurrentThreadExecutor().addRef();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        stop_ = kj::mv(stop.fulfiller);
        ready.set_value();
        stop.promise.wait(io.waitScope);
        connections_.clear();
    }

    kj::Timer* timer_ = nullptr;
    kj::Network* network_ = nullptr;
    kj::Own<const kj::Executor> executor_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
    std::map<endpoint, std::shared_ptr<connection>> connections_;
    std::uint64_t last_number_ = 0;
    std::thread thread_;
};

rpc_client::rpc_client() : impl_(std::make_unique<impl>()) {}

rpc_client::~rpc_client() = default;

outcome rpc_client::submit(const endpoint& scheduler, const std::string& shard,
                           const work_request& request, milliseconds timeout)
{
    return impl_->call<outcome>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.submitRequest();
            auto out = message.initRequest();
            detail::write(out, request);
            out.setShard(shard);
            return message.send().then(
                [](auto response) { return detail::read(response.getOutcome()); });
        },
        false);
}

std::optional<std::string> rpc_client::find_job(const endpoint& scheduler, const std::string& shard,
                                                const std::string& customer,
                                                const std::string& request_id, milliseconds timeout)
{
    return impl_->call<std::optional<std::string>>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.jobRequest();
            message.setShard(shard);
            message.setCustomer(customer);
            message.setRequestId(request_id);
            return message.send().then([](auto response) -> std::optional<std::string> {
                if (!response.getFound()) {
                    return std::nullopt;
                }
                return std::string(response.getJson().cStr());
            });
        },
        false);
}

outcome rpc_client::cancel(const endpoint& scheduler, const std::string& shard,
                           const std::string& customer, const std::string& request_id,
                           milliseconds timeout)
{
    return impl_->call<outcome>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.cancelRequest();
            message.setShard(shard);
            message.setCustomer(customer);
            message.setRequestId(request_id);
            return message.send().then(
                [](auto response) { return detail::read(response.getOutcome()); });
        },
        false);
}

exchange_message rpc_client::exchange(const endpoint& scheduler, const exchange_message& ours,
                                      milliseconds timeout)
{
    return impl_->call<exchange_message>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.exchangeRequest();
            message.setRevision(ours.revision);
            detail::write_list(message.initContracts(static_cast<unsigned>(ours.contracts.size())),
                               ours.contracts);
            return message.send().then([](auto response) {
                return exchange_message{
                    .revision = response.getRevision(),
                    .contracts = detail::read_list<contract_record>(response.getContracts()),
                    .shards = detail::read_list<shard_entry>(response.getShards())};
            });
        },
        true);
}

std::int64_t rpc_client::request_share(const endpoint& scheduler, const share_transfer& wish,
                                       milliseconds timeout)
{
    return impl_->call<std::int64_t>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.requestShareRequest();
            detail::write(message.initGrant(), wish);
            return message.send().then([](auto response) { return response.getGiven(); });
        },
        false);
}

bool rpc_client::offer_share(const endpoint& scheduler, const share_transfer& grant,
                             milliseconds timeout)
{
    return impl_->call<bool>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.offerShareRequest();
            detail::write(message.initGrant(), grant);
            return message.send().then([](auto response) { return response.getConfirmed(); });
        },
        false);
}

} // namespace flamingoseam
