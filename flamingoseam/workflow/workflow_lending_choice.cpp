#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// Work needs each worker that it may use as long as these have less than this many times the room.
constexpr int ample_choice = 2;

} // namespace

/// Returns the workers that the own waiting steps may use and that should not be given away, since
/// the shard has few of the kind.
std::set<std::size_t> workflow_state::workers_needed_here(const std::string& service,
                                                          time_point time)
{
    std::set<std::size_t> needed;
    for (const auto& step : steps_without_workers(service, time)) {
        const int tasks = step.spec().gang ? step.record().waiting() : 1;
        if (missing_places(step, ample_choice * tasks, time) == 0) {
            continue;
        }
        for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
            if (can_run(step, worker, time) && is_permitted(step, worker)) {
                needed.insert(worker);
            }
        }
    }
    return needed;
}

/// Returns what a shard with a stranded step gains from a worker, as far as it is known.
workflow_state::usefulness workflow_state::usefulness_of(std::size_t worker,
                                                         const worker_request& request) const
{
    const auto& entry = fleet_.at(worker).entry;
    const auto known = std::ranges::find(request.known, entry.id, &known_worker::id);
    if (known == request.known.end() || known->incarnation != entry.incarnation) {
        return usefulness::unknown;
    }
    return known->is_useful ? usefulness::some : usefulness::none;
}

/// Adds what the permission service has said about workers that this shard had earlier and which
/// may help its stranded steps.
void workflow_state::add_known_workers(worker_request& request, time_point time)
{
    std::vector<ready_step> stranded;
    for (const auto& step : steps_without_workers(request.service, time)) {
        if (stranded_tasks(step, time) > 0) {
            stranded.push_back(step);
        }
    }
    request.is_stranded = !stranded.empty();
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& state = fleet_.at(worker);
        if (stranded.empty() || state.listed || state.entry.service != request.service) {
            continue;
        }
        const auto may_run = [&](const ready_step& step) {
            return has_label(state.entry, step.spec().label) && is_permitted(step, worker);
        };
        const auto may_not_run = [&](const ready_step& step) {
            const bool is_answered =
                !step.job->terms.permission || step.record().permission.has_answer_for(worker);
            return is_answered && !may_run(step);
        };
        const bool is_useful = std::ranges::any_of(stranded, may_run);
        if (is_useful || std::ranges::all_of(stranded, may_not_run)) {
            request.known.push_back({.id = state.entry.id,
                                     .incarnation = state.entry.incarnation,
                                     .is_useful = is_useful});
        }
    }
}

} // namespace flamingoseam::workflow
