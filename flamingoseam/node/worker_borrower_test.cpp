#include "flamingoseam/node/worker_borrower.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace flamingoseam;
using namespace flamingoseam::node;

TEST_CASE("a call for workers that fails does not keep the next one from being made")
{
    std::atomic<int> calls{0};
    worker_borrower borrower([&calls](const workflow::worker_request& /*request*/) {
        if (++calls == 1) {
            throw std::out_of_range("no such shard");
        }
    });
    const auto end = now() + std::chrono::seconds(2);
    while (calls < 2 && now() < end) {
        borrower.request({});
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(calls >= 2);
}

// With one place for a request, a slow call for one service kept those for others from being made.
TEST_CASE("a request for workers of one service does not replace that for another service")
{
    std::mutex mutex;
    std::vector<std::string> called;
    std::promise<void> first_ends;
    worker_borrower borrower([&, ended = first_ends.get_future().share()](const auto& request) {
        {
            const std::lock_guard lock(mutex);
            called.push_back(request.service + std::to_string(request.workers));
        }
        ended.wait();
    });
    const auto call_count = [&] {
        const std::lock_guard lock(mutex);
        return called.size();
    };
    const auto wait_for = [&](std::size_t count) {
        const auto end = now() + std::chrono::seconds(2);
        while (call_count() < count && now() < end) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    };
    const auto request = [&](const std::string& service, std::size_t workers) {
        workflow::worker_request made;
        made.service = service;
        made.workers = workers;
        borrower.request(made);
    };
    request("a", 1);
    wait_for(1);
    request("b", 1);
    request("a", 2);
    request("b", 2);
    first_ends.set_value();
    wait_for(3);
    const std::lock_guard lock(mutex);
    CHECK(called == std::vector<std::string>{"a1", "b2", "a2"});
}

TEST_CASE("a borrower for which there is no thread is not created")
{
    const thread_limit limit(0);
    CHECK_THROWS_AS((worker_borrower(borrow_call([](const auto& /*request*/) {}))), resource_error);
}
