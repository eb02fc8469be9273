#include "flamingoseam/node/usage_log.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <exception>
#include <optional>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds owner_interval{1'000};
constexpr milliseconds interval{5'000}; ///< Of a node that is not the owner.

constexpr std::int64_t mebibyte = 1'024; ///< In units of 1,024 bytes.

/// A figure, and by how much it must grow to be logged again.
struct logged_figure {
    const char* name = "";
    std::optional<std::int64_t> process_usage::*value = nullptr;
    std::int64_t step = 0;
};

constexpr std::array figures = {
    logged_figure{"threads", &process_usage::threads, 16},
    logged_figure{"descriptors", &process_usage::descriptors, 16},
    logged_figure{"resident_kb", &process_usage::resident_kb, 16 * mebibyte},
    logged_figure{"address_space_kb", &process_usage::address_space_kb, 512 * mebibyte}};

bool has_grown(const process_usage& usage, const process_usage& logged)
{
    return std::ranges::any_of(figures, [&](const logged_figure& figure) {
        const auto value = usage.*figure.value;
        return value && *value >= (logged.*figure.value).value_or(0) + figure.step;
    });
}

void add_field(log_event& event, const char* name, std::optional<std::int64_t> value)
{
    if (value) {
        event.fields.push_back({name, *value});
    }
}

} // namespace

usage_log::usage_log(event_log& log, std::function<process_usage()> read)
    : log_(log), read_(std::move(read))
{
}

void usage_log::update(time_point time, bool is_owner)
{
    const std::lock_guard lock(mutex_);
    if (read_at_ && time - *read_at_ < (is_owner ? owner_interval : interval)) {
        return;
    }
    read_at_ = time;
    read_and_write("");
}

void usage_log::record(const std::string& stage)
{
    const std::lock_guard lock(mutex_);
    read_and_write(stage);
}

/// Logs the usage if it has grown or at a stage, unless the memory for that is missing. Requires
/// `mutex_`.
void usage_log::read_and_write(const std::string& stage)
{
    try {
        const auto usage = read_();
        if (!stage.empty() || has_grown(usage, logged_)) {
            write(stage, usage);
        }
    } catch (const std::exception& cause) {
        LOG(WARNING) << "the usage of this process can't be logged: " << cause.what();
    }
}

/// Requires `mutex_`.
void usage_log::write(const std::string& stage, const process_usage& usage)
{
    log_event event{.event = "process_usage", .request = {}, .detail = stage};
    for (const auto& figure : figures) {
        auto& highest = logged_.*figure.value;
        highest = std::max(highest, usage.*figure.value);
        add_field(event, figure.name, usage.*figure.value);
    }
    const auto limits = read_process_limits();
    add_field(event, "thread_limit", limits.threads);
    add_field(event, "descriptor_limit", limits.descriptors);
    add_field(event, "address_space_limit_kb", limits.address_space_kb);
    log_.write(event);
}

} // namespace flamingoseam::node
