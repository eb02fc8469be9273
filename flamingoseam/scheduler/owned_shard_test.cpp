#include "flamingoseam/scheduler/owned_shard.hpp"

#include "tests/child_exit.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace flamingoseam;

namespace {

constexpr milliseconds lease{100};
constexpr int first_workers = 16; ///< After them, the allocator has as much as it keeps.
constexpr int churned_workers = 48;
constexpr std::int64_t max_growth_kb = 64 * 1'024;

} // namespace

// Guards against the stacks of two threads that each VM which had come and gone left behind.
TEST_CASE("the links of workers that are gone use no memory")
{
    const contract_table contracts;
    const shard_entry entry{.shard = "s1", .zone = "z", .epoch = 1, .owner = "127.0.0.1:1"};
    owned_shard shard(
        entry,
        std::make_unique<shard_state>(
            shard_options{.shard = "s1", .owner = entry.owner, .began = wall_now()}, contracts,
            journal_record{}, now()),
        [](const auto& /*function*/) {}, lease);
    auto time = now();
    const auto replace_worker = [&](int number) {
        shard.apply_vm_list(
            {{.address = "127.0.0.1:" + std::to_string(1 + number), .zone = "z", .rack = "r1"}},
            time);
        std::this_thread::sleep_for(milliseconds(10));
        time += 2 * lease;
    };
    for (int number = 0; number < first_workers; ++number) {
        replace_worker(number);
    }
    const auto before = own_status("VmSize");
    for (int number = first_workers; number < first_workers + churned_workers; ++number) {
        replace_worker(number);
    }
    CHECK(own_status("VmSize") - before < max_growth_kb);
}
