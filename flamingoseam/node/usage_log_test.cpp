#include "flamingoseam/node/usage_log.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <vector>

using namespace flamingoseam;
using namespace flamingoseam::node;
using namespace std::chrono_literals;

namespace {

/// A usage log whose readings are set by the test, with the events that it has logged.
struct observed_log {
    process_usage usage{
        .threads = 30, .descriptors = 40, .resident_kb = 9'000, .address_space_kb = 1'500'000};
    int readings = 0;
    std::vector<log_event> events;
    event_log log{{.descriptor = -1,
                   .observer = [this](const log_event& event) { events.push_back(event); }}};
    usage_log usages{log, [this] {
                         ++readings;
                         return usage;
                     }};

    /// Returns a field of the last event, none if the event doesn't have it.
    [[nodiscard]] std::optional<std::int64_t> last(const std::string& name) const
    {
        for (const auto& field : events.back().fields) {
            if (field.name == name) {
                return field.value;
            }
        }
        return std::nullopt;
    }
};

constexpr time_point start{1h};

} // namespace

TEST_CASE("the usage of a process is logged only when it has grown by a step")
{
    observed_log observed;
    observed.usages.update(start, true);
    REQUIRE(observed.events.size() == 1);
    CHECK(observed.events[0].event == "process_usage");
    CHECK(observed.last("threads") == 30);
    CHECK(observed.last("descriptors") == 40);
    CHECK(observed.last("resident_kb") == 9'000);
    CHECK(observed.last("address_space_kb") == 1'500'000);

    SECTION("a smaller change is not logged")
    {
        observed.usage.threads = 45;
        observed.usage.descriptors = 55;
        observed.usage.resident_kb = 9'000 + 16'383;
        observed.usage.address_space_kb = 1'500'000 + 524'287;
        observed.usages.update(start + 1s, true);
        CHECK(observed.readings == 2);
        CHECK(observed.events.size() == 1);
    }
    SECTION("growth of any figure by a step is logged")
    {
        observed.usage.threads = 46;
        observed.usages.update(start + 1s, true);
        CHECK(observed.events.size() == 2);
        observed.usage.descriptors = 56;
        observed.usages.update(start + 2s, true);
        CHECK(observed.events.size() == 3);
        observed.usage.resident_kb = 9'000 + 16'384;
        observed.usages.update(start + 3s, true);
        CHECK(observed.events.size() == 4);
        observed.usage.address_space_kb = 1'500'000 + 524'288;
        observed.usages.update(start + 4s, true);
        CHECK(observed.events.size() == 5);
    }
    SECTION("growth to a value that was logged before is not logged again")
    {
        observed.usage.threads = 100;
        observed.usages.update(start + 1s, true);
        observed.usage.threads = 30;
        observed.usages.update(start + 2s, true);
        observed.usage.threads = 100;
        observed.usages.update(start + 3s, true);
        CHECK(observed.events.size() == 2);
    }
}

TEST_CASE("the usage of a process is read once a second for an owner, else once in 5 s")
{
    observed_log observed;
    observed.usages.update(start, false);
    observed.usages.update(start + 4'999ms, false);
    CHECK(observed.readings == 1);
    observed.usages.update(start + 5s, false);
    CHECK(observed.readings == 2);
    observed.usages.update(start + 5'999ms, true);
    CHECK(observed.readings == 2);
    observed.usages.update(start + 6s, true); // The node has become the owner.
    CHECK(observed.readings == 3);
}

TEST_CASE("the usage of a process is logged at each stage of a takeover")
{
    observed_log observed;
    observed.usages.record("takeover, epoch 2");
    observed.usages.record("sessions opened, epoch 2");
    REQUIRE(observed.events.size() == 2);
    CHECK(observed.events[1].detail == "sessions opened, epoch 2");
    CHECK(observed.last("threads") == 30);
    CHECK(observed.last("descriptor_limit").has_value() ==
          read_process_limits().descriptors.has_value());
}

TEST_CASE("a usage that can't be read is left out, and an error of the reading is no error")
{
    observed_log observed;
    observed.usage.threads = std::nullopt;
    observed.usages.record("takeover");
    CHECK_FALSE(observed.last("threads"));
    usage_log failing(observed.log, []() -> process_usage { throw std::bad_alloc(); });
    failing.record("takeover");
    failing.update(start, true);
    CHECK(observed.events.size() == 1);
}
