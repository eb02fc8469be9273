/// A stand-in for the network between two programs. Forwards TCP connections to a target, and on
/// request drops all further data of the open connections, or does so until the next request on
/// them as after a loss of power of the target, closes connections, delays their data, or holds
/// back what the target sends.
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/log/log.hpp"

#include <gflags/gflags.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <algorithm>
#include <atomic>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7900, "TCP port to listen on");
DEFINE_string(target, "127.0.0.1", "IP address to forward to");
DEFINE_int32(target_port, 7300, "TCP port to forward to");
DEFINE_int32(control_port, 7901,
             "HTTP port for POST /v1/mode?mode=pass|silence|forget|cut|mute&delay_ms=N");

namespace {

constexpr std::size_t buffer_size = 16'384;
constexpr int poll_interval_ms = 20;

/// The faults that are applied to the connections. Set through the control port.
struct link_mode {
    std::atomic<int> silenced_before{0}; ///< Connections with a lower number forward nothing more.
    std::atomic<int> forgotten_before{
        0};                        ///< Connections with a lower number end at the next request.
    std::atomic<bool> mute{false}; ///< Data of the target is held back.
    std::atomic<bool> cut{false};  ///< Open connections are closed, new ones immediately.
    std::atomic<int> delay_ms{0};
    std::atomic<int> next_connection{1};
    std::atomic<std::int64_t> bytes{0}; ///< Forwarded in both directions.
};

/// Returns a promise that is fulfilled when the data of the target need not be held back.
kj::Promise<void> until_not_mute(link_mode& mode, kj::Timer& timer)
{
    if (!mode.mute) {
        return kj::READY_NOW;
    }
    return timer.afterDelay(poll_interval_ms * kj::MILLISECONDS).then([&mode, &timer] {
        return until_not_mute(mode, timer);
    });
}

enum class direction { to_target, from_target };

/// Forwards one direction of a connection until the sender closes it or it is silenced.
kj::Promise<void> pump(link_mode& mode, kj::Timer& timer, int number, direction way,
                       kj::AsyncIoStream& from, kj::AsyncIoStream& to, kj::byte* buffer)
{
    return from.tryRead(buffer, 1, buffer_size)
        .then([&mode, &timer, number, way, &from, &to,
               buffer](std::size_t size) -> kj::Promise<void> {
            if (number < mode.forgotten_before && way == direction::to_target) {
                return KJ_EXCEPTION(DISCONNECTED, "the target has lost its connections");
            }
            if (number < std::max(mode.silenced_before.load(), mode.forgotten_before.load())) {
                return kj::Promise<void>(kj::NEVER_DONE);
            }
            mode.bytes += static_cast<std::int64_t>(size);
            if (size == 0) {
                to.shutdownWrite();
                return kj::READY_NOW;
            }
            return timer.afterDelay(mode.delay_ms.load() * kj::MILLISECONDS)
                .then([&mode, &timer, way]() -> kj::Promise<void> {
                    if (way == direction::from_target) {
                        return until_not_mute(mode, timer);
                    }
                    return kj::READY_NOW;
                })
                .then([&to, buffer, size] { return to.write(buffer, size); })
                .then([&mode, &timer, number, way, &from, &to, buffer] {
                    return pump(mode, timer, number, way, from, to, buffer);
                });
        });
}

/// Returns a promise that is fulfilled when the connections are to be cut.
kj::Promise<void> until_cut(link_mode& mode, kj::Timer& timer)
{
    if (mode.cut) {
        return kj::READY_NOW;
    }
    return timer.afterDelay(poll_interval_ms * kj::MILLISECONDS).then([&mode, &timer] {
        return until_cut(mode, timer);
    });
}

/// Accepts connections and forwards them to the target. Runs on its own thread.
class forwarder : kj::TaskSet::ErrorHandler {
public:
    explicit forwarder(link_mode& mode) : mode_(mode), io_(kj::setupAsyncIo()), tasks_(*this) {}

    void run()
    {
        auto& network = io_.provider->getNetwork();
        target_ = network.parseAddress(FLAGS_target, static_cast<unsigned>(FLAGS_target_port))
                      .wait(io_.waitScope);
        auto listen = network.parseAddress(FLAGS_address, static_cast<unsigned>(FLAGS_port))
                          .wait(io_.waitScope);
        auto receiver = listen->listen();
        while (true) {
            auto from = receiver->accept().wait(io_.waitScope);
            if (!mode_.cut) {
                tasks_.add(forward(kj::mv(from)));
            }
        }
    }

private:
    kj::Promise<void> forward(kj::Own<kj::AsyncIoStream> from)
    {
        const int number = mode_.next_connection++;
        return target_->connect().then([this, number, from = kj::mv(from)](auto to) mutable {
            auto request_buffer = kj::heapArray<kj::byte>(buffer_size);
            auto response_buffer = kj::heapArray<kj::byte>(buffer_size);
            auto& timer = io_.provider->getTimer();
            auto directions = kj::heapArrayBuilder<kj::Promise<void>>(2);
            directions.add(pump(mode_, timer, number, direction::to_target, *from, *to,
                                request_buffer.begin()));
            directions.add(pump(mode_, timer, number, direction::from_target, *to, *from,
                                response_buffer.begin()));
            return kj::joinPromises(directions.finish())
                .exclusiveJoin(until_cut(mode_, timer))
                .attach(kj::mv(request_buffer), kj::mv(response_buffer), kj::mv(from), kj::mv(to));
        });
    }

    void taskFailed(kj::Exception&& /*cause*/) override {}

    link_mode& mode_;
    kj::AsyncIoContext io_;
    kj::TaskSet tasks_;
    kj::Own<kj::NetworkAddress> target_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the network between two programs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    const auto signals = flamingoseam::block_shutdown_signals();
    link_mode mode;
    std::thread([&mode] { forwarder(mode).run(); }).detach();
    const flamingoseam::http_server control(
        {.address = FLAGS_address,
         .port = static_cast<unsigned short>(FLAGS_control_port),
         .max_threads = 4},
        [&mode](const flamingoseam::http_request& request) -> flamingoseam::http_response {
            const auto name = request.query_or("mode", "pass");
            mode.cut = name == "cut";
            mode.mute = name == "mute";
            mode.delay_ms = std::stoi(request.query_or("delay_ms", "0"));
            if (name == "silence") {
                mode.silenced_before = mode.next_connection.load();
            } else if (name == "forget") {
                mode.forgotten_before = mode.next_connection.load();
            }
            return {.body = R"({"bytes":)" + std::to_string(mode.bytes) + "}"};
        });
    flamingoseam::wait_for_shutdown_signal(signals);
    std::_Exit(0);
}
