#include "flamingoseam/node/owner_call.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <thread>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

owner_answer verdict(owner_verdict value)
{
    return {.verdict = value};
}

/// Returns prepared answers in order and repeats the last of them.
struct scripted_owner {
    std::deque<owner_verdict> answers;
    int attempts = 0;

    owner_answer operator()(milliseconds /*limit*/)
    {
        ++attempts;
        const auto next = answers.front();
        if (answers.size() > 1) {
            answers.pop_front();
        }
        return verdict(next);
    }
};

owner_answer call(scripted_owner& owner)
{
    return call_owner({.timeout = milliseconds(300),
                       .owner_wait = milliseconds(150),
                       .retry_interval = milliseconds(5)},
                      std::ref(owner), [](milliseconds limit) {
                          std::this_thread::sleep_for(std::min(limit, milliseconds(5)));
                      });
}

} // namespace

TEST_CASE("calls to the owner of the jobs")
{
    SECTION("an answer ends the call")
    {
        for (const auto value :
             {owner_verdict::accepted, owner_verdict::refused, owner_verdict::not_found}) {
            scripted_owner owner{{value}};
            CHECK(call(owner).verdict == value);
            CHECK(owner.attempts == 1);
        }
    }
    SECTION("a call waits for the next owner")
    {
        scripted_owner owner{
            {owner_verdict::no_owner, owner_verdict::no_owner, owner_verdict::accepted}};
        CHECK(call(owner).verdict == owner_verdict::accepted);
    }
    SECTION("without an owner the call ends before its timeout and nothing is stored")
    {
        scripted_owner owner{{owner_verdict::no_owner}};
        const auto began = now();
        CHECK(call(owner).verdict == owner_verdict::no_owner);
        CHECK(now() - began < milliseconds(300));
    }
    SECTION("a call is retried at the next owner")
    {
        scripted_owner owner{
            {owner_verdict::unknown, owner_verdict::no_owner, owner_verdict::accepted}};
        CHECK(call(owner).verdict == owner_verdict::accepted);
    }
    SECTION("a refusal after an unanswered attempt leaves the outcome unknown")
    {
        scripted_owner owner{{owner_verdict::unknown, owner_verdict::refused}};
        CHECK(call(owner).verdict == owner_verdict::unknown);
    }
    SECTION("a missing owner after an unanswered attempt leaves the outcome unknown")
    {
        scripted_owner owner{{owner_verdict::unknown, owner_verdict::no_owner}};
        CHECK(call(owner).verdict == owner_verdict::unknown);
    }
}

// Guards against connections that end without an answer: a node that shuts down has to answer its
// calls before its process ends, also those that began with a longer timeout.
TEST_CASE("a call ends by the latest end that is set while it waits")
{
    const auto began = now();
    auto latest_end = time_point::max();
    const auto answer = call_owner(
        {.timeout = milliseconds(5'000),
         .retry_interval = milliseconds(5),
         .latest_end = [&] { return latest_end; }},
        [&](milliseconds /*limit*/) {
            latest_end = began + milliseconds(100);
            return verdict(owner_verdict::unknown);
        },
        [](milliseconds limit) { std::this_thread::sleep_for(limit); });
    CHECK(answer.verdict == owner_verdict::unknown);
    CHECK(now() - began < milliseconds(1'000));
}
