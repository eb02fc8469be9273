#pragma once

#include "flamingoseam/core/clock.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam {

/// A measured value of an event, under a name that tells its unit.
struct log_field {
    std::string name;
    std::int64_t value = 0;
};

/// One decision, or a change of what the process believes.
struct log_event {
    std::string event;   ///< What happened, for example "placed".
    std::string request; ///< Id of the job or call; empty when none is concerned.
    std::string detail;  ///< What decided it, and how old that was.

    /// Beside the texts; no name may be one of the line's own.
    std::vector<log_field> fields = {};
};

/// How much the log keeps and writes.
struct event_log_options {
    std::string program;
    std::string node;
    int descriptor = 1;                          ///< Where lines go; standard output by default.
    std::size_t most_waiting_bytes = 256 * 1024; ///< Beyond, lines are left out and counted.
    std::size_t most_bytes_per_second = 256 * 1024;
    milliseconds flush{100};

    /// Hears of each event, also of those that are left out, if it is given.
    std::function<void(const log_event&)> observer = nullptr;
};

/// Writes events as JSON lines from a thread of its own, so that a reader that stops reading stops
/// nothing but the log. What does not fit is left out and counted in a later line.
class event_log {
public:
    explicit event_log(event_log_options options);

    /// Writes what waits, as far as the reader takes it at once.
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Queues one line; never waits for the reader. Complexity: linear in the text.
    void write(const log_event& event);

    /// Writes what waits before it returns, as far as the reader takes it.
    void flush();

    /// Returns how many lines were left out so far.
    [[nodiscard]] std::uint64_t left_out() const;

private:
    void run();
    void write_out(std::string text);
    std::string take();
    void append_left_out(std::string& text);

    event_log_options options_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string waiting_;
    std::uint64_t left_out_ = 0;
    std::uint64_t reported_left_out_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace flamingoseam
