#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// A measured value of an event. Its name includes the unit.
struct log_field {
    std::string name;
    std::int64_t value = 0;
};

/// A decision, or a change in the recorded state of the process.
struct log_event {
    std::string event;   ///< Name of the event, for example "placed".
    std::string request; ///< Id of the job or call; empty for events without one.
    std::string detail;  ///< The data that led to the decision, and their age.

    /// Measured values. Their names must differ from the other members of the log line.
    std::vector<log_field> fields = {};
};

} // namespace flamingoseam
