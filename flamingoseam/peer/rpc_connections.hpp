#pragma once

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/peer/rpc_errors.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace flamingoseam::detail {

/// Maintains connections to the servers of one Cap'n Proto interface on a dedicated thread, one
/// connection per server. Thread-safe.
template <typename Interface> class rpc_connections {
public:
    /// Throws transport_error (id 318) if the process lacks the file descriptors for the thread.
    rpc_connections()
    {
        std::promise<void> ready;
        auto ready_future = ready.get_future();
        thread_ = std::thread([this, &ready] { run(ready); });
        try {
            ready_future.get();
        } catch (...) {
            thread_.join();
            throw;
        }
    }

    ~rpc_connections()
    {
        stop_->fulfill();
        thread_.join();
    }

    rpc_connections(const rpc_connections&) = delete;
    rpc_connections& operator=(const rpc_connections&) = delete;

    /// Runs `send` with a connection on the connection thread and waits for its promise to resolve.
    /// Throws transport_error: id 306 if no connection could be established in time and id 317 if
    /// it was refused (nothing was sent in either case), id 307 if the response did not arrive in
    /// time or the connection failed. The next call replaces a failed connection; it also replaces
    /// one that only timed out if `drop_on_timeout` is set.
    template <typename Result, typename Send>
    Result call(const endpoint& server, milliseconds timeout, Send&& send, bool drop_on_timeout)
    {
        bool sent = false;
        // Only the number is kept here: the connection must not leave its own thread.
        std::uint64_t connection_number = 0;
        try {
            return executor_->executeSync([&]() -> kj::Promise<Result> {
                auto response = open(server).then(
                    [&, timeout](std::shared_ptr<connection> opened) -> kj::Promise<Result> {
                        sent = true;
                        connection_number = opened->number;
                        return send(opened->client).attach(kj::mv(opened));
                    });
                return with_timeout<Result>(kj::mv(response), timeout);
            });
        } catch (const kj::Exception& cause) {
            const bool timed_out = cause.getType() == kj::Exception::Type::OVERLOADED;
            if (!timed_out || drop_on_timeout) {
                drop(server, connection_number);
            }
            const int id = sent ? no_answer : timed_out ? not_connected : refused_connection;
            throw transport_error(id, to_string(server) + ": " + cause.getDescription().cStr(),
                                  sent);
        }
    }

private:
    static constexpr milliseconds connect_timeout{500};

    /// An open connection; must only be accessed from the connection thread.
    struct connection {
        connection(kj::Own<kj::AsyncIoStream> opened, std::uint64_t number)
            : number(number), stream(kj::mv(opened)), rpc(*stream),
              client(rpc.bootstrap().template castAs<Interface>())
        {
        }

        std::uint64_t number;
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient rpc;
        typename Interface::Client client;
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

    void drop(const endpoint& server, std::uint64_t connection_number)
    {
        executor_->executeSync([&] {
            const auto found = connections_.find(server);
            if (found != connections_.end() && found->second->number == connection_number) {
                connections_.erase(found);
            }
        });
    }

    void run(std::promise<void>& ready)
    {
        std::optional<kj::AsyncIoContext> io;
        try {
            io.emplace(kj::setupAsyncIo());
        } catch (const kj::Exception& cause) {
            ready.set_exception(std::make_exception_ptr(transport_error(
                318, std::string("can't open connections: ") + cause.getDescription().cStr(),
                false)));
            return;
        }
        timer_ = &io->provider->getTimer();
        network_ = &io->provider->getNetwork();
        executor_ = kj::getCurrentThreadExecutor().addRef();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        stop_ = kj::mv(stop.fulfiller);
        ready.set_value();
        stop.promise.wait(io->waitScope);
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

} // namespace flamingoseam::detail
