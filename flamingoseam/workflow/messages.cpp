#include "flamingoseam/workflow/messages.hpp"

namespace flamingoseam::workflow {

std::string to_string(const run_name& name)
{
    return name.task.job + "/" + std::to_string(name.task.step) + "/" +
           std::to_string(name.task.index) + "#" + std::to_string(name.run);
}

const char* to_string(run_end value)
{
    switch (value) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    }
    return "unknown";
}

const char* to_string(start_outcome value)
{
    switch (value) {
    case start_outcome::started:
        return "started";
    case start_outcome::not_sent:
        return "not_sent";
    case start_outcome::no_room:
        return "no_room";
    case start_outcome::no_ticket:
        return "no_ticket";
    case start_outcome::superseded:
        return "superseded";
    case start_outcome::unhealthy:
        return "unhealthy";
    case start_outcome::wrong_incarnation:
        return "wrong_life";
    case start_outcome::fenced:
        return "fenced";
    case start_outcome::rejected:
        return "rejected";
    case start_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace flamingoseam::workflow
