#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/core/thread_times.hpp"

#include <sys/epoll.h>

#include <array>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace flamingoseam {

class io_timer;
class io_watch;

/// A thread that waits for many sockets and timers at once and calls their functions. An exception
/// that leaves such a function is logged; the thread goes on.
class io_loop {
public:
    /// Starts the thread, whose processor time is reported under `duty`. `name` must have static
    /// storage duration. Throws resource_error if the system has no thread left for this process.
    io_loop(const char* name, thread_duty duty);

    /// Ends the thread. Functions that still wait are not called. No timer or connection may use
    /// the loop any more.
    ~io_loop();

    io_loop(const io_loop&) = delete;
    io_loop& operator=(const io_loop&) = delete;

    /// Calls a function on the thread of the loop, after those that were posted before. Callable
    /// from all threads. Complexity: amortized constant; the thread is woken only if no other
    /// function waits.
    void post(std::function<void()> function);

private:
    friend class io_timer;
    friend class io_watch;

    /// A file descriptor that is closed at the end.
    class descriptor {
    public:
        /// Takes the result of a system call. Throws resource_error if that has failed.
        explicit descriptor(int number);
        ~descriptor();
        descriptor(const descriptor&) = delete;
        descriptor& operator=(const descriptor&) = delete;

        [[nodiscard]] int number() const noexcept { return number_; }

    private:
        int number_;
    };

    using timer_queue = std::set<std::pair<time_point, io_timer*>>;

    void run();
    void run_once();
    void run_posted();
    void run_due_timers();
    void wake() const noexcept;
    void wait_for_events();
    void handle_wakeup() const noexcept;
    [[nodiscard]] milliseconds time_to_next_timer() const;

    const char* name_;
    thread_duty duty_;
    descriptor epoll_;
    descriptor wakeup_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    bool ending_ = false;
    timer_queue timers_; ///< Used on the thread of the loop only.
    std::array<epoll_event, 32> events_{};
    std::size_t event_count_ = 0; ///< Events not handled yet are the last ones of `events_`.
    service_thread thread_;
};

/// Waits until a socket can be used. To be used on the thread of the loop only. The cost does not
/// depend on the number of other sockets.
class io_watch {
public:
    /// `on_ready` is called on the thread of the loop. It may destroy the watch.
    io_watch(io_loop& loop, std::function<void()> on_ready);
    ~io_watch();
    io_watch(const io_watch&) = delete;
    io_watch& operator=(const io_watch&) = delete;

    /// Calls `on_ready` once when data can be read from a socket, or when it is closed or has
    /// failed; if `is_writing`, also when data can be written to it. Throws resource_error.
    void wait_for(int socket, bool is_writing);

private:
    friend class io_loop;

    io_loop& loop_;
    std::function<void()> on_ready_;
    int socket_ = -1; ///< The last one that was waited for.
};

/// Calls a function on the thread of a loop after a delay. To be used on that thread only, except
/// that a timer which is not running may be created and destroyed on any.
class io_timer {
public:
    io_timer(io_loop& loop, std::function<void()> on_due);
    ~io_timer() { stop(); }
    io_timer(const io_timer&) = delete;
    io_timer& operator=(const io_timer&) = delete;

    /// Starts the timer, or sets another time for one that is running. Needs no memory, so it can't
    /// fail. Complexity: logarithmic in the running timers of the loop.
    void start(milliseconds delay) noexcept;

    /// Has no effect if the timer is not running. Complexity: as start().
    void stop() noexcept;

private:
    friend class io_loop;

    io_loop& loop_;
    std::function<void()> on_due_;
    io_loop::timer_queue::node_type entry_; ///< Empty while the timer is running.
    time_point due_{};
};

/// Work that goes on in steps on the thread of a loop, each of which looks at what is to be done
/// now. Callable from all threads unless noted otherwise.
class io_activity {
public:
    /// `step` may throw; the next step is then due after a delay.
    io_activity(io_loop& loop, const char* name, std::function<void()> step);

    /// The activity must have ended, or never have been woken.
    ~io_activity() = default;

    io_activity(const io_activity&) = delete;
    io_activity& operator=(const io_activity&) = delete;

    /// Requests a step as soon as possible. Has no effect after the end.
    void wake();

    /// Requests a step after a delay, instead of one that was requested in this way before. To be
    /// called on the thread of the loop.
    void wake_after(milliseconds delay) noexcept { timer_.start(delay); }

    /// Ends the activity with this step. To be called in a step.
    void end() noexcept { ending_ = true; }

    /// Checks whether there are no more steps, so that wait_until_ended() does not wait.
    [[nodiscard]] bool has_ended() const;

    /// Not to be called on the thread of the loop.
    void wait_until_ended() const;

private:
    void run_woken();
    void run_step() noexcept;

    io_loop& loop_;
    const char* name_;
    std::function<void()> step_;
    io_timer timer_;
    bool ending_ = false; ///< Used on the thread of the loop only.
    mutable std::mutex mutex_;
    mutable std::condition_variable ended_changed_;
    bool is_woken_ = false;
    bool has_ended_ = false;
};

} // namespace flamingoseam
