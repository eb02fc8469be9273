#include "flamingoseam/core/process_usage.hpp"
#include "tests/descriptor_limit.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <future>
#include <thread>

using namespace flamingoseam;

TEST_CASE("the usage of a process counts its threads, descriptors and memory")
{
    const auto before = read_process_usage();
    REQUIRE(before.threads);
    REQUIRE(before.descriptors);
    CHECK(before.resident_kb.value() > 1'000);
    CHECK(before.address_space_kb.value() > before.resident_kb.value());

    std::promise<void> may_end;
    std::thread added([end = may_end.get_future()] { end.wait(); });
    const int descriptor = ::dup(STDIN_FILENO);
    const auto after = read_process_usage();
    ::close(descriptor);
    may_end.set_value();
    added.join();
    CHECK(*after.threads == *before.threads + 1);
    CHECK(*after.descriptors == *before.descriptors + 1);
}

TEST_CASE("the usage of a process without free descriptors is unknown, which is no error")
{
    const descriptor_limit limit(0);
    const auto usage = read_process_usage();
    CHECK_FALSE(usage.threads);
    CHECK_FALSE(usage.descriptors);
}

TEST_CASE("the limits of a process")
{
    const descriptor_limit limit(10);
    rlimit expected{};
    ::getrlimit(RLIMIT_NOFILE, &expected);
    const auto limits = read_process_limits();
    CHECK(limits.descriptors == static_cast<std::int64_t>(expected.rlim_cur));
    ::getrlimit(RLIMIT_AS, &expected);
    CHECK(limits.address_space_kb.has_value() == (expected.rlim_cur != RLIM_INFINITY));
    ::getrlimit(RLIMIT_NPROC, &expected);
    if (expected.rlim_cur != RLIM_INFINITY) {
        REQUIRE(limits.threads);
        CHECK(*limits.threads <= static_cast<std::int64_t>(expected.rlim_cur));
    }
}

TEST_CASE("a number of a process's status is found by its name")
{
    constexpr auto status = "Name:\tnode\nVmSize:\t  4711 kB\nThreads:\t12\nEmpty:";
    CHECK(detail::find_status_number(status, "\nVmSize:") == 4'711);
    CHECK(detail::find_status_number(status, "\nThreads:") == 12);
    CHECK_FALSE(detail::find_status_number(status, "\nName:"));
    CHECK_FALSE(detail::find_status_number(status, "\nEmpty:"));
    CHECK_FALSE(detail::find_status_number(status, "\nVmRSS:"));
    CHECK_FALSE(detail::find_status_number("", "\nThreads:"));
}
