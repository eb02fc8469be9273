#pragma once

#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstddef>
#include <fstream>

namespace flamingoseam {

/// Lets this process start a number of further threads during its lifetime, and no more.
class thread_limit {
public:
    explicit thread_limit(std::size_t further)
    {
        ::getrlimit(RLIMIT_AS, &previous_);
        ::pthread_attr_init(&previous_attributes_);
        ::pthread_getattr_default_np(&previous_attributes_);
        set_stack_size(stack_bytes);
        auto lowered = previous_;
        lowered.rlim_cur = used_bytes() + further * stack_bytes + stack_bytes / 2;
        ::setrlimit(RLIMIT_AS, &lowered);
    }

    ~thread_limit()
    {
        ::setrlimit(RLIMIT_AS, &previous_);
        ::pthread_setattr_default_np(&previous_attributes_);
        ::pthread_attr_destroy(&previous_attributes_);
    }

    thread_limit(const thread_limit&) = delete;
    thread_limit& operator=(const thread_limit&) = delete;

private:
    /// So large that what is left beside the stacks holds all else, but no further stack.
    static constexpr std::size_t stack_bytes = std::size_t{1} << 30;

    static void set_stack_size(std::size_t bytes)
    {
        pthread_attr_t attributes;
        ::pthread_attr_init(&attributes);
        ::pthread_attr_setstacksize(&attributes, bytes);
        ::pthread_setattr_default_np(&attributes);
        ::pthread_attr_destroy(&attributes);
    }

    /// Returns the size of the address space that is in use.
    static std::size_t used_bytes()
    {
        std::size_t pages = 0;
        std::ifstream("/proc/self/statm") >> pages;
        return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    rlimit previous_{};
    pthread_attr_t previous_attributes_{};
};

} // namespace flamingoseam
