#include "flamingoseam/shard/explain.hpp"

#include "flamingoseam/http/json.hpp"

namespace flamingoseam {

namespace {

constexpr std::size_t job_overhead_bytes = 700;

} // namespace

std::string explain_held_by(const std::string& held_by, const contract& terms,
                            const resources& used, const resources& limit)
{
    if (held_by == "ceiling") {
        return "contract line [ceiling]: the customer uses " + to_json(used) +
               " in this shard, whose share of the ceiling is " + to_json(limit);
    }
    if (held_by == "headroom") {
        return "not covered by [guaranteed] " + to_json(terms.guaranteed) +
               "; the free capacity is kept for calls that are covered";
    }
    if (held_by == "others_guarantee") {
        return "not covered by [guaranteed] " + to_json(terms.guaranteed) +
               "; the free capacity is guaranteed to other customers and this work can't be "
               "preempted";
    }
    if (held_by == "no_room") {
        return "no worker has enough free capacity for one task; other tasks are preempted only "
               "when [guaranteed] covers it";
    }
    if (held_by == "yielding") {
        return "other tasks are being preempted to free capacity and have not ended yet";
    }
    if (held_by == "window") {
        return "the start of its next tasks is being written to the store";
    }
    if (held_by == "gang") {
        return "all tasks must start together, but they do not all fit yet";
    }
    if (held_by == "backoff") {
        return "contract line [retry]: a failed task is retried after its backoff delay";
    }
    return held_by;
}

std::size_t estimate_journal_bytes(const work_request& request)
{
    return request.payload.size() * 2 + static_cast<std::size_t>(request.tasks) +
           job_overhead_bytes;
}

} // namespace flamingoseam
