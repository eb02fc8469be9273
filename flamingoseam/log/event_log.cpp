#include "flamingoseam/log/event_log.hpp"

#include "flamingoseam/log/ready_output.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <thread>
#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds write_timeout{100}; ///< For a reader that accepts no data.
constexpr milliseconds failure_pause{100}; ///< After lines that could not be taken or written.

std::string to_line(const event_log_options& options, const log_event& event)
{
    nlohmann::json line = {{"time_ms", wall_now().count()},
                           {"program", options.program},
                           {"node", options.node},
                           {"event", event.event}};
    if (!event.request.empty()) {
        line["request_id"] = event.request;
    }
    if (!event.detail.empty()) {
        line["detail"] = event.detail;
    }
    for (const auto& field : event.fields) {
        line[field.name] = field.value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace

event_log::event_log(event_log_options options) : options_(std::move(options))
{
    thread_ = service_thread("event log", [this] { run(); });
}

event_log::~event_log()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
}

void event_log::write(const log_event& event)
{
    if (options_.observer) {
        options_.observer(event);
    }
    auto line = to_line(options_, event);
    const std::lock_guard lock(mutex_);
    if (pending_.size() + line.size() > options_.max_pending_bytes) {
        ++dropped_lines_;
        ++unreported_lines_[event.event];
        return;
    }
    const bool was_empty = pending_.empty();
    pending_ += line;
    if (was_empty) {
        changed_.notify_all();
    }
}

void event_log::flush()
{
    std::unique_lock lock(mutex_);
    const auto text = take_pending();
    lock.unlock();
    write_ready(options_.descriptor, text, write_timeout);
}

std::uint64_t event_log::dropped_lines() const
{
    const std::lock_guard lock(mutex_);
    return dropped_lines_;
}

void event_log::append_dropped_lines(std::string& text)
{
    if (unreported_lines_.empty()) {
        return;
    }
    std::int64_t count = 0;
    std::string events;
    for (const auto& [event, lines] : std::exchange(unreported_lines_, {})) {
        count += lines;
        events += (events.empty() ? "" : ", ") + std::to_string(lines) + " " + event;
    }
    text +=
        to_line(options_, {.event = "lines_left_out",
                           .request = {},
                           .detail = std::to_string(count) +
                                     " lines were dropped because the buffer was full: " + events});
}

std::string event_log::take_pending()
{
    append_dropped_lines(pending_);
    return std::exchange(pending_, {});
}

void event_log::run()
{
    bool is_last = false;
    while (!is_last) {
        if (!run_guarded("writing events", [&] { is_last = !write_next(); })) {
            std::this_thread::sleep_for(failure_pause);
            const std::lock_guard lock(mutex_);
            is_last = stopping_; // Then the rest is lost.
        }
    }
}

/// Writes the next pending lines. Returns false when the log has ended and all lines are written.
bool event_log::write_next()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
    changed_.wait_for(lock, options_.flush, [this] { return stopping_; });
    const bool is_last = stopping_;
    const auto text = take_pending();
    const auto seconds =
        static_cast<double>(text.size()) / static_cast<double>(options_.max_bytes_per_second);
    lock.unlock();
    write_text(text);
    lock.lock();
    const auto pause = milliseconds(static_cast<std::int64_t>(seconds * 1'000));
    changed_.wait_for(lock, std::max(pause, milliseconds(0)), [this] { return stopping_; });
    return !is_last;
}

void event_log::write_text(const std::string& text)
{
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto written = write_ready(options_.descriptor, rest, write_timeout);
        if (!written) {
            return;
        }
        rest.remove_prefix(*written);
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
    }
}

} // namespace flamingoseam
