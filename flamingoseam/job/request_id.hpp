#pragma once

#include "flamingoseam/core/clock.hpp"

#include <optional>
#include <string>

namespace flamingoseam {

/// Returns a new UUID of version 7 (RFC 9562), whose first 48 bits contain `wall`.
std::string make_request_id(wall_time wall);

/// Returns the time contained in a UUID of version 7, with or without entry_id_prefix; none for any
/// other text. Complexity: constant.
std::optional<wall_time> time_of_request_id(const std::string& text);

/// Prefix of the ids that an entry generates itself. No other process has such an id before the
/// answer, so the request can't be repeated through another entry.
inline const std::string entry_id_prefix = "e-";

} // namespace flamingoseam
