/// A stand-in for the network between two programs. Forwards TCP connections to a target, and on
/// request drops all further data of the open connections, or does so until the next request on
/// them as after a loss of power of the target, closes connections, delays their data, or holds
/// back what the target sends. It can have several routes, each of which can be held by itself:
/// then what is sent in either direction arrives when it is released, unless that drops it.
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/log/log.hpp"

#include <gflags/gflags.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7900, "TCP port to listen on");
DEFINE_string(target, "127.0.0.1", "IP address to forward to");
DEFINE_int32(target_port, 7300, "TCP port to forward to");
DEFINE_string(routes, "",
              "ADDRESS=TARGET,...: IP addresses to listen on and to forward to, in place of "
              "--address and --target");
DEFINE_int32(ports, 1, "number of ports from --port on, forwarded to those from --target_port on");
DEFINE_int32(control_port, 7901,
             "HTTP port for POST /v1/mode?mode=pass|silence|forget|cut|mute&delay_ms=N and "
             "POST /v1/hold?route=N&on=0|1&drop=0|1, where the first route is 0");

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

/// An address to listen on and the target to which its connections are forwarded.
struct route {
    route(std::string listened, std::string forwarded)
        : address(std::move(listened)), target(std::move(forwarded))
    {
    }

    std::string address;
    std::string target;
    std::atomic<bool> held{false}; ///< Nothing is forwarded, and what is sent waits.
    std::atomic<int> drops{0};     ///< Each closes the connections that were accepted before.
};

/// Returns a promise that is fulfilled when a flag is not set.
kj::Promise<void> until_clear(const std::atomic<bool>& flag, kj::Timer& timer)
{
    if (!flag) {
        return kj::READY_NOW;
    }
    return timer.afterDelay(poll_interval_ms * kj::MILLISECONDS).then([&flag, &timer] {
        return until_clear(flag, timer);
    });
}

/// Returns a promise that is fulfilled when the connections of a route are dropped again.
kj::Promise<void> until_dropped(const route& way_to, int drops, kj::Timer& timer)
{
    if (way_to.drops != drops) {
        return kj::READY_NOW;
    }
    return timer.afterDelay(poll_interval_ms * kj::MILLISECONDS).then([&way_to, drops, &timer] {
        return until_dropped(way_to, drops, timer);
    });
}

enum class direction { to_target, from_target };

