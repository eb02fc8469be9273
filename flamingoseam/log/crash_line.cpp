#include "flamingoseam/log/crash_line.hpp"

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/process_usage.hpp"
#include "flamingoseam/core/thread_name.hpp"
#include "flamingoseam/log/ready_output.hpp"

#include <sys/resource.h>

#include <cxxabi.h>
#include <dirent.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <optional>
#include <typeinfo>

namespace flamingoseam {

namespace {

constexpr milliseconds write_timeout{100};        ///< For a reader that accepts no data.
constexpr milliseconds other_writer_limit{1'000}; ///< For the line of a thread that failed first.
constexpr std::size_t max_cause_bytes = 1'024;
constexpr std::size_t max_line_bytes = 4'096; ///< PIPE_BUF: a pipe accepts as many in one piece.
constexpr std::size_t max_escaped_bytes = 2;  ///< Of one character of a text in JSON.
constexpr int max_directory_reads = 1'000;

/// A text in a fixed buffer; what doesn't fit is left out.
template <std::size_t capacity> class fixed_text {
public:
    void clear() { size_ = 0; }

    void add(std::string_view text)
    {
        const auto count = std::min(text.size(), capacity - size_);
        std::copy_n(text.begin(), count, bytes_.begin() + size_);
        size_ += count;
    }

    void add(std::int64_t number, int base = 10)
    {
        std::array<char, 24> digits{};
        const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
        add(std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
    }

    [[nodiscard]] std::string_view text() const { return {bytes_.data(), size_}; }

private:
    std::array<char, capacity> bytes_{};
    std::size_t size_ = 0;
};

using line_text = fixed_text<max_line_bytes>;

static_assert(max_cause_bytes * max_escaped_bytes <= max_line_bytes / 2);

/// The signals that end a process by an error, with the actions that were installed for them
/// before.
struct error_signal {
    int number = 0;
    std::string_view name;
    struct sigaction earlier {};
};

std::array<error_signal, 5> error_signals = {{{SIGABRT, "SIGABRT"},
                                              {SIGSEGV, "SIGSEGV"},
                                              {SIGBUS, "SIGBUS"},
                                              {SIGILL, "SIGILL"},
                                              {SIGFPE, "SIGFPE"}}};

/// How far the one line has been written, by the thread that failed first.
enum class line_progress { none, cause_known, repeated, written };

std::terminate_handler earlier_terminate = nullptr;
fixed_text<64> program_name;
fixed_text<max_cause_bytes> cause;
line_text line;
std::atomic<pid_t> writer{0}; ///< Id of the thread that failed first.
std::atomic<line_progress> progress{line_progress::none};

/// Descriptors that are open from the start, since none may be left at the end.
int status_file = -1;
int descriptor_directory = -1;

/// Adds a text in quotes. Bytes that aren't printable ASCII are replaced.
void add_quoted(line_text& target, std::string_view text)
{
    target.add("\"");
    for (const char byte : text) {
        const bool is_printable = byte >= ' ' && byte <= '~';
        if (byte == '"' || byte == '\\') {
            target.add("\\");
        }
        target.add(is_printable ? std::string_view(&byte, 1) : "?");
    }
    target.add("\"");
}

void add_name(line_text& target, std::string_view name)
{
    target.add(",\"");
    target.add(name);
    target.add("\":");
}

void add_text(line_text& target, std::string_view name, std::string_view value)
{
    add_name(target, name);
    add_quoted(target, value);
}

/// Adds a number, or null if it isn't known.
void add_number(line_text& target, std::string_view name, std::optional<std::int64_t> value)
{
    add_name(target, name);
    if (value) {
        target.add(*value);
    } else {
        target.add("null");
    }
}

/// Adds a limit of the process divided by `unit`.
void add_limit(line_text& target, std::string_view name, int resource, rlim_t unit)
{
    rlimit limit{};
    if (::getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0) {
        add_number(target, name, std::nullopt);
    } else if (limit.rlim_cur == RLIM_INFINITY) {
        add_text(target, name, "unlimited");
    } else {
        add_number(target, name, static_cast<std::int64_t>(limit.rlim_cur / unit));
    }
}

/// Returns the text of /proc/self/status; empty if it can't be read.
std::string_view read_status()
{
    static std::array<char, 8'192> text{};
    const auto size = ::pread(status_file, text.data(), text.size(), 0);
    return {text.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
}

/// Returns the number of open descriptors.
std::optional<std::int64_t> count_descriptors()
{
    alignas(dirent64) static std::array<std::byte, 32'768> entries{};
    if (::lseek(descriptor_directory, 0, SEEK_SET) != 0) {
        return std::nullopt;
    }
    std::int64_t count = -2; // The directory itself and its parent.
    for (int reads = 0; reads < max_directory_reads; ++reads) {
        const auto size = ::getdents64(descriptor_directory, entries.data(), entries.size());
        if (size <= 0) {
            return size == 0 ? std::optional(count) : std::nullopt;
        }
        for (ssize_t offset = 0; offset < size; ++count) {
            offset += reinterpret_cast<const dirent64*>(entries.data() + offset)->d_reclen;
        }
    }
    return std::nullopt;
}

void add_usage(line_text& target)
{
    const auto status = read_status();
    add_number(target, "threads", detail::find_status_number(status, "\nThreads:"));
    add_number(target, "descriptors", count_descriptors());
    add_number(target, "resident_kb", detail::find_status_number(status, "\nVmRSS:"));
    add_number(target, "address_space_kb", detail::find_status_number(status, "\nVmSize:"));
    constexpr rlim_t kilobyte = 1'024;
    add_limit(target, "thread_limit", RLIMIT_NPROC, 1);
    add_limit(target, "descriptor_limit", RLIMIT_NOFILE, 1);
    add_limit(target, "address_space_limit_kb", RLIMIT_AS, kilobyte);
}

void begin_line(line_text& target)
{
    target.clear();
    target.add("{\"time_ms\":");
    target.add(wall_now().count());
    add_text(target, "severity", "FATAL");
    add_text(target, "program", program_name.text());
    add_text(target, "event", "process_ends");
    add_text(target, "cause", cause.text());
    add_text(target, "thread", thread_name());
}

void end_line(line_text& target)
{
    target.add("}\n");
    write_ready(STDERR_FILENO, target.text(), write_timeout);
    progress = line_progress::written;
}

void write_line()
{
    begin_line(line);
    add_usage(line);
    end_line(line);
}

/// Writes what is known when an error has occurred while the line was being written.
void write_line_again()
{
    if (progress.exchange(line_progress::repeated) != line_progress::cause_known) {
        progress = line_progress::written;
        return;
    }
    cause.add(" (then an error in its report)");
    begin_line(line);
    end_line(line);
}

/// Waits until the thread that failed first has written the line, since this thread is going to end
/// the process.
void wait_for_writer()
{
    constexpr milliseconds interval{1};
    constexpr timespec pause{.tv_sec = 0, .tv_nsec = std::chrono::nanoseconds(interval).count()};
    for (auto waited = milliseconds(0); waited < other_writer_limit; waited += interval) {
        if (progress == line_progress::written) {
            return;
        }
        ::nanosleep(&pause, nullptr);
    }
}

/// Writes the line unless another error has done so. `add_cause` completes the cause, and may fail
/// once its beginning is known: the report of that error is then the line.
template <class AddCause> void report(AddCause add_cause)
{
    pid_t first = 0;
    if (writer.compare_exchange_strong(first, ::gettid())) {
        progress = line_progress::cause_known;
        add_cause();
        if (progress == line_progress::cause_known) {
            write_line();
        }
    } else if (first != ::gettid()) {
        wait_for_writer();
    } else if (progress != line_progress::written) {
        write_line_again();
    }
}

/// Adds the type and the text of the exception that ends the process.
void add_exception()
{
    const auto* const type = abi::__cxa_current_exception_type();
    if (type == nullptr) {
        cause.add("std::terminate without an exception");
        if (std::uncaught_exceptions() > 0) {
            cause.add(" of its own while another one was unwinding the stack");
        }
        return;
    }
    cause.add(type->name());
    try {
        throw;
    } catch (const std::exception& error) {
        const std::string_view text = error.what();
        cause.add(": ");
        cause.add(text);
    } catch (...) { // Its type is known; it has no text.
    }
}

/// Adds the signal that ends the process, and where it comes from.
void add_signal(const error_signal& signal, const siginfo_t& info)
{
    cause.add(signal.name);
    if (info.si_code == SI_USER || info.si_code == SI_QUEUE) {
        cause.add(" sent by process ");
        cause.add(info.si_pid);
    } else if (info.si_code > 0) {
        cause.add(" at 0x");
        cause.add(reinterpret_cast<std::int64_t>(info.si_addr), 16);
    }
}

/// Lets the action take place that was installed before.
void take_earlier_action(const error_signal& signal, siginfo_t* info, void* context)
{
    if ((signal.earlier.sa_flags & SA_SIGINFO) != 0) {
        signal.earlier.sa_sigaction(signal.number, info, context);
        return;
    }
    ::sigaction(signal.number, &signal.earlier, nullptr);
    ::raise(signal.number);
}

void on_error_signal(int number, siginfo_t* info, void* context)
{
    const auto* const signal =
        std::find_if(error_signals.begin(), error_signals.end(),
                     [number](const auto& candidate) { return candidate.number == number; });
    report([signal, info] { add_signal(*signal, *info); });
    take_earlier_action(*signal, info, context);
}

[[noreturn]] void on_terminate()
{
    report([] { add_exception(); });
    if (earlier_terminate != nullptr) {
        earlier_terminate();
    }
    std::abort();
}

} // namespace

void install_crash_line(std::string_view program)
{
    program_name.add(program.substr(program.rfind('/') + 1));
    status_file = ::open("/proc/self/status", O_RDONLY | O_CLOEXEC);
    descriptor_directory = ::open("/proc/self/fd", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    for (auto& signal : error_signals) {
        struct sigaction action {};
        action.sa_sigaction = on_error_signal;
        action.sa_flags = SA_SIGINFO | SA_NODEFER | SA_ONSTACK; // An error in the report ends it.
        ::sigemptyset(&action.sa_mask);
        ::sigaction(signal.number, &action, &signal.earlier);
    }
    earlier_terminate = std::set_terminate(on_terminate);
}

} // namespace flamingoseam
