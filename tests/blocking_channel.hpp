#pragma once

#include "flamingoseam/node/worker_channel.hpp"
#include "flamingoseam/node/worker_io.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace flamingoseam::tests {

/// A connection to a worker whose calls wait for the answer, or throw an exception.
class blocking_channel {
public:
    virtual ~blocking_channel() = default;
    virtual node::order_answer start(const node::start_call& call, milliseconds timeout) = 0;
    virtual node::order_answer stop(const workflow::run_name& name, std::uint64_t epoch,
                                    milliseconds timeout) = 0;
    virtual node::renew_answer renew(const node::renew_call& call, milliseconds timeout) = 0;
};

using blocking_channel_factory =
    std::function<std::unique_ptr<blocking_channel>(const workflow::worker_entry& worker)>;

/// Makes the calls of a blocking channel on a thread of its own.
class channel_thread final : public node::worker_channel {
public:
    channel_thread(io_loop& loop, std::unique_ptr<blocking_channel> channel)
        : loop_(loop), channel_(std::move(channel)), thread_([this] { run(); })
    {
    }

    /// Waits for the call in flight.
    ~channel_thread() override
    {
        {
            const std::lock_guard lock(mutex_);
            ending_ = true;
        }
        changed_.notify_one();
        thread_.join();
    }

    channel_thread(const channel_thread&) = delete;
    channel_thread& operator=(const channel_thread&) = delete;

    void start(const node::start_call& call, milliseconds timeout, order_handler handler) override
    {
        begin([this, call, timeout] { return channel_->start(call, timeout); }, std::move(handler));
    }
    void stop(const workflow::run_name& name, std::uint64_t epoch, milliseconds timeout,
              order_handler handler) override
    {
        begin([this, name, epoch, timeout] { return channel_->stop(name, epoch, timeout); },
              std::move(handler));
    }
    void renew(const node::renew_call& call, milliseconds timeout, renew_handler handler) override
    {
        begin([this, call, timeout] { return channel_->renew(call, timeout); }, std::move(handler));
    }

private:
    template <typename Call, typename Handler> void begin(Call call, Handler handler)
    {
        {
            const std::lock_guard lock(mutex_);
            call_ = [this, call = std::move(call), handler = std::move(handler)] {
                auto result = result_of(call);
                loop_.post([handler, result = std::move(result),
                            exists = std::weak_ptr(exists_)]() mutable {
                    if (!exists.expired()) {
                        handler(std::move(result));
                    }
                });
            };
        }
        changed_.notify_one();
    }

    void run()
    {
        std::unique_lock lock(mutex_);
        while (!ending_) {
            if (const auto call = std::exchange(call_, nullptr)) {
                lock.unlock();
                call();
                lock.lock();
            } else {
                changed_.wait(lock);
            }
        }
    }

    io_loop& loop_;
    std::unique_ptr<blocking_channel> channel_;
    std::shared_ptr<bool> exists_ = std::make_shared<bool>(true); ///< Null once this is destroyed.
    std::mutex mutex_;
    std::condition_variable changed_;
    std::function<void()> call_;
    bool ending_ = false;
    std::thread thread_;
};

/// Returns a factory of channels that use blocking ones.
inline node::worker_channel_factory on_own_threads(blocking_channel_factory channels)
{
    return [channels = std::move(channels)](io_loop& loop, const workflow::worker_entry& worker) {
        return std::make_unique<channel_thread>(loop, channels(worker));
    };
}

/// Returns the I/O threads that all tests use.
inline const std::shared_ptr<node::worker_io>& shared_worker_io()
{
    static const auto io = std::make_shared<node::worker_io>();
    return io;
}

} // namespace flamingoseam::tests
