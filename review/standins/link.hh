#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns a TCP port of 127.0.0.1 that is free at present.
inline int free_port()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    if (bind(probe, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    close(probe);
    return ntohs(address.sin_port);
}

/// Connects to a port of 127.0.0.1. Returns -1 if nothing listens there.
inline int connect_to(int port)
{
    const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(peer, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close(peer);
        return -1;
    }
    return peer;
}

/// The network in front of one machine. While the machine has no power, nothing answers: open
/// connections stay silent and new ones hang. Once it has power again, its system knows none of the
/// earlier connections and resets them when data arrives.
class machine_link {
public:
    machine_link(int port, int target) : target_(target)
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int reuse = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        const auto address = loopback(port);
        if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
            listen(listener_, 64) != 0) {
            throw std::runtime_error("can't listen on port " + std::to_string(port));
        }
        std::thread([this] { run(); }).detach();
    }

    void lose_power()
    {
        has_power_ = false;
        ++life_;
    }

    void regain_power(int target)
    {
        target_ = target;
        has_power_ = true;
    }

private:
    void run()
    {
        while (true) {
            const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (client >= 0) {
                std::thread([this, client, life = life_.load()] { forward(client, life); }).detach();
            }
        }
    }

    void forward(int client, int life)
    {
        const int server = has_power_ ? connect_to(target_) : -1;
        if (server >= 0) {
            relay(client, server, life);
            close(server);
        }
        if (life == life_ && has_power_) {
            close(client); // The server has closed the connection or does not listen.
        } else {
            wait_for_reset(client);
        }
    }

    /// Copies both directions until one end closes or the machine loses its power.
    void relay(int client, int server, int life)
    {
        std::array<char, 65'536> buffer{};
        std::array<pollfd, 2> ends{{{client, POLLIN, 0}, {server, POLLIN, 0}}};
        while (true) {
            poll(ends.data(), ends.size(), 2);
            if (life != life_) {
                return;
            }
            for (std::size_t from = 0; from < ends.size(); ++from) {
                if (ends[from].revents == 0) {
                    continue;
                }
                const auto size = read(ends[from].fd, buffer.data(), buffer.size());
                if (life != life_) {
                    return;
                }
                if (size <= 0 || send(ends[1 - from].fd, buffer.data(),
                                      static_cast<std::size_t>(size), MSG_NOSIGNAL) != size) {
                    return;
                }
            }
        }
    }

    /// Resets the connection when data arrives after the machine has regained its power.
    void wait_for_reset(int client)
    {
        std::array<char, 65'536> buffer{};
        while (read(client, buffer.data(), buffer.size()) > 0 && !has_power_) {
        }
        const linger reset{1, 0};
        setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(client);
    }

    int listener_ = -1;
    std::atomic<int> target_;
    std::atomic<int> life_{0}; ///< Increases with each loss of power.
    std::atomic<bool> has_power_{true};
};

} // namespace review
