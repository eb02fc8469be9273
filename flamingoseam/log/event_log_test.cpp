#include "flamingoseam/log/event_log.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <thread>

using namespace flamingoseam;

namespace {

struct pipe_ends {
    pipe_ends() { REQUIRE(::pipe(ends.data()) == 0); }
    ~pipe_ends()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    std::string read_all()
    {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer{};
        while (true) {
            const auto size = ::read(ends[0], buffer.data(), buffer.size());
            if (size <= 0) {
                return text;
            }
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

    std::array<int, 2> ends{};
};

} // namespace

TEST_CASE("the log of events")
{
    pipe_ends pipe;
    event_log_options options{.program = "node", .node = "n1", .descriptor = pipe.ends[1]};

    SECTION("each event is a line of JSON")
    {
        {
            event_log log(options);
            log.write({.event = "placed", .request = "5c0e", .detail = "a \"quoted\" \xff text"});
        }
        const auto line = nlohmann::json::parse(pipe.read_all());
        CHECK(line.at("event") == "placed");
        CHECK(line.at("request_id") == "5c0e");
        CHECK(line.at("node") == "n1");
        CHECK(line.contains("time_ms"));
    }
    SECTION("measured values are numbers of their own")
    {
        {
            event_log log(options);
            log.write({.event = "owner_load",
                       .request = {},
                       .detail = {},
                       .fields = {{"open_jobs", 7}, {"loop_delay_ms", 12}}});
        }
        const auto line = nlohmann::json::parse(pipe.read_all());
        CHECK(line.at("open_jobs") == 7);
        CHECK(line.at("loop_delay_ms") == 12);
    }
    SECTION("a reader that does not read stops nothing; what does not fit is counted")
    {
        options.most_waiting_bytes = 2'000;
        event_log log(options);
        const auto began = now();
        for (int count = 0; count < 20'000; ++count) {
            log.write({.event = "placed", .request = "5c0e", .detail = std::string(80, 'x')});
        }
        CHECK(log.left_out() > 10'000);
        CHECK(now() - began < std::chrono::seconds(5));
        const auto text = [&] {
            for (int tries = 0; tries < 100; ++tries) {
                auto read = pipe.read_all();
                if (read.find("lines_left_out") != std::string::npos) {
                    return read;
                }
                std::this_thread::sleep_for(milliseconds(50));
                log.write({.event = "later"});
            }
            return std::string();
        }();
        CHECK(text.find("lines_left_out") != std::string::npos);
    }
}
