#include "flamingoseam/peer/rpc_listener.hpp"

#include "flamingoseam/core/error.hpp"

#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/async-io.h>

#include <optional>
#include <utility>

namespace flamingoseam::detail {

namespace {

constexpr milliseconds accept_retry_delay{50};

/// Serves all connections until the promise is cancelled. An error, such as a lack of file
/// descriptors, delays the connections that wait.
kj::Promise<void> accept_connections(capnp::TwoPartyServer& server,
                                     kj::ConnectionReceiver& receiver, kj::Timer& timer)
{
    // An error may also be thrown at once, which evalNow() turns into a promise.
    return kj::evalNow([&] { return server.listen(receiver); }).catch_([&](kj::Exception&& cause) {
        LOG_EVERY_N(WARNING, 20) << "can't accept a connection: " << cause.getDescription().cStr();
        return timer.afterDelay(accept_retry_delay.count() * kj::MILLISECONDS).then([&] {
            return accept_connections(server, receiver, timer);
        });
    });
}

} // namespace

rpc_listener::rpc_listener(const endpoint& listen,
                           std::function<capnp::Capability::Client()> make_server)
    : make_server_(std::move(make_server))
{
    std::promise<void> ready;
    auto ready_future = ready.get_future();
    thread_ = std::thread([this, listen, &ready] { run(listen, ready); });
    try {
        ready_future.get();
    } catch (...) {
        thread_.join();
        throw;
    }
}

rpc_listener::~rpc_listener()
{
    stop_->fulfill();
    thread_.join();
}

void rpc_listener::run(const endpoint& listen, std::promise<void>& ready)
{
    std::optional<kj::AsyncIoContext> io;
    std::optional<capnp::TwoPartyServer> server;
    kj::Own<kj::ConnectionReceiver> receiver;
    try {
        io.emplace(kj::setupAsyncIo());
        server.emplace(make_server_());
        auto& network = io->provider->getNetwork();
        receiver = network.parseAddress(listen.address, listen.port).wait(io->waitScope)->listen();
    } catch (const kj::Exception& cause) {
        ready.set_exception(std::make_exception_ptr(transport_error(
            301, "can't listen on " + to_string(listen) + ": " + cause.getDescription().cStr(),
            false)));
        return;
    }
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    stop_ = kj::mv(stop.fulfiller);
    ready.set_value();
    accept_connections(*server, *receiver, io->provider->getTimer())
        .exclusiveJoin(kj::mv(stop.promise))
        .wait(io->waitScope);
}

} // namespace flamingoseam::detail
