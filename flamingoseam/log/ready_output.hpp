#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace flamingoseam {

/// Writes text in pieces that a pipe accepts without blocking, and waits at most `timeout` for the
/// descriptor to become writable before each of them. Returns the number of bytes written, or
/// nullopt when a write fails, for example because the reader has closed the pipe.
std::optional<std::size_t> write_ready(int descriptor, std::string_view text, milliseconds timeout);

} // namespace flamingoseam
