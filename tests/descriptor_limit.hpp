#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace flamingoseam {

/// Limits the file descriptors of this process during its lifetime to those that are open and a
/// number of further ones.
class descriptor_limit {
public:
    explicit descriptor_limit(int further)
    {
        ::getrlimit(RLIMIT_NOFILE, &previous_);
        auto lowered = previous_;
        lowered.rlim_cur = static_cast<rlim_t>(end_of(further));
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &previous_); }

    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    /// Returns the number after that of the last descriptor which may be opened.
    static int end_of(int further)
    {
        const int opened = ::dup(STDIN_FILENO);
        const int end = further == 0 ? opened : end_of(further - 1);
        ::close(opened);
        return end;
    }

    rlimit previous_{};
};

} // namespace flamingoseam
