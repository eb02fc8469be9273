#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/log/log_event.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace flamingoseam {

/// One event in the trace of a request.
struct trace_line {
    wall_time time{0};
    std::string node;
    std::string event;
    std::string detail;
    std::vector<log_field> fields = {}; ///< Sorted by name.
    bool is_of_request = false; ///< False for a change of ownership or of the state of the store.
};

/// Reads the logs of several nodes, in any order, and returns the events that concern one request,
/// oldest first: its own events, and the changes of ownership and of the state of the store between
/// the first and the last of them. Lines that are not events are ignored. Complexity: n log n in
/// the number of lines.
std::vector<trace_line> trace_request(std::istream& logs, const std::string& request);

/// Returns a trace as text, one line for each event: milliseconds since the first event, node,
/// event, detail and measured values. Complexity: linear.
std::string to_text(const std::vector<trace_line>& trace);

} // namespace flamingoseam