/// Forwards one direction of a connection until the sender closes it or it is silenced.
kj::Promise<void> pump(link_mode& mode, const route& way_to, kj::Timer& timer, int number,
                       direction way, kj::AsyncIoStream& from, kj::AsyncIoStream& to,
                       kj::byte* buffer)
{
    return from.tryRead(buffer, 1, buffer_size)
        .then([&way_to, &timer](std::size_t size) {
            return until_clear(way_to.held, timer).then([size] { return size; });
        })
        .then([&mode, &way_to, &timer, number, way, &from, &to,
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
                        return until_clear(mode.mute, timer);
                    }
                    return kj::READY_NOW;
                })
                .then([&to, buffer, size] { return to.write(buffer, size); })
                .then([&mode, &way_to, &timer, number, way, &from, &to, buffer] {
                    return pump(mode, way_to, timer, number, way, from, to, buffer);
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

/// Accepts connections and forwards them to the targets. Runs on its own thread.
class forwarder : kj::TaskSet::ErrorHandler {
public:
    forwarder(link_mode& mode, std::deque<route>& routes)
        : mode_(mode), routes_(routes), io_(kj::setupAsyncIo()), tasks_(*this)
    {
    }

    void run()
    {
        auto& network = io_.provider->getNetwork();
        for (auto& way_to : routes_) {
            for (int port = 0; port < FLAGS_ports; ++port) {
                listen(network, way_to, port);
            }
        }
        kj::Promise<void>(kj::NEVER_DONE).wait(io_.waitScope);
    }

private:
    static unsigned port_of(int port) { return static_cast<unsigned>(port); }

    void listen(kj::Network& network, const route& way_to, int port)
    {
        auto target = network.parseAddress(way_to.target, port_of(FLAGS_target_port + port))
                          .wait(io_.waitScope);
        auto receiver = network.parseAddress(way_to.address, port_of(FLAGS_port + port))
                            .wait(io_.waitScope)
                            ->listen();
        auto& listener = *receiver;
        tasks_.add(accept(way_to, listener, *target).attach(kj::mv(receiver), kj::mv(target)));
    }

    kj::Promise<void> accept(const route& way_to, kj::ConnectionReceiver& receiver,
                             kj::NetworkAddress& target)
    {
        return receiver.accept().then([this, &way_to, &receiver, &target](auto from) {
            if (!mode_.cut) {
                auto& timer = io_.provider->getTimer();
                tasks_.add(until_clear(way_to.held, timer)
                               .then([this, &way_to, &target, from = kj::mv(from)]() mutable {
                                   return forward(way_to, target, kj::mv(from));
                               })
                               .exclusiveJoin(until_dropped(way_to, way_to.drops, timer)));
            }
            return accept(way_to, receiver, target);
        });
    }

    kj::Promise<void> forward(const route& way_to, kj::NetworkAddress& target,
                              kj::Own<kj::AsyncIoStream> from)
    {
        const int number = mode_.next_connection++;
        return target.connect().then([this, &way_to, number, from = kj::mv(from)](auto to) mutable {
            auto request_buffer = kj::heapArray<kj::byte>(buffer_size);
            auto response_buffer = kj::heapArray<kj::byte>(buffer_size);
            auto& timer = io_.provider->getTimer();
            auto directions = kj::heapArrayBuilder<kj::Promise<void>>(2);
            directions.add(pump(mode_, way_to, timer, number, direction::to_target, *from, *to,
                                request_buffer.begin()));
            directions.add(pump(mode_, way_to, timer, number, direction::from_target, *to, *from,
                                response_buffer.begin()));
            return kj::joinPromises(directions.finish())
                .exclusiveJoin(until_cut(mode_, timer))
                .attach(kj::mv(request_buffer), kj::mv(response_buffer), kj::mv(from), kj::mv(to));
        });
    }

    void taskFailed(kj::Exception&& /*cause*/) override {}

    link_mode& mode_;
    std::deque<route>& routes_;
    kj::AsyncIoContext io_;
    kj::TaskSet tasks_;
};

/// Reads the routes from the flags.
std::deque<route> read_routes()
{
    std::deque<route> routes;
    if (FLAGS_routes.empty()) {
        routes.emplace_back(FLAGS_address, FLAGS_target);
        return routes;
    }
    std::istringstream text(FLAGS_routes);
    for (std::string part; std::getline(text, part, ',');) {
        const auto separator = part.find('=');
        routes.emplace_back(part.substr(0, separator), part.substr(separator + 1));
    }
    return routes;
}

flamingoseam::http_response set_held(std::deque<route>& routes,
                                     const flamingoseam::http_request& request)
{
    const auto number = std::stoul(request.query_or("route", "0"));
    auto& held = routes.at(number);
    held.drops += request.query_or("drop", "0") == "1" ? 1 : 0;
    held.held = request.query_or("on", "0") == "1";
    return {.body = "{}"};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the network between two programs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    const auto signals = flamingoseam::block_shutdown_signals();
    link_mode mode;
    auto routes = read_routes();
    std::thread([&mode, &routes] { forwarder(mode, routes).run(); }).detach();
    const flamingoseam::http_server control(
        {.address = FLAGS_address,
         .port = static_cast<unsigned short>(FLAGS_control_port),
         .max_threads = 4},
        [&](const flamingoseam::http_request& request) -> flamingoseam::http_response {
            if (request.path == "/v1/hold") {
                return set_held(routes, request);
            }
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
