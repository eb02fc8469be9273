#include "flamingoseam/node/worker_borrower.hpp"

#include "flamingoseam/core/error.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>
#include <thread>

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

TEST_CASE("a borrower for which there is no thread is not created")
{
    const thread_limit limit(0);
    CHECK_THROWS_AS((worker_borrower(borrow_call([](const auto& /*request*/) {}))), resource_error);
}
