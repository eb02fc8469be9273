#include "flamingoseam/log/request_trace.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace flamingoseam;

namespace {

/// The concatenated logs of two nodes.
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

std::vector<trace_line> trace_of(const std::string& request)
{
    std::istringstream text(logs);
    return trace_request(text, request);
}

} // namespace

TEST_CASE("the trace of a request shows why it ended as it did")
{
    SECTION("the trace of a request that was refused at once contains the reason")
    {
        const auto trace = trace_of("refused");
        REQUIRE(trace.size() == 1);
        CHECK(trace[0].detail == "store_unavailable");
    }
    SECTION("the trace of a late request contains the events of the cell in between")
    {
        const auto trace = trace_of("late");
        REQUIRE(trace.size() == 6);
        CHECK(trace[2].event == "store_silent");
        CHECK_FALSE(trace[2].is_of_request);
        CHECK(trace[3].detail == "epoch 2");
        CHECK(trace[4].event == "run_lost");
        CHECK(trace[5].event == "completed");
    }
    SECTION("the trace of a failed request names the run and the worker")
    {
        const auto trace = trace_of("bad");
        REQUIRE(trace.size() == 2);
        CHECK(to_text(trace).find("+500") != std::string::npos);
        CHECK(to_text(trace).find("bad/0/0#1 on w3") != std::string::npos);
    }
    SECTION("an unknown id has an empty trace")
    {
        CHECK(trace_of("nobody").empty());
    }
}
