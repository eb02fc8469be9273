#include "flamingoseam/core/process_usage.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>

namespace flamingoseam {

namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kilobyte = 1'024;

std::string read_text(const fs::path& file)
{
    std::ifstream in(file);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::optional<std::int64_t> count_descriptors()
{
    std::error_code failure;
    fs::directory_iterator entry("/proc/self/fd", failure);
    std::int64_t count = -1; // Without the descriptor of the iterator.
    for (; !failure && entry != fs::directory_iterator(); entry.increment(failure)) {
        ++count;
    }
    return failure ? std::nullopt : std::optional(count);
}

std::optional<std::int64_t> read_limit(__rlimit_resource resource)
{
    rlimit limit{};
    const bool is_limited = ::getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return is_limited ? std::optional(static_cast<std::int64_t>(limit.rlim_cur)) : std::nullopt;
}

std::optional<std::int64_t> lower(std::optional<std::int64_t> left,
                                  std::optional<std::int64_t> right)
{
    return left && right ? std::min(left, right) : left.has_value() ? left : right;
}

/// Returns the lowest limit on the threads of a control group and those that contain it.
std::optional<std::int64_t> read_group_limit(const fs::path& root, const fs::path& group)
{
    std::optional<std::int64_t> lowest;
    for (auto path = group.relative_path(); true; path = path.parent_path()) {
        std::int64_t limit = 0;
        std::ifstream in(root / path / "pids.max");
        if (in >> limit) { // The text is "max" if there is no limit.
            lowest = lower(lowest, limit);
        }
        if (path.empty()) {
            return lowest;
        }
    }
}

/// Returns the lowest limit on the threads of the control groups of this process.
std::optional<std::int64_t> read_group_limits()
{
    const fs::path root = "/sys/fs/cgroup";
    std::optional<std::int64_t> lowest;
    std::istringstream groups(read_text("/proc/self/cgroup"));
    for (std::string number, controllers, group; std::getline(groups, number, ':') &&
                                                 std::getline(groups, controllers, ':') &&
                                                 std::getline(groups, group);) {
        if (controllers.empty()) {
            lowest = lower(lowest, read_group_limit(root, group));
        } else if (controllers == "pids") {
            lowest = lower(lowest, read_group_limit(root / controllers, group));
        }
    }
    return lowest;
}

} // namespace

std::optional<std::int64_t> detail::find_status_number(std::string_view status,
                                                       std::string_view name) noexcept
{
    const auto found = status.find(name);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    const auto begin = status.find_first_not_of(" \t", found + name.size());
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const auto result =
        std::from_chars(status.data() + begin, status.data() + status.size(), number);
    return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

process_usage read_process_usage()
{
    const auto status = read_text("/proc/self/status");
    return {.threads = detail::find_status_number(status, "\nThreads:"),
            .descriptors = count_descriptors(),
            .resident_kb = detail::find_status_number(status, "\nVmRSS:"),
            .address_space_kb = detail::find_status_number(status, "\nVmSize:")};
}

process_limits read_process_limits()
{
    const auto address_space = read_limit(RLIMIT_AS);
    return {.threads = lower(read_limit(RLIMIT_NPROC), read_group_limits()),
            .descriptors = read_limit(RLIMIT_NOFILE),
            .address_space_kb =
                address_space ? std::optional(*address_space / kilobyte) : std::nullopt};
}

} // namespace flamingoseam
