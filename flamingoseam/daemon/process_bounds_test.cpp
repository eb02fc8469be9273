#include "flamingoseam/daemon/process_bounds.hpp"

#include "tests/child_exit.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <latch>
#include <thread>

using namespace flamingoseam;

namespace {

/// Returns the kB of address space that many threads add, which all allocate memory.
std::int64_t address_space_of_threads()
{
    constexpr int count = 64;
    const auto before = own_status("VmSize");
    std::latch all_allocated(count + 1);
    std::latch measured(1);
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (int number = 0; number < count; ++number) {
        threads.emplace_back([&] {
            const std::string allocated(10'000, 'x');
            all_allocated.arrive_and_wait();
            measured.wait();
        });
    }
    all_allocated.arrive_and_wait();
    const auto after = own_status("VmSize");
    measured.count_down();
    for (auto& thread : threads) {
        thread.join();
    }
    return after - before;
}

} // namespace

TEST_CASE("threads reserve little address space, so that an owner fits into a limit of it")
{
    if (has_sanitizer) {
        WARN("not run: a sanitizer needs address space of its own");
        return;
    }
    constexpr std::int64_t most_kb = 420'000; // Stacks of 64 MiB, and four arenas of 64 MiB.
    const auto end = exit_of_child([] {
        ::unsetenv("MALLOC_ARENA_MAX");
        bound_threads();
        return address_space_of_threads() <= most_kb ? 0 : 1;
    });
    CHECK(end.signal == 0);
    CHECK(end.code == 0);
}

TEST_CASE("a limit below what a node needs is named, with its value and the need")
{
    const process_need need{.threads = 160, .address_space_bytes = 1'000, .descriptors = 500};
    CHECK(find_shortages({}, need).empty());
    CHECK(find_shortages({.threads = 160, .address_space_bytes = 1'000, .descriptors = 500}, need)
              .empty());
    CHECK(find_shortages({.threads = 99, .address_space_bytes = 1'000, .descriptors = 256}, need) ==
          std::vector<std::string>{
              "the limit RLIMIT_NPROC (threads of the user) is 99, but this process may need 160",
              "the limit RLIMIT_NOFILE (descriptors) is 256, but this process may need 500"});
}
