#include "flamingoseam/core/thread_times.hpp"

#include <sys/resource.h>

#include <atomic>

namespace flamingoseam {

namespace {

constexpr milliseconds report_interval{500};

std::array<std::atomic<time_point::rep>, thread_duties>& reported_times()
{
    static std::array<std::atomic<time_point::rep>, thread_duties> times{};
    return times;
}

time_point::duration to_duration(const timeval& time)
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

time_point::duration read_usage(int target)
{
    rusage usage{};
    ::getrusage(target, &usage);
    return to_duration(usage.ru_utime) + to_duration(usage.ru_stime);
}

} // namespace

time_point::duration read_thread_time()
{
    return read_usage(RUSAGE_THREAD);
}

time_point::duration read_process_time()
{
    return read_usage(RUSAGE_SELF);
}

duty_times read_duty_times()
{
    duty_times times{};
    for (std::size_t duty = 0; duty < thread_duties; ++duty) {
        times[duty] = time_point::duration(reported_times()[duty].load());
    }
    return times;
}

thread_timer::thread_timer(thread_duty duty) : duty_(duty), reported_(read_thread_time()) {}

thread_timer::~thread_timer()
{
    report();
}

void thread_timer::update()
{
    const auto time = now();
    if (time >= next_report_) {
        next_report_ = time + report_interval;
        report();
    }
}

void thread_timer::report()
{
    const auto used = read_thread_time();
    reported_times()[static_cast<std::size_t>(duty_)] += (used - reported_).count();
    reported_ = used;
}

} // namespace flamingoseam
