#include "standins/platform_ticket.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace flamingoseam;
using namespace std::chrono_literals;

namespace {

constexpr wall_time born{1'000};
constexpr wall_time issued{2'000};

bool permits_on_w1(const std::string& text, wall_time time)
{
    return standin::permits(text, "a.0.1.3", "w1", born, time, 500ms);
}

} // namespace

TEST_CASE("a ticket lets one life of one worker start the tasks of one step for a time")
{
    const auto ticket = standin::write_ticket({"a.0.1", "w1", issued});
    CHECK(permits_on_w1(ticket, issued + 500ms));
    CHECK_FALSE(permits_on_w1(ticket, issued + 501ms));
    CHECK_FALSE(permits_on_w1("", issued));
    CHECK_FALSE(permits_on_w1(standin::write_ticket({"a.0.2", "w1", issued}), issued));
    CHECK_FALSE(permits_on_w1(standin::write_ticket({"a.0.1", "w2", issued}), issued));
    CHECK_FALSE(permits_on_w1(standin::write_ticket({"a.0.1", "w1", born - 1ms}), issued));
}

TEST_CASE("about the given share of workers is refused for a step, always the same ones")
{
    constexpr int workers = 1'000;
    int refused = 0;
    for (int number = 0; number < workers; ++number) {
        const auto id = "w" + std::to_string(number);
        CHECK_FALSE(standin::is_refused("a.0.1", id, 0));
        const bool is_refused = standin::is_refused("a.0.1", id, 25);
        CHECK(is_refused == standin::is_refused("a.0.1", id, 25));
        refused += is_refused ? 1 : 0;
    }
    CHECK(refused > 200);
    CHECK(refused < 300);
}
