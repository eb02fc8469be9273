#include <glog/logging.h>
#undef CHECK // Catch2's takes its place.

#include "flamingoseam/log/log.hpp"
#include "tests/child_process.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace flamingoseam;

namespace {

/// Returns the only line that a process has logged with a severity; the process must have ended
/// without an error.
nlohmann::json line_of(const ended_process& ended, const std::string& severity)
{
    INFO(ended.output);
    CHECK(WIFEXITED(ended.status));
    const auto lines = ended.lines_with("severity", severity);
    REQUIRE(lines.size() == 1);
    return lines[0];
}

/// A block of memory that is never freed.
struct lost_block {
    lost_block* earlier = nullptr;
};

lost_block* last_block = nullptr;

/// Allocates until not even the smallest block can be allocated.
[[maybe_unused]] void use_up_memory()
{
    set_limit(RLIMIT_AS, 0);
    for (std::size_t size = 4'096; size >= sizeof(lost_block); size /= 2) {
        while (auto* const block = static_cast<lost_block*>(std::malloc(size))) {
            block->earlier = last_block;
            last_block = block;
        }
    }
}

} // namespace

TEST_CASE("a line of the log has its context")
{
    const auto ended = run_in_child([] {
        const log_scope scope({.request_id = "5c0e", .worker = "w\"7\""});
        LOG(WARNING) << "no answer from B\xc3\xbcro 3";
    });
    const auto line = line_of(ended, "WARNING");
    CHECK(line.at("message") == "no answer from B\xc3\xbcro 3");
    CHECK(line.at("program") == "flamingoseam-node");
    CHECK(line.at("file").get<std::string>().find("log_test.cpp:") == 0);
    CHECK(line.at("time_ms") > 1'000'000'000'000);
    CHECK(line.at("request_id") == "5c0e");
    CHECK(line.at("worker") == "w\"7\"");
    CHECK_FALSE(line.contains("customer"));
    CHECK_FALSE(line.contains("shard"));
}

// Guards against an exception in the destructor of a log line, which ended the process.
TEST_CASE("a warning with bytes that aren't UTF-8 does not end the process")
{
    const auto ended = run_in_child([] {
        const log_scope scope({.request_id = "5c\xff", .shard = "\xc3"});
        LOG(WARNING) << "cut \x80 z";
    });
    const auto line = line_of(ended, "WARNING");
    CHECK(line.at("message") == "cut \xef\xbf\xbd z");
    CHECK(line.at("request_id") == "5c\xef\xbf\xbd");
    CHECK(line.at("shard") == "\xef\xbf\xbd");
}

// The runtime of a sanitizer ends a process for which there is no memory.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
// Guards against an exception in the destructor of a log line, which ended the process.
TEST_CASE("a warning for which there is no memory does not end the process")
{
    const auto ended = run_in_child([] {
        use_up_memory();
        LOG(WARNING) << "no worker answers";
    });
    CHECK(line_of(ended, "ERROR").at("message") == "a line of the log can't be written");
}
#endif
