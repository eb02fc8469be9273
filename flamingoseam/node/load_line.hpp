#pragma once

#include "flamingoseam/log/event_log.hpp"
#include "flamingoseam/node/load_meter.hpp"

namespace flamingoseam::node {

/// Returns the line of the log that tells an owner's load. Complexity: constant.
log_event to_event(const owner_load& load);

} // namespace flamingoseam::node
