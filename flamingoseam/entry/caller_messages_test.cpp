#include "flamingoseam/core/error.hpp"
#include "flamingoseam/entry/caller_messages.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/journal.hpp"
#include "flamingoseam/job/request_id.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace flamingoseam;

TEST_CASE("read_caller_request")
{
    SECTION("defaults of a call")
    {
        const auto request = read_caller_request("{}", false);
        CHECK(request.cls == work_class::call);
        CHECK(request.size.slots == 1);
        CHECK(request.first_attempt);
        CHECK_FALSE(request.idempotent);
    }
    SECTION("an id without first_attempt may be a repeat")
    {
        const auto id = make_request_id(wall_time(1'700'000'000'000));
        CHECK(time_of_request_id(id) == wall_time(1'700'000'000'000));
        CHECK_FALSE(read_caller_request(R"({"request_id":")" + id + "\"}", false).first_attempt);
    }
    SECTION("errors")
    {
        CHECK_THROWS_WITH(read_caller_request(R"({"tasks":0})", true),
                          Catch::Contains("tasks is 0, must be from 1 to 10000"));
        CHECK_THROWS_WITH(read_caller_request(R"({"tasks":2})", false),
                          Catch::Contains("must be from 1 to 1"));
        CHECK_THROWS_WITH(read_caller_request(R"({"x":1})", false),
                          Catch::Contains("'x' is not a known key"));
        CHECK_THROWS_WITH(read_caller_request(R"({"class":"batch"})", false),
                          Catch::Contains("jobs go to /v1/jobs"));
        CHECK_THROWS_WITH(read_caller_request(R"({"idempotent":"maybe"})", false),
                          Catch::Contains("idempotent must be true or false"));
        CHECK_THROWS_WITH(read_caller_request(R"({"request_id":"e-1"})", false),
                          Catch::Contains("must be a UUID of version 7"));
    }
}

TEST_CASE("parsers of requests and journals throw nothing but parse_error for malformed input")
{
    const std::string request = R"({"kind":"a","payload":"b","tasks":3,"milli_cpus":5})";
    const auto journal = to_json(journal_record{.epoch = 3, .jobs = {{.phases = "wsd"}}});
    REQUIRE(rc::check("mutated text", [&](std::uint64_t choice) {
        auto text = choice % 2 == 0 ? request : journal;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::arbitrary<char>();
        }
        try {
            if (choice % 2 == 0) {
                read_caller_request(text, true);
            } else {
                from_json<journal_record>(text);
            }
        } catch (const parse_error&) {
            return;
        }
    }));
}

TEST_CASE("status_of")
{
    CHECK(status_of({.kind = verdict::ran}) == 200);
    CHECK(status_of({.kind = verdict::may_have_run, .reason = "accepted"}) == 202);
    CHECK(status_of({.kind = verdict::may_have_run, .reason = "no_answer"}) == 504);
    CHECK(status_of({.kind = verdict::not_run, .reason = "queue_full"}) == 429);
    CHECK(status_of({.kind = verdict::not_run, .reason = "draining"}) == 503);
}
