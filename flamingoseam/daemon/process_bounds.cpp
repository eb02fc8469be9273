#include "flamingoseam/daemon/process_bounds.hpp"

#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>

namespace flamingoseam {

namespace {

constexpr std::size_t stack_bytes = 1'048'576;
constexpr int max_arenas = 4; ///< Each reserves 64 MiB of address space.

void bound_stacks() noexcept
{
    pthread_attr_t attributes;
    if (pthread_attr_init(&attributes) != 0) {
        return;
    }
    if (pthread_attr_setstacksize(&attributes, stack_bytes) == 0) {
        pthread_setattr_default_np(&attributes);
    }
    pthread_attr_destroy(&attributes);
}

std::optional<std::int64_t> own_limit(__rlimit_resource resource)
{
    rlimit limit{};
    if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(limit.rlim_cur);
}

void add_shortage(std::vector<std::string>& lines, const std::string& name,
                  std::optional<std::int64_t> limit, std::int64_t need)
{
    if (limit && *limit < need) {
        lines.push_back("the limit " + name + " is " + std::to_string(*limit) +
                        ", but this process may need " + std::to_string(need));
    }
}

} // namespace

void bound_threads() noexcept
{
    bound_stacks();
    if (std::getenv("MALLOC_ARENA_MAX") == nullptr) {
        mallopt(M_ARENA_MAX, max_arenas);
    }
}

system_limits own_limits()
{
    return {.threads = ::geteuid() == 0 ? std::nullopt : own_limit(RLIMIT_NPROC),
            .address_space_bytes = own_limit(RLIMIT_AS),
            .descriptors = own_limit(RLIMIT_NOFILE)};
}

std::vector<std::string> find_shortages(const system_limits& limits, const process_need& need)
{
    std::vector<std::string> lines;
    add_shortage(lines, "RLIMIT_NPROC (threads of the user)", limits.threads, need.threads);
    add_shortage(lines, "RLIMIT_AS (bytes of address space)", limits.address_space_bytes,
                 need.address_space_bytes);
    add_shortage(lines, "RLIMIT_NOFILE (descriptors)", limits.descriptors, need.descriptors);
    return lines;
}

} // namespace flamingoseam
