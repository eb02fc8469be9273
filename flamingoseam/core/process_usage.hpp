#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace flamingoseam {

/// What this process uses of the things that are limited; none where it can't be read.
struct process_usage {
    std::optional<std::int64_t> threads;
    std::optional<std::int64_t> descriptors;
    std::optional<std::int64_t> resident_kb;
    std::optional<std::int64_t> address_space_kb;
};

/// Limits of this process; none where there is no limit or it can't be read.
struct process_limits {
    /// Lowest limit on the threads of the process's user, or of its control groups.
    std::optional<std::int64_t> threads;
    std::optional<std::int64_t> descriptors;
    std::optional<std::int64_t> address_space_kb;
};

/// Returns what this process uses now. Complexity: linear in the number of descriptors.
process_usage read_process_usage();

/// Returns the limits of this process. Complexity: linear in the depth of its control groups.
process_limits read_process_limits();

namespace detail {

/// Returns the number after `name` in the text of /proc/self/status, none if it has no such line.
/// Allocates no memory. Complexity: linear in the text.
std::optional<std::int64_t> find_status_number(std::string_view status,
                                               std::string_view name) noexcept;

} // namespace detail

} // namespace flamingoseam
