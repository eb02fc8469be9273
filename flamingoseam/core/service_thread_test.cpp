#include "flamingoseam/core/service_thread.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/thread_name.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <new>
#include <stdexcept>
#include <string>

using namespace flamingoseam;

TEST_CASE("an exception that leaves a thread's function does not end the process")
{
    SECTION("one of the standard library")
    {
        service_thread thread("test", [] { throw std::out_of_range("no such element"); });
        thread.join();
        CHECK_FALSE(thread.joinable());
    }
    SECTION("one of another type")
    {
        service_thread thread("test", [] { throw 1; });
        thread.join();
        CHECK_FALSE(thread.joinable());
    }
}

TEST_CASE("a thread has the name that it was started with")
{
    std::string name;
    service_thread("commits", [&name] { name = thread_name(); }).join();
    CHECK(name == "commits");
}

TEST_CASE("a thread is joined before another takes its place")
{
    std::atomic<int> ended{0};
    service_thread thread("first", [&ended] { ++ended; });
    thread = service_thread("second", [] {});
    CHECK(ended == 1);
}

TEST_CASE("an action that fails is reported, with the type and the text of its exception")
{
    CHECK(run_guarded("an action", [] {}));
    CHECK_FALSE(run_guarded("an action", [] { throw std::runtime_error("it is broken"); }));
    int calls = 0;
    run_until_done("an action", [&calls] {
        if (++calls < 3) {
            throw std::bad_alloc();
        }
    });
    CHECK(calls == 3);
    try {
        throw parse_error(199, "no number");
    } catch (...) {
        CHECK(describe_current_exception() ==
              "flamingoseam::parse_error: [parse_error.199] no number");
    }
}
