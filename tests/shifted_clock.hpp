#pragma once

#include "flamingoseam/core/clock.hpp"

#include <string>
#include <vector>

namespace flamingoseam {

/// Names the file that holds the offset of a process's time of day, in nanoseconds.
inline constexpr const char* clock_offset_variable = "FLAMINGOSEAM_CLOCK_OFFSET_FILE";

/// Shifts the time of day of processes that are started with its environment. Their steady and
/// boot clocks are as they were.
class shifted_clock {
public:
    /// Creates the file that holds the offset, which is 0 at first. Throws std::runtime_error if
    /// that fails.
    explicit shifted_clock(const std::string& file);
    ~shifted_clock();
    shifted_clock(const shifted_clock&) = delete;
    shifted_clock& operator=(const shifted_clock&) = delete;

    /// Sets how far the time of day is ahead of the machine's, behind it if negative. Running
    /// processes see it at once.
    void set_offset(milliseconds offset);

    /// Returns the variables, as NAME=VALUE, with which a process has this clock. `library` is the
    /// path of the library that is built from shifted_clock_library.cpp.
    [[nodiscard]] std::vector<std::string> environment(const std::string& library) const;

private:
    std::string file_;
    std::int64_t* offset_; ///< Nanoseconds, in the mapped file.
};

} // namespace flamingoseam
