#include "flamingoseam/peer/rpc_listener.hpp"

#include "flamingoseam/core/error.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <utility>

namespace flamingoseam::detail {

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
    auto io = kj::setupAsyncIo();
    capnp::TwoPartyServer server(make_server_());
    kj::Own<kj::ConnectionReceiver> listener;
    try {
        auto address =
            io.provider->getNetwork().parseAddress(listen.address, listen.port).wait(io.waitScope);
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

} // namespace flamingoseam::detail
