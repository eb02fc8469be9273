#include "flamingoseam/peer/rpc_listener.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/peer/rpc_errors.hpp"

#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/async-io.h>

#include <thread>
#include <utility>

namespace flamingoseam::detail {

namespace {

constexpr milliseconds accept_retry_delay{50};
constexpr milliseconds listen_retry_pause{50};

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
    thread_ = service_thread("RPC server", [this, listen, &ready] { run(listen, ready); });
    ready_future.get();
}

rpc_listener::~rpc_listener()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        run_guarded("stopping the RPC server", [this] { stop_->fulfill(); });
    }
    thread_.join();
}

/// Serves until the destructor is called. After an exception it listens anew.
void rpc_listener::run(const endpoint& listen, std::promise<void>& ready)
{
    bool is_ready = false;
    const auto report_ready = [&] {
        if (!std::exchange(is_ready, true)) {
            ready.set_value();
        }
    };
    while (!stopping_) {
        try {
            serve(listen, report_ready);
        } catch (...) {
            const auto cause =
                "can't listen on " + to_string(listen) + ": " + describe_rpc_failure();
            if (!is_ready) {
                ready.set_exception(std::make_exception_ptr(transport_error(301, cause, false)));
                return;
            }
            LOG(ERROR) << cause;
            std::this_thread::sleep_for(listen_retry_pause);
        }
    }
}

void rpc_listener::serve(const endpoint& listen, const std::function<void()>& report_ready)
{
    auto io = kj::setupAsyncIo();
    capnp::TwoPartyServer server(make_server_());
    auto& network = io.provider->getNetwork();
    auto receiver = network.parseAddress(listen.address, listen.port).wait(io.waitScope)->listen();
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
        stop_ = kj::mv(stop.fulfiller);
    }
    report_ready();
    accept_connections(server, *receiver, io.provider->getTimer())
        .exclusiveJoin(kj::mv(stop.promise))
        .wait(io.waitScope);
}

} // namespace flamingoseam::detail
