#include "standins/platform_worker.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace flamingoseam;
using namespace std::chrono_literals;

namespace {

constexpr auto lease = 500ms;

/// Keeps the times at which leases lapsed and the ends of runs.
class recorded_events final : public standin::run_observer {
public:
    explicit recorded_events(milliseconds begin_delay = 0ms) : begin_delay_(begin_delay) {}

    void on_begin(const standin::run_id& /*run*/, const standin::run_order& /*order*/) override
    {
        std::this_thread::sleep_for(begin_delay_);
    }
    void on_end(std::int64_t /*number*/, const standin::run_id& /*run*/,
                const std::string& how) override
    {
        const std::lock_guard lock(mutex_);
        ends_.push_back(how);
    }
    void on_acknowledged(const standin::run_id& /*run*/, const std::string& /*how*/,
                         std::int64_t /*token*/) override
    {
    }
    void on_lease_lapsed(wall_time time) override
    {
        const std::lock_guard lock(mutex_);
        lapses_.push_back(time);
    }
    void on_late_start() override {}

    std::vector<wall_time> lapses() const
    {
        const std::lock_guard lock(mutex_);
        return lapses_;
    }
    std::vector<std::string> ends() const
    {
        const std::lock_guard lock(mutex_);
        return ends_;
    }

    /// Waits until this many leases have lapsed, and a little longer for any that should not.
    void wait_for_lapses(std::size_t count) const
    {
        const auto deadline = now() + 10s;
        while (lapses().size() < count && now() < deadline) {
            std::this_thread::sleep_for(10ms);
        }
        std::this_thread::sleep_for(100ms);
    }

private:
    milliseconds begin_delay_; ///< Nothing else happens on the worker meanwhile.
    mutable std::mutex mutex_;
    std::vector<wall_time> lapses_;
    std::vector<std::string> ends_;
};

struct observed_worker {
    recorded_events events;
    standin::platform_worker worker{"w1", 0ms, events};

    explicit observed_worker(milliseconds begin_delay = 0ms) : events(begin_delay) {}

    /// Sends an order to the worker and returns the worker's clock.
    std::int64_t send(const std::string& path, nlohmann::json body)
    {
        const auto response = worker.handle({.path = path, .body = body.dump()});
        return nlohmann::json::parse(response.body).at("clockMs");
    }

    std::int64_t poll() { return send("/api/hold", nlohmann::json::object()); }

    /// Grants a lease of this length from now on.
    void grant(milliseconds length)
    {
        send("/api/hold", {{"deadlineMs", poll() + length.count()}});
    }

    void start(std::int64_t lease_until_ms)
    {
        send("/api/run-start",
             {{"task", "t"}, {"run", 1}, {"spec", "ms=10000"}, {"deadlineMs", lease_until_ms}});
    }
};

} // namespace

TEST_CASE("a worker without a lease reports no lapse")
{
    observed_worker observed;
    std::this_thread::sleep_for(100ms);
    observed.send("/api/hold", {{"deadlineMs", 1}}); // This has passed already.
    std::this_thread::sleep_for(100ms);
    CHECK(observed.events.lapses().empty());
}

TEST_CASE("a lapse of a lease is reported once though nothing runs")
{
    observed_worker observed;
    for (std::size_t lapses = 1; lapses <= 2; ++lapses) {
        observed.grant(lease);
        observed.events.wait_for_lapses(lapses);
        CHECK(observed.events.lapses().size() == lapses);
    }
    CHECK(observed.events.ends().empty());
}

TEST_CASE("a lapse of a lease is reported once and ends what runs")
{
    observed_worker observed;
    observed.start(observed.poll() + lease.count());
    observed.events.wait_for_lapses(1);
    CHECK(observed.events.lapses().size() == 1);
    CHECK(observed.events.ends() == std::vector<std::string>{"lapsed"});
}

TEST_CASE("a lapse of a lease that is noticed late has the time at which the lease ended")
{
    observed_worker observed(2 * lease);
    const auto before = wall_now();
    const auto clock_ms = observed.poll();
    const auto after = wall_now();
    observed.start(clock_ms + lease.count());
    observed.events.wait_for_lapses(1);
    const auto lapses = observed.events.lapses();
    REQUIRE(lapses.size() == 1);
    CHECK(lapses[0] >= before + lease);
    // The worker's clock is rounded up to a millisecond, the wall clock down.
    CHECK(lapses[0] <= after + lease + 2ms);
}

TEST_CASE("a lease that is renewed in time does not lapse")
{
    observed_worker observed;
    for (int renewal = 0; renewal < 5; ++renewal) {
        observed.grant(5s);
        std::this_thread::sleep_for(20ms);
    }
    CHECK(observed.events.lapses().empty());
}
