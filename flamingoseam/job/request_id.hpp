#pragma once

#include "flamingoseam/core/clock.hpp"

#include <optional>
#include <string>

namespace flamingoseam {

/// Returns a new UUID of version 7 (RFC 9562), which carries `wall` in its first 48 bits.
std::string make_request_id(wall_time wall);

/// Returns the time in a UUID of version 7, with or without the entry's prefix, none for any other
/// text. Complexity: constant.
std::optional<wall_time> time_of_request_id(const std::string& text);

/// Entries put this before ids of their own making. Nobody else knows such an id before its answer,
/// so it can't be repeated through another entry.
inline const std::string entry_id_prefix = "e-";

} // namespace flamingoseam
