/// A library that is loaded into a process before all others and shifts its time of day by the
/// offset in the file of a shifted_clock. It has no other dependencies than the C library.
#include "tests/shifted_clock.hpp"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t ns_per_s = 1'000'000'000;
constexpr std::int64_t ns_per_us = 1'000;

const std::int64_t* offset = nullptr; ///< Nanoseconds; none before the library is initialised.

using clock_function = int (*)(clockid_t, timespec*);

/// Returns the C library's clock_gettime().
clock_function machine_clock()
{
    static clock_function function = nullptr;
    auto found = __atomic_load_n(&function, __ATOMIC_RELAXED);
    if (found == nullptr) {
        found = reinterpret_cast<clock_function>(::dlsym(RTLD_NEXT, "clock_gettime"));
        __atomic_store_n(&function, found, __ATOMIC_RELAXED);
    }
    return found;
}

void shift(timespec& time)
{
    if (offset == nullptr) {
        return;
    }
    const auto shifted_ns =
        time.tv_sec * ns_per_s + time.tv_nsec + __atomic_load_n(offset, __ATOMIC_RELAXED);
    time.tv_sec = shifted_ns / ns_per_s;
    time.tv_nsec = shifted_ns % ns_per_s;
}

__attribute__((constructor)) void map_offset()
{
    const char* const file = ::getenv(flamingoseam::clock_offset_variable);
    const int descriptor = file == nullptr ? -1 : ::open(file, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    void* const memory =
        ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    if (memory != MAP_FAILED) {
        offset = static_cast<const std::int64_t*>(memory);
    }
}

} // namespace

extern "C" {

__attribute__((visibility("default"))) int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const int result = machine_clock()(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        shift(*time);
    }
    return result;
}

__attribute__((visibility("default"))) int gettimeofday(timeval* time, void* /*zone*/) noexcept
{
    timespec now{};
    const int result = clock_gettime(CLOCK_REALTIME, &now);
    if (result == 0) {
        time->tv_sec = now.tv_sec;
        time->tv_usec = now.tv_nsec / ns_per_us;
    }
    return result;
}

__attribute__((visibility("default"))) time_t time(time_t* seconds) noexcept
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds != nullptr) {
        *seconds = now.tv_sec;
    }
    return now.tv_sec;
}
}
