#pragma once

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/peer/rpc_errors.hpp"

#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/async-io.h>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace flamingoseam::detail {

/// Maintains connections to the servers of one Cap'n Proto interface on a dedicated thread, one
/// connection per server. A connection that fails costs the calls that use it only. Thread-safe.
template <typename Interface> class rpc_connections {
public:
    /// Throws transport_error (id 318) if the process lacks the file descriptors for the thread,
    /// and resource_error (id 401) if it lacks the thread.
    rpc_connections()
    {
        std::promise<void> ready;
        auto ready_future = ready.get_future();
        thread_ = service_thread("RPC connections", [this, &ready] { run(ready); });
        ready_future.get();
    }

    ~rpc_connections()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
            run_guarded("stopping connections", [this] { stop_->fulfill(); });
        }
        thread_.join();
    }

    rpc_connections(const rpc_connections&) = delete;
    rpc_connections& operator=(const rpc_connections&) = delete;

    /// Runs `send` with a connection on the connection thread and waits for its promise to resolve.
    /// Throws transport_error: id 306 if no connection could be established and id 317 if it was
    /// refused (nothing was sent in either case), id 307 if the response did not arrive in time or
    /// anything else failed after the connection was established. The next call replaces a failed
    /// connection; it also replaces one that only timed out if `drop_on_timeout` is set.
    template <typename Result, typename Send>
    Result call(const endpoint& server, milliseconds timeout, Send&& send, bool drop_on_timeout)
    {
        bool is_opening = false; // The thread that opens connections has taken the call.
        bool sent = false;
        // Only the number is kept here: the connection must not leave its own thread.
        std::uint64_t connection_number = 0;
        const auto fail = [&](bool has_timed_out, bool was_refused, const std::string& cause) {
            if (sent && (!has_timed_out || drop_on_timeout)) {
                drop(server, connection_number);
            }
            const int id = sent                        ? no_answer
                           : is_opening && was_refused ? refused_connection
                                                       : not_connected;
            throw transport_error(id, to_string(server) + ": " + cause, sent);
        };
        try {
            return current_executor()->executeSync([&]() -> kj::Promise<Result> {
                is_opening = true;
                auto response = open(server).then(
                    [&, timeout](std::shared_ptr<connection> opened) -> kj::Promise<Result> {
                        sent = true;
                        connection_number = opened->number;
                        return send(opened->client()).attach(kj::mv(opened));
                    });
                return with_timeout<Result>(kj::mv(response), timeout);
            });
        } catch (const kj::Exception& cause) {
            fail(cause.getType() == kj::Exception::Type::OVERLOADED,
                 cause.getType() == kj::Exception::Type::DISCONNECTED,
                 cause.getDescription().cStr());
        } catch (...) {
            fail(false, false, describe_current_exception());
        }
        __builtin_unreachable(); // fail() throws.
    }

private:
    static constexpr milliseconds connect_timeout{500};

    static constexpr milliseconds retry_pause{50};

    /// An open connection; must only be accessed from the connection thread.
    class connection {
    public:
        connection(kj::Own<kj::AsyncIoStream> opened, std::uint64_t connection_number)
            : number(connection_number), parts_(kj::heap<parts>(kj::mv(opened)))
        {
        }

        /// Closes the connection. An error of the close is logged: the destructors of kj may throw.
        ~connection()
        {
            run_guarded("closing a connection", [this] { parts_ = nullptr; });
        }

        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;

        typename Interface::Client& client() { return parts_->client; }

        const std::uint64_t number;

    private:
        struct parts {
            explicit parts(kj::Own<kj::AsyncIoStream> opened)
                : stream(kj::mv(opened)), rpc(*stream),
                  client(rpc.bootstrap().template castAs<Interface>())
            {
            }

            kj::Own<kj::AsyncIoStream> stream;
            capnp::TwoPartyClient rpc;
            typename Interface::Client client;
        };

        kj::Own<parts> parts_;
    };

    template <typename Result>
    kj::Promise<Result> with_timeout(kj::Promise<Result> response, milliseconds timeout)
    {
        auto timeout_error = timer_->afterDelay(timeout.count() * kj::MILLISECONDS)
                                 .then([]() -> kj::Promise<Result> {
                                     return KJ_EXCEPTION(OVERLOADED, "no response in time");
                                 });
        return response.exclusiveJoin(kj::mv(timeout_error));
    }

    kj::Promise<std::shared_ptr<connection>> open(const endpoint& server)
    {
        const auto found = connections_.find(server);
        if (found != connections_.end()) {
            return found->second;
        }
        auto opening = network_->parseAddress(server.address, server.port)
                           .then([](kj::Own<kj::NetworkAddress> address) {
                               auto stream = address->connect();
                               return stream.attach(kj::mv(address));
                           })
                           .then([this, server](kj::Own<kj::AsyncIoStream> stream) {
                               const auto found = connections_.find(server);
                               if (found != connections_.end()) {
                                   return found->second;
                               }
                               auto opened =
                                   std::make_shared<connection>(kj::mv(stream), ++last_number_);
                               connections_[server] = opened;
                               return opened;
                           });
        return with_timeout<std::shared_ptr<connection>>(kj::mv(opening), connect_timeout);
    }

    void drop(const endpoint& server, std::uint64_t connection_number) noexcept
    {
        run_guarded("dropping a connection", [&] {
            current_executor()->executeSync([&] {
                const auto found = connections_.find(server);
                if (found != connections_.end() && found->second->number == connection_number) {
                    connections_.erase(found);
                }
            });
        });
    }

    kj::Own<const kj::Executor> current_executor()
    {
        const std::lock_guard lock(mutex_);
        return executor_->addRef();
    }

    /// Serves until the destructor is called. After an exception it begins anew, without
    /// connections.
    void run(std::promise<void>& ready)
    {
        bool is_ready = false;
        const auto report_ready = [&] {
            if (!std::exchange(is_ready, true)) {
                ready.set_value();
            }
        };
        while (!stopping_) {
            try {
                serve(report_ready);
            } catch (...) {
                const auto cause = "can't open connections: " + describe_rpc_failure();
                if (!is_ready) {
                    ready.set_exception(
                        std::make_exception_ptr(transport_error(318, cause, false)));
                    return;
                }
                LOG(ERROR) << cause;
                std::this_thread::sleep_for(retry_pause);
            }
        }
    }

    void serve(const std::function<void()>& report_ready)
    {
        auto io = kj::setupAsyncIo();
        timer_ = &io.provider->getTimer();
        network_ = &io.provider->getNetwork();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
            executor_ = kj::getCurrentThreadExecutor().addRef();
            stop_ = kj::mv(stop.fulfiller);
        }
        KJ_DEFER(connections_.clear());
        report_ready();
        stop.promise.wait(io.waitScope);
    }

    kj::Timer* timer_ = nullptr;
    kj::Network* network_ = nullptr;
    std::map<endpoint, std::shared_ptr<connection>> connections_;
    std::uint64_t last_number_ = 0;
    std::mutex mutex_;
    kj::Own<const kj::Executor> executor_;                ///< Guarded by `mutex_`.
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_; ///< Guarded by `mutex_`.
    std::atomic<bool> stopping_{false};
    service_thread thread_;
};

} // namespace flamingoseam::detail
