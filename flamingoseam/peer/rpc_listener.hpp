#pragma once

#include "flamingoseam/http/http_client.hpp"

#include <capnp/capability.h>
#include <kj/async.h>

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace flamingoseam::detail {

/// Serves one Cap'n Proto interface on a dedicated thread.
class rpc_listener {
public:
    /// Starts listening before it returns; `make_server` is called on the listener's thread.
    /// Throws transport_error (id 301) if the address can't be bound.
    rpc_listener(const endpoint& listen, std::function<capnp::Capability::Client()> make_server);
    ~rpc_listener();
    rpc_listener(const rpc_listener&) = delete;
    rpc_listener& operator=(const rpc_listener&) = delete;

private:
    void run(const endpoint& listen, std::promise<void>& ready);

    std::function<capnp::Capability::Client()> make_server_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
    std::thread thread_;
};

/// Starts `call` with a reply callback and returns a promise, for use on the RPC thread, that
/// resolves to the reply. The callback may be called from any thread.
template <typename Result, typename Call> kj::Promise<Result> promise_of(Call&& call)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Result>>>(kj::mv(pair.fulfiller));
    call([fulfiller](Result result) { (*fulfiller)->fulfill(kj::mv(result)); });
    return kj::mv(pair.promise);
}

} // namespace flamingoseam::detail
