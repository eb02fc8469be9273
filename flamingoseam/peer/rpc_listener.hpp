#pragma once

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <capnp/capability.h>
#include <kj/async.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <utility>

namespace flamingoseam::detail {

/// Serves one Cap'n Proto interface on a dedicated thread. An exception of any type that a call
/// throws is the answer to that call.
class rpc_listener {
public:
    /// Starts listening before it returns; `make_server` is called on the listener's thread.
    /// Throws transport_error (id 301) if the address can't be bound, and resource_error (id 401)
    /// if the system has no thread left.
    rpc_listener(const endpoint& listen, std::function<capnp::Capability::Client()> make_server);
    ~rpc_listener();
    rpc_listener(const rpc_listener&) = delete;
    rpc_listener& operator=(const rpc_listener&) = delete;

private:
    void run(const endpoint& listen, std::promise<void>& ready);
    void serve(const endpoint& listen, const std::function<void()>& report_ready);

    std::function<capnp::Capability::Client()> make_server_;
    std::mutex mutex_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_; ///< Guarded by `mutex_`.
    std::atomic<bool> stopping_{false};
    service_thread thread_;
};

/// Resolves a promise of the RPC thread from any thread, also when that thread has ended. Errors
/// are logged, since the caller of a reply callback has nothing to do with them.
template <typename Result> class reply_slot {
public:
    explicit reply_slot(kj::Own<kj::CrossThreadPromiseFulfiller<Result>> fulfiller)
        : fulfiller_(kj::mv(fulfiller))
    {
    }

    /// Fails the call if it has not been answered.
    ~reply_slot()
    {
        run_guarded("ending a call of another node", [this] { fulfiller_ = nullptr; });
    }

    reply_slot(const reply_slot&) = delete;
    reply_slot& operator=(const reply_slot&) = delete;

    void answer(Result result) noexcept
    {
        run_guarded("answering a call of another node",
                    [&] { fulfiller_->fulfill(kj::mv(result)); });
    }

private:
    kj::Own<kj::CrossThreadPromiseFulfiller<Result>> fulfiller_;
};

/// Starts `call` with a reply callback and returns a promise, for use on the RPC thread, that
/// resolves to the reply. The callback may be called from any thread.
template <typename Result, typename Call> kj::Promise<Result> promise_of(Call&& call)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result>();
    auto slot = std::make_shared<reply_slot<Result>>(kj::mv(pair.fulfiller));
    call([slot](Result result) { slot->answer(std::move(result)); });
    return kj::mv(pair.promise);
}

} // namespace flamingoseam::detail
