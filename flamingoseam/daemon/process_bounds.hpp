#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam {

/// Bounds the address space of the threads that are started later: a stack of 1 MiB each, and a
/// few memory arenas for all, unless the environment variable MALLOC_ARENA_MAX sets their number.
/// To be called before the process starts a thread.
void bound_threads() noexcept;

/// What a process needs at most.
struct process_need {
    std::int64_t threads = 0;
    std::int64_t address_space_bytes = 0;
    std::int64_t descriptors = 0;
};

/// Limits of the system for a process; none where there is no limit.
struct system_limits {
    std::optional<std::int64_t> threads; ///< RLIMIT_NPROC, which counts all threads of the user.
    std::optional<std::int64_t> address_space_bytes; ///< RLIMIT_AS.
    std::optional<std::int64_t> descriptors;         ///< RLIMIT_NOFILE.
};

/// Returns the limits of this process. The limit of threads does not apply to the user root.
system_limits own_limits();

/// Returns one line for each limit that is below the need, with its name, its value and the need.
std::vector<std::string> find_shortages(const system_limits& limits, const process_need& need);

} // namespace flamingoseam
