#include "flamingoseam/log/event_log.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/log/ready_output.hpp"
#include "tests/thread_limit.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
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

    /// Fills the pipe, as it is when its reader has stopped reading.
    void fill()
    {
        ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
        const std::string text(64, 'x');
        while (::write(ends[1], text.data(), text.size()) > 0) {
        }
        ::fcntl(ends[1], F_SETFL, 0);
    }

    std::array<int, 2> ends{};
};

} // namespace

TEST_CASE("the event log")
{
    pipe_ends pipe;
    event_log_options options{.program = "node", .node = "n1", .descriptor = pipe.ends[1]};

    SECTION("each event is written as one line of JSON")
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
    SECTION("measured values are written as numeric members")
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
    SECTION("a blocked reader does not block the caller; dropped lines are counted")
    {
        options.max_pending_bytes = 2'000;
        event_log log(options);
        const auto began = now();
        for (int count = 0; count < 20'000; ++count) {
            log.write({.event = "placed", .request = "5c0e", .detail = std::string(80, 'x')});
        }
        CHECK(log.dropped_lines() > 10'000);
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
        CHECK(text.find(" placed\"") != std::string::npos); // The kind of event.
    }
}

// Guards against a node that does not exit on SIGTERM because its reader has stopped reading: it
// waited for the full pipe to accept its last line.
TEST_CASE("a reader that has stopped reading does not prevent a process from exiting")
{
    pipe_ends pipe;
    pipe.fill();
    std::atomic<bool> ended{false};
    std::thread process([&] {
        event_log log({.program = "node", .node = "n1", .descriptor = pipe.ends[1]});
        log.write({.event = "stopped"});
        log.flush();
        ended = true;
    });
    const auto limit = now() + std::chrono::seconds(2);
    while (!ended && now() < limit) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(ended);
    while (!ended) {
        pipe.read_all(); // Lets the test end even if the log blocks.
        std::this_thread::sleep_for(milliseconds(10));
    }
    process.join();
}

TEST_CASE("a write to a full pipe with a timeout of zero returns at once")
{
    pipe_ends pipe;
    pipe.fill();
    CHECK(write_ready(pipe.ends[1], "line\n", milliseconds(0)) == 0);
    pipe.read_all();
    CHECK(write_ready(pipe.ends[1], "line\n", milliseconds(0)) == 5);
    CHECK(pipe.read_all() == "line\n");
}

TEST_CASE("an event log for which there is no thread is not created")
{
    pipe_ends pipe;
    const thread_limit limit(0);
    CHECK_THROWS_AS((event_log({.program = "node", .node = "n1", .descriptor = pipe.ends[1]})),
                    resource_error);
}
