#include "flamingoseam/http/io_loop.hpp"

#include "flamingoseam/core/error.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <string>
#include <system_error>
#include <thread>

namespace flamingoseam {

namespace {

constexpr milliseconds max_wait{1'000};    ///< For sockets, so that the thread's time is reported.
constexpr milliseconds failure_delay{100}; ///< Before the next attempt after an exception.

void throw_system_error(const char* action)
{
    throw resource_error(403, std::string(action) + ": " + std::generic_category().message(errno));
}

} // namespace

io_loop::descriptor::descriptor(int number) : number_(number)
{
    if (number < 0) {
        throw_system_error("can't open a file descriptor for an I/O loop");
    }
}

io_loop::descriptor::~descriptor()
{
    ::close(number_);
}

io_loop::io_loop(const char* name, thread_duty duty)
    : name_(name), duty_(duty), epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wakeup_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    epoll_event event{.events = EPOLLIN, .data = {.ptr = nullptr}};
    if (::epoll_ctl(epoll_.number(), EPOLL_CTL_ADD, wakeup_.number(), &event) != 0) {
        throw_system_error("can't wait for the wake-ups of an I/O loop");
    }
    thread_ = service_thread(name, [this] { run(); });
}

io_loop::~io_loop()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    wake();
    thread_.join();
}

void io_loop::post(std::function<void()> function)
{
    {
        const std::lock_guard lock(mutex_);
        posted_.push_back(std::move(function));
        if (posted_.size() > 1) {
            return; // The thread has been woken and has not taken the first function yet.
        }
    }
    wake();
}

void io_loop::run()
{
    thread_timer timer(duty_);
    const auto is_ending = [this] {
        const std::lock_guard lock(mutex_);
        return ending_;
    };
    while (!is_ending()) {
        if (!run_guarded(name_, [this] { run_once(); })) {
            std::this_thread::sleep_for(failure_delay);
        }
        timer.update();
    }
}

void io_loop::run_once()
{
    run_posted();
    run_due_timers();
    wait_for_events();
}

void io_loop::wake() const noexcept
{
    ::eventfd_write(wakeup_.number(), 1); // Fails only if the loop has been woken very often.
}

void io_loop::handle_wakeup() const noexcept
{
    eventfd_t count = 0;
    ::eventfd_read(wakeup_.number(), &count);
}

void io_loop::wait_for_events()
{
    const int count =
        ::epoll_wait(epoll_.number(), events_.data(), static_cast<int>(events_.size()),
                     static_cast<int>(time_to_next_timer().count()));
    if (count < 0 && errno != EINTR) {
        throw_system_error("can't wait for sockets");
    }
    for (event_count_ = static_cast<std::size_t>(std::max(count, 0)); event_count_ > 0;) {
        const auto* watch = static_cast<const io_watch*>(events_.at(--event_count_).data.ptr);
        if (watch == nullptr) {
            handle_wakeup();
        } else {
            const auto on_ready = watch->on_ready_; // It may destroy this and other watches.
            run_guarded(name_, on_ready);
        }
    }
}

void io_loop::run_posted()
{
    std::vector<std::function<void()>> functions;
    {
        const std::lock_guard lock(mutex_);
        functions.swap(posted_);
    }
    for (const auto& function : functions) {
        run_guarded(name_, function);
    }
}

void io_loop::run_due_timers()
{
    while (!timers_.empty() && timers_.begin()->first <= now()) {
        auto& timer = *timers_.begin()->second;
        timer.stop();
        const auto on_due = timer.on_due_; // It may destroy the timer.
        run_guarded(name_, on_due);
    }
}

milliseconds io_loop::time_to_next_timer() const
{
    if (timers_.empty()) {
        return max_wait;
    }
    const auto left = std::chrono::ceil<milliseconds>(timers_.begin()->first - now());
    return std::clamp(left, milliseconds(0), max_wait);
}

io_timer::io_timer(io_loop& loop, std::function<void()> on_due)
    : loop_(loop), on_due_(std::move(on_due))
{
    io_loop::timer_queue entries;
    entries.emplace(time_point{}, this);
    entry_ = entries.extract(entries.begin());
}

void io_timer::start(milliseconds delay) noexcept
{
    stop();
    due_ = now() + delay;
    entry_.value().first = due_;
    loop_.timers_.insert(std::move(entry_));
}

void io_timer::stop() noexcept
{
    if (!entry_) {
        entry_ = loop_.timers_.extract({due_, this});
    }
}

io_watch::io_watch(io_loop& loop, std::function<void()> on_ready)
    : loop_(loop), on_ready_(std::move(on_ready))
{
}

io_watch::~io_watch()
{
    if (socket_ >= 0) {
        ::epoll_ctl(loop_.epoll_.number(), EPOLL_CTL_DEL, socket_, nullptr); // Fails once closed.
    }
    const auto end = loop_.events_.begin() + static_cast<std::ptrdiff_t>(loop_.event_count_);
    const auto others =
        std::remove_if(loop_.events_.begin(), end,
                       [this](const epoll_event& event) { return event.data.ptr == this; });
    loop_.event_count_ = static_cast<std::size_t>(others - loop_.events_.begin());
}

void io_watch::wait_for(int socket, bool is_writing)
{
    const std::uint32_t events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT | (is_writing ? EPOLLOUT : 0U);
    epoll_event event{.events = events, .data = {.ptr = this}};
    const int epoll = loop_.epoll_.number();
    socket_ = socket;
    // A number that was in use before may belong to another socket by now.
    if (::epoll_ctl(epoll, EPOLL_CTL_MOD, socket, &event) != 0 &&
        ::epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event) != 0) {
        throw_system_error("can't wait for a socket");
    }
}

io_activity::io_activity(io_loop& loop, const char* name, std::function<void()> step)
    : loop_(loop), name_(name), step_(std::move(step)), timer_(loop, [this] { run_step(); })
{
}

void io_activity::wake()
{
    const std::lock_guard lock(mutex_);
    if (!is_woken_ && !has_ended_) {
        loop_.post([this] { run_woken(); });
        is_woken_ = true;
    }
}

bool io_activity::has_ended() const
{
    const std::lock_guard lock(mutex_);
    return has_ended_;
}

void io_activity::wait_until_ended() const
{
    std::unique_lock lock(mutex_);
    ended_changed_.wait(lock, [this] { return has_ended_; });
}

void io_activity::run_woken()
{
    {
        const std::lock_guard lock(mutex_);
        is_woken_ = false;
    }
    run_step();
}

void io_activity::run_step() noexcept
{
    if (!ending_ && !run_guarded(name_, step_)) {
        timer_.start(failure_delay);
    }
    if (!ending_) {
        return;
    }
    timer_.stop();
    const std::lock_guard lock(mutex_);
    if (!is_woken_) { // Otherwise the step that was requested last is still to come.
        has_ended_ = true;
        ended_changed_.notify_all(); // This object may be destroyed from now on.
    }
}

} // namespace flamingoseam
