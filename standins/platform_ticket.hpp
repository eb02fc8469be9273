#pragma once

#include "flamingoseam/core/clock.hpp"

#include <string>

namespace flamingoseam::standin {

/// The permission of the stand-in permission service to run a step on a worker.
struct step_ticket {
    std::string step; ///< ID.K.STEP
    std::string worker;
    wall_time issued{};
};

/// Checks whether a worker is among the share of workers, in percent, that may not run a step. The
/// answer for a step and a worker does not change.
bool is_refused(const std::string& step, const std::string& worker, unsigned percent);

/// Returns the text of a ticket.
std::string write_ticket(const step_ticket& ticket);

/// Checks whether the text of a ticket lets a worker that was started at `born` start `task`, whose
/// name is ID.K.STEP.INDEX, at `time`.
bool permits(const std::string& text, const std::string& task, const std::string& worker,
             wall_time born, wall_time time, milliseconds validity);

} // namespace flamingoseam::standin
