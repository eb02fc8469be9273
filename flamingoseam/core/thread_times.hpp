#pragma once

#include "flamingoseam/core/clock.hpp"

#include <array>
#include <cstddef>

namespace flamingoseam {

/// The duties by which the processor time of threads is counted.
enum class thread_duty {
    orders,      ///< Sends orders to workers.
    polls,       ///< Polls workers for their reports.
    commits,     ///< Writes transactions to the store.
    permissions, ///< Calls the permission service.
};

inline constexpr std::size_t thread_duties = 4; ///< Number of duties.

/// Processor time by duty.
using duty_times = std::array<time_point::duration, thread_duties>;

/// Returns the processor time that the threads of this process have reported so far, by duty.
/// Complexity: constant.
duty_times read_duty_times();

/// Reports the processor time of the thread that creates it under one duty. To be used from that
/// thread only.
class thread_timer {
public:
    explicit thread_timer(thread_duty duty);
    ~thread_timer();
    thread_timer(const thread_timer&) = delete;
    thread_timer& operator=(const thread_timer&) = delete;

    /// Reports the time used since the last report, at most once in half a second. To be called
    /// after each unit of work. Complexity: constant.
    void update();

private:
    void report();

    thread_duty duty_;
    time_point next_report_{};
    time_point::duration reported_{0};
};

/// Returns the processor time used by the calling thread. Complexity: constant.
time_point::duration read_thread_time();

/// Returns the processor time used by the process. Complexity: constant.
time_point::duration read_process_time();

} // namespace flamingoseam
