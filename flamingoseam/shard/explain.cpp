#include "flamingoseam/shard/explain.hpp"

#include "flamingoseam/http/json.hpp"

namespace flamingoseam {

namespace {

constexpr std::size_t job_overhead_bytes = 700;

} // namespace

std::string explain_hold(const std::string& held_by, const contract& terms, const resources& used,
                         const resources& limit)
{
    if (held_by == "ceiling") {
        return "contract line [ceiling]: the customer holds " + to_json(used) +
               " in this shard, whose share of the ceiling is " + to_json(limit);
    }
    if (held_by == "headroom") {
        return "not covered by [guaranteed] " + to_json(terms.guaranteed) +
               "; what is free is kept for calls that are";
    }
    if (held_by == "others_guarantee") {
        return "not covered by [guaranteed] " + to_json(terms.guaranteed) +
               "; what is free is promised to other customers and this work does not yield";
    }
    if (held_by == "no_room") {
        return "no worker has room for one task; what yields is asked to when [guaranteed] covers "
               "it";
    }
    if (held_by == "yielding") {
        return "other work was asked to yield its place and has not ended yet";
    }
    if (held_by == "window") {
        return "the start of its next tasks is being written to the store";
    }
    if (held_by == "gang") {
        return "all tasks must start together and do not fit yet";
    }
    if (held_by == "backoff") {
        return "contract line [retry]: a failed task is tried again after its pause";
    }
    return held_by;
}

std::size_t to_json_size(const work_request& request)
{
    return request.payload.size() * 2 + static_cast<std::size_t>(request.tasks) +
           job_overhead_bytes;
}

} // namespace flamingoseam
