#include "flamingoseam/core/thread_times.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace flamingoseam;
using namespace std::chrono_literals;

namespace {

/// Keeps the calling thread busy until it has used `time` of the processor.
void use_processor(milliseconds time)
{
    const auto end = read_thread_time() + time;
    while (read_thread_time() < end) {
    }
}

} // namespace

TEST_CASE("processor time is reported under the duty of the thread that used it")
{
    const auto orders = static_cast<std::size_t>(thread_duty::orders);
    const auto polls = static_cast<std::size_t>(thread_duty::polls);
    const auto before = read_duty_times();
    use_processor(40ms);
    std::thread([] {
        const thread_timer timer(thread_duty::orders);
        use_processor(20ms);
    }).join();
    const auto after = read_duty_times();

    CHECK(after[orders] - before[orders] >= 20ms);
    CHECK(after[orders] - before[orders] < 40ms);
    CHECK(after[polls] == before[polls]);
}
