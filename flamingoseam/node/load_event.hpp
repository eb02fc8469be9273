#pragma once

#include "flamingoseam/log/event_log.hpp"
#include "flamingoseam/node/load_meter.hpp"
#include "flamingoseam/workflow/queue_load.hpp"

namespace flamingoseam::node {

/// Returns the log event that reports an owner's load. Complexity: constant.
log_event to_event(const owner_load& load);

/// Returns the log event that reports a queue's load. Complexity: constant.
log_event to_event(const workflow::queue_load& load);

} // namespace flamingoseam::node
