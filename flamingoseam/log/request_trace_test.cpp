#include "flamingoseam/log/request_trace.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace flamingoseam;

namespace {

/// Lines of two nodes, one after the other, as an engineer would gather them.
constexpr const char* logs = R"(
{"detail":"epoch 1","event":"owner_begins","node":"a-1","time_ms":1000}
{"detail":"queue","event":"accepted","node":"a-1","request_id":"late","time_ms":2000}
{"detail":"queue","event":"accepted","node":"a-1","request_id":"other","time_ms":2010}
{"detail":"step 0: 2 tasks, 0 wait, age 60 ms","event":"placed","node":"a-1","request_id":"late","time_ms":2060}
{"event":"store_silent","node":"a-1","time_ms":2500}
{"detail":"store_unavailable","event":"refused","node":"a-1","request_id":"refused","time_ms":2510}
{"time_ms":2520,"severity":"WARNING","program":"flamingoseam-node","message":"a write got no answer"}
not a line of ours
{"detail":"epoch 2","event":"owner_begins","node":"b-1","time_ms":3000}
{"detail":"late/0/1#1 on w7","event":"run_lost","node":"b-1","request_id":"late","time_ms":3200}
{"detail":"all tasks are done","event":"completed","node":"b-1","request_id":"late","time_ms":5000}
{"detail":"bad/0/0#1 on w3","event":"run_failed","node":"b-1","request_id":"bad","time_ms":5100}
{"detail":"task 0/0 failed 2 times","event":"failed","node":"b-1","request_id":"bad","time_ms":5600}
{"event":"store_answers","node":"b-1","time_ms":6000}
)";

std::vector<trace_line> trace(const std::string& request)
{
    std::istringstream text(logs);
    return trace_request(text, request);
}

} // namespace

TEST_CASE("from a request's id to its cause")
{
    SECTION("a request that was refused at once names the reason")
    {
        const auto story = trace("refused");
        REQUIRE(story.size() == 1);
        CHECK(story[0].detail == "store_unavailable");
    }
    SECTION("one that was accepted and late shows what happened meanwhile")
    {
        const auto story = trace("late");
        REQUIRE(story.size() == 6);
        CHECK(story[2].event == "store_silent");
        CHECK_FALSE(story[2].is_of_request);
        CHECK(story[3].detail == "epoch 2");
        CHECK(story[4].event == "run_lost");
        CHECK(story[5].event == "completed");
    }
    SECTION("one that was reported as failed names the runs and the worker")
    {
        const auto story = trace("bad");
        REQUIRE(story.size() == 2);
        CHECK(to_text(story).find("+500") != std::string::npos);
        CHECK(to_text(story).find("bad/0/0#1 on w3") != std::string::npos);
    }
    SECTION("an unknown id has no story")
    {
        CHECK(trace("nobody").empty());
    }
}
