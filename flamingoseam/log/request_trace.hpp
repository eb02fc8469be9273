#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/log/log_event.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace flamingoseam {

/// One line of a request's story.
struct trace_line {
    wall_time time{0};
    std::string node;
    std::string event;
    std::string detail;
    std::vector<log_field> fields = {}; ///< By name.
    bool is_of_request = false; ///< Otherwise a change of ownership or of the store meanwhile.
};

/// Reads logs of several nodes, in any order, and returns what touched one request, oldest first:
/// its own events, and from its first to its last one the changes of ownership and of the store.
/// Lines that are no events are passed over. Complexity: n log n in the lines.
std::vector<trace_line> trace_request(std::istream& logs, const std::string& request);

/// Returns a story as text, one line for each event: milliseconds since the first, node, event,
/// detail and measured values. Complexity: linear.
std::string to_text(const std::vector<trace_line>& story);

} // namespace flamingoseam
