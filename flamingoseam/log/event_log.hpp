#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/log/log_event.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace flamingoseam {

/// The output, the limits and the observer of an event_log.
struct event_log_options {
    std::string program;
    std::string node;
    int descriptor = 1; ///< File descriptor of the output; standard output by default.
    std::size_t max_pending_bytes = 256 * 1024; ///< Lines beyond it are dropped and counted.
    std::size_t max_bytes_per_second = 256 * 1024;
    milliseconds flush{100};

    /// Called, if set, for every event, including those whose lines are dropped. An exception that
    /// leaves it leaves event_log::write() before the line is queued.
    std::function<void(const log_event&)> observer = nullptr;
};

/// Writes events as JSON lines from its own thread, so that a reader that stops reading blocks only
/// the log. Lines that do not fit into the buffer are dropped, and a later line states their number
/// for each kind of event.
class event_log {
public:
    /// Throws resource_error if the system has no thread left.
    explicit event_log(event_log_options options);

    /// Writes the pending lines as far as the reader accepts them without delay; the rest is lost.
    ~event_log();

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Queues one line without waiting for the reader. Complexity: linear in the text.
    void write(const log_event& event);

    /// Writes the pending lines and returns when they are written or the reader has accepted
    /// nothing for 100 ms; the rest is lost.
    void flush();

    /// Returns the number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped_lines() const;

private:
    void run();
    bool write_next();
    void write_text(const std::string& text);
    std::string take_pending();
    void append_dropped_lines(std::string& text);

    event_log_options options_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string pending_;
    std::uint64_t dropped_lines_ = 0;
    /// Dropped lines that no line has stated yet, by the name of the event.
    std::map<std::string, std::int64_t> unreported_lines_;
    bool stopping_ = false;
    service_thread thread_;
};

} // namespace flamingoseam
