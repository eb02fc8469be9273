#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// A measured value of an event, under a name that tells its unit.
struct log_field {
    std::string name;
    std::int64_t value = 0;
};

/// One decision, or a change of what the process believes.
struct log_event {
    std::string event;   ///< What happened, for example "placed".
    std::string request; ///< Id of the job or call; empty when none is concerned.
    std::string detail;  ///< What decided it, and how old that was.

    /// Beside the texts; no name may be one of the line's own.
    std::vector<log_field> fields = {};
};

} // namespace flamingoseam
