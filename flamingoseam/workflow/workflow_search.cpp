#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoseam::workflow {

using detail::fits_in;
using detail::max_workers_per_request;

namespace {

/// A gang asks about more workers until it is permitted on so many times the workers it needs,
/// since others occupy part of them.
constexpr int gang_choice = 2;
constexpr double min_workers_per_request = 16;
constexpr double requested_per_needed_worker = 8;
constexpr std::size_t min_workers_to_explore = 16;
/// Of a request that also asks about unknown workers.
constexpr std::size_t max_renewed_workers = max_workers_per_request / 2;
constexpr milliseconds min_search_pause{400};
constexpr std::size_t searches_per_pause = 100; ///< Number of waiting steps for each minimum pause.

} // namespace

void workflow_state::request_for_unknown_workers(const ready_step& step, time_point time)
{
    auto& permission = step.record().permission;
    if (permission.next_search > time || !may_request_permission(step, time)) {
        return;
    }
    auto workers = find_unknown_workers(step, time);
    if (workers.empty()) {
        permission.next_search = time + search_pause();
        return;
    }
    request_permission(step, std::move(workers), time);
}

/// Returns how many tasks of a step a worker can run now.
int workflow_state::fits_now(const ready_step& step, std::size_t worker, time_point time)
{
    bool is_reserved = false;
    const int fits = fits_in(step.spec(), fleet_.at(worker).free());
    return fits > 0 && may_use(step, worker, is_reserved, time) ? fits : 0;
}

/// Returns how many tasks of a step fit on the workers that are known to be permitted for it.
workflow_state::step_capacity workflow_state::permitted_capacity(const ready_step& step,
                                                                 time_point time)
{
    step_capacity capacity;
    for (const auto& ticket : step.record().permission.permitted()) {
        ++counts_.examined;
        if (can_run(step, ticket.worker, time)) {
            capacity.now += fits_now(step, ticket.worker, time);
            capacity.when_empty += fits_in(step.spec(), fleet_.at(ticket.worker).entry.capacity);
        }
    }
    return capacity;
}

std::size_t workflow_state::max_workers_to_request(const ready_step& step) const
{
    if (fleet_.size() == 0) {
        return 0;
    }
    const auto total = step.spec().size * step.record().waiting();
    const double workers_needed = dominant_share(total, fleet_.worker_capacity());
    if (step.spec().gang && step.record().permission.has_answer()) {
        // The fixed cost of a call exceeds that of a few more workers.
        return max_workers_per_request;
    }
    const double wanted = min_workers_per_request + requested_per_needed_worker * workers_needed;
    return std::min(max_workers_per_request, static_cast<std::size_t>(std::ceil(wanted)));
}

/// Checks whether a gang that can't be expected to start now asks about this number of unknown
/// workers with free capacity, so that it knows the permitted ones when more becomes free: the
/// calls must be worth their fixed cost and must not delay others.
bool workflow_state::may_explore(std::size_t unknown_workers, time_point time) const
{
    return unknown_workers >= min_workers_to_explore && permission_budget_.is_mostly_idle(time);
}

/// Returns the workers that the next permission request of a step asks about, those with the most
/// free processors first. A step that is already permitted on enough workers asks only about
/// workers with free capacity for it now, and a gang only if it can be expected to start with them:
/// permission for other workers is of no use before capacity becomes free.
std::vector<std::size_t> workflow_state::find_unknown_workers(const ready_step& step,
                                                              time_point time)
{
    const auto& permission = step.record().permission;
    const auto capacity = permitted_capacity(step, time);
    const int waiting = step.record().waiting();
    const bool gang = step.spec().gang;
    const bool needs_capacity = capacity.when_empty >= (gang ? gang_choice * waiting : 1);
    const auto pool = fleet_.find_pool(step.job->terms.service);
    if (!pool || (needs_capacity && !free_capacity_.may_fit(*pool, step.spec().size))) {
        return {};
    }
    struct offer {
        std::int64_t milli_cpus = 0; ///< Free processors of the worker.
        std::size_t worker = 0;
    };
    int fits = 0;
    std::vector<offer> offers;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        ++counts_.examined;
        if (permission.has_answer_for(worker) || !can_run(step, worker, time)) {
            continue;
        }
        const int fitting_tasks = fits_now(step, worker, time);
        if (fitting_tasks > 0 || !needs_capacity) {
            fits += fitting_tasks;
            offers.push_back({fleet_.at(worker).free().milli_cpus, worker});
        }
    }
    const bool is_sufficient = capacity.now + permission.permitted_share() * fits >= waiting;
    if (needs_capacity && gang && !is_sufficient && !may_explore(offers.size(), time)) {
        return {};
    }
    std::ranges::sort(offers, std::ranges::greater(),
                      [](const offer& entry) { return std::pair(entry.milli_cpus, entry.worker); });
    offers.resize(std::min(offers.size(), max_workers_to_request(step)));
    std::vector<std::size_t> workers;
    for (const auto& entry : offers) {
        workers.push_back(entry.worker);
    }
    if (gang && is_sufficient) {
        add_workers_to_renew(step, workers, time);
    }
    return workers;
}

/// Adds the permitted workers with free capacity for a step whose tickets will have expired when a
/// request about `workers` is answered, so that a gang can start with the answer.
void workflow_state::add_workers_to_renew(const ready_step& step, std::vector<std::size_t>& workers,
                                          time_point time)
{
    std::vector<std::size_t> renewed;
    const auto answered = time + step.job->terms.permission->service_time(max_workers_per_request);
    for (const auto& ticket : step.record().permission.permitted()) {
        if (ticket.valid_until < answered && can_run(step, ticket.worker, time) &&
            fits_now(step, ticket.worker, time) > 0) {
            renewed.push_back(ticket.worker);
        }
    }
    const auto places = max_workers_per_request - std::min(renewed.size(), max_renewed_workers);
    workers.resize(std::min(workers.size(), places));
    workers.insert(workers.end(), renewed.begin(), renewed.end());
    workers.resize(std::min(workers.size(), max_workers_per_request));
}

/// Returns how long a step waits after a search of the whole fleet without a result before it
/// searches again. The pause grows with the number of waiting steps, which bounds the time spent on
/// searches.
milliseconds workflow_state::search_pause() const
{
    const auto pauses = std::max<std::size_t>(1, waiting_steps_ / searches_per_pause);
    return min_search_pause * static_cast<int>(pauses);
}

} // namespace flamingoseam::workflow
