#include "standins/platform_store.hpp"

#include "flamingoseam/http/http_client.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace flamingoseam;
using namespace std::chrono_literals;

namespace {

constexpr unsigned short port = 17'591;
constexpr unsigned default_threads = http_server_options{}.max_threads;

/// A store that is served as the stand-in of the platform serves it, with watches that wait.
class watched_store {
public:
    explicit watched_store(unsigned watches)
        : server_({.address = "127.0.0.1",
                   .port = port,
                   .max_threads = standin::store_threads(watches)},
                  [this](const http_request& request) {
                      return store_.handle(request).value_or(http_response{.status = 404});
                  })
    {
        store_.put("op/config", "{}");
        for (unsigned number = 0; number < watches; ++number) {
            watches_.emplace_back([] {
                http_client client({"127.0.0.1", port});
                client.call({.path = "/api/kv-watch?prefix=servers/&after=2&waitMs=2500",
                             .timeout = 10s,
                             .may_send_again = false});
            });
        }
    }

    ~watched_store()
    {
        for (auto& watch : watches_) {
            watch.join();
        }
    }

    watched_store(const watched_store&) = delete;
    watched_store& operator=(const watched_store&) = delete;

private:
    standin::platform_store store_;
    http_server server_;
    std::vector<std::thread> watches_;
};

} // namespace

TEST_CASE("a store answers calls while more watches wait than a server has threads by default")
{
    const watched_store store(default_threads + 8);
    std::this_thread::sleep_for(1s); // Until the watches wait.
    http_client client({"127.0.0.1", port});
    CHECK(client.call({.path = "/api/kv-key?key=op/config", .timeout = 1s, .may_send_again = false})
              .status == 200);
}
