#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace flamingoseam {

/// Writes text in pieces that a pipe takes without blocking, and waits at most `patience` for the
/// reader before each of them. Returns the bytes written, none when the reader has gone.
std::optional<std::size_t> write_ready(int descriptor, std::string_view text,
                                       milliseconds patience);

} // namespace flamingoseam
