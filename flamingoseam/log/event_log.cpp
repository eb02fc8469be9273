#include "flamingoseam/log/event_log.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace flamingoseam {

namespace {

constexpr int longest_poll_ms = 100;

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
    thread_ = std::thread([this] { run(); });
}

event_log::~event_log()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void event_log::write(const log_event& event)
{
    if (options_.observer) {
        options_.observer(event);
    }
    auto line = to_line(options_, event);
    const std::lock_guard lock(mutex_);
    if (waiting_.size() + line.size() > options_.most_waiting_bytes) {
        ++left_out_;
        return;
    }
    const bool was_empty = waiting_.empty();
    waiting_ += line;
    if (was_empty) {
        changed_.notify_all();
    }
}

void event_log::flush()
{
    std::unique_lock lock(mutex_);
    auto text = take();
    lock.unlock();
    write_out(std::move(text));
}

std::uint64_t event_log::left_out() const
{
    const std::lock_guard lock(mutex_);
    return left_out_;
}

void event_log::append_left_out(std::string& text)
{
    if (left_out_ != reported_left_out_) {
        const auto count = left_out_ - reported_left_out_;
        reported_left_out_ = left_out_;
        text += to_line(options_, {.event = "lines_left_out",
                                   .request = {},
                                   .detail = std::to_string(count) + " lines did not fit"});
    }
}

std::string event_log::take()
{
    auto text = std::exchange(waiting_, {});
    append_left_out(text);
    return text;
}

void event_log::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
        changed_.wait_for(lock, options_.flush, [this] { return stopping_; });
        auto text = take();
        const auto seconds =
            static_cast<double>(text.size()) / static_cast<double>(options_.most_bytes_per_second);
        lock.unlock();
        write_out(std::move(text));
        lock.lock();
        const auto pause = milliseconds(static_cast<std::int64_t>(seconds * 1'000));
        changed_.wait_for(lock, std::max(pause, milliseconds(0)), [this] { return stopping_; });
    }
    auto rest = take();
    lock.unlock();
    write_out(std::move(rest));
}

void event_log::write_out(std::string text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        pollfd ready{.fd = options_.descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&ready, 1, longest_poll_ms) <= 0) {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
            continue;
        }
        // A pipe that is ready takes PIPE_BUF bytes without blocking.
        constexpr std::size_t most_at_once = 4'096;
        const auto size = std::min(most_at_once, text.size() - done);
        const auto written = ::write(options_.descriptor, text.data() + done, size);
        if (written <= 0) {
            return;
        }
        done += static_cast<std::size_t>(written);
    }
}

} // namespace flamingoseam
