#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/process_usage.hpp"
#include "flamingoseam/log/event_log.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace flamingoseam::node {

/// Logs what the process uses, with its limits, when it has grown. Thread-safe.
class usage_log {
public:
    /// `read` returns what the process uses.
    explicit usage_log(event_log& log, std::function<process_usage()> read = read_process_usage);

    /// Logs the usage if a figure exceeds its highest logged value, which is zero at first, by a
    /// step: 16 threads or descriptors, 16 MiB of resident memory, 512 MiB of address space. Reads
    /// it at most once a second for an owner and once in 5 s for another node.
    void update(time_point time, bool is_owner);

    /// Logs the usage at a stage of the process, whether it has grown or not.
    void record(const std::string& stage);

private:
    void read_and_write(const std::string& stage);
    void write(const std::string& stage, const process_usage& usage);

    event_log& log_;
    std::function<process_usage()> read_;
    std::mutex mutex_;
    process_usage logged_;              ///< The highest logged values; guarded by `mutex_`.
    std::optional<time_point> read_at_; ///< Of the last update; guarded by `mutex_`.
};

} // namespace flamingoseam::node
