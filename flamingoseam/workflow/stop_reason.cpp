#include "flamingoseam/workflow/stop_reason.hpp"

namespace flamingoseam::workflow {

const char* to_string(stop_reason reason)
{
    switch (reason) {
    case stop_reason::task_done:
        return "its task is done";
    case stop_reason::job_ended:
        return "its job has ended";
    case stop_reason::gang_broken:
        return "its gang is broken";
    case stop_reason::stalled:
        return "it is stalled";
    case stop_reason::preempted:
        return "it is preempted";
    case stop_reason::not_wanted:
        return "it is not wanted";
    case stop_reason::superseded:
        return "a newer run is known";
    case stop_reason::unconfirmed:
        return "its start is unconfirmed";
    case stop_reason::start_refused:
        return "its start was refused";
    }
    return "unknown";
}

} // namespace flamingoseam::workflow
