#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoseam::workflow {

using detail::most_workers_asked;

namespace {

constexpr double least_workers_asked = 16;
constexpr double asked_per_worker_needed = 8;
constexpr milliseconds least_search_pause{400};
constexpr std::size_t searches_per_pause = 100; ///< Number of waiting steps for each minimum pause.

/// Returns how many tasks of a step fit on one worker with this free capacity.
int fits_in(const step_spec& step, const resources& room)
{
    const int fits = tasks_that_fit(step.size, room);
    return step.most_per_worker > 0 ? std::min(fits, step.most_per_worker) : fits;
}

} // namespace

void workflow_state::ask_about_unasked(const ready_step& step, time_point time)
{
    auto& permission = step.record().permission;
    if (permission.next_search > time || !may_ask(step, time)) {
        return;
    }
    auto workers = unasked_workers(step, time);
    if (workers.empty()) {
        permission.next_search = time + pause_after_vain_search();
        return;
    }
    ask_permission(step, std::move(workers), time);
}

/// Returns how many tasks of a step a worker can run now.
int workflow_state::fits_now(const ready_step& step, std::size_t worker, time_point time)
{
    bool held = false;
    const int fits = fits_in(step.spec(), fleet_.at(worker).free());
    return fits > 0 && may_use(step, worker, held, time) ? fits : 0;
}

/// Returns how many tasks of a step fit on the workers that are known to be permitted for it.
workflow_state::step_room workflow_state::permitted_room(const ready_step& step, time_point time)
{
    step_room room;
    for (const auto& one : step.record().permission.permitted()) {
        ++counts_.examined;
        if (can_run(step, one.worker, time)) {
            room.now += fits_now(step, one.worker, time);
            room.when_empty += fits_in(step.spec(), fleet_.at(one.worker).entry.capacity);
        }
    }
    return room;
}

std::size_t workflow_state::workers_to_ask(const ready_step& step) const
{
    if (fleet_.size() == 0) {
        return 0;
    }
    const auto total = step.spec().size * step.record().waiting();
    const double workers_needed = dominant_share(total, fleet_.at(0).entry.capacity);
    if (step.spec().gang && step.record().permission.has_answer()) {
        return most_workers_asked; // The fixed cost of a call exceeds that of a few more workers.
    }
    const double wanted = least_workers_asked + asked_per_worker_needed * workers_needed;
    return std::min(most_workers_asked, static_cast<std::size_t>(std::ceil(wanted)));
}

/// Returns the workers that the next permission request of a step asks about, those with the most
/// free processors first. A step that is already permitted on enough workers asks only about
/// workers with free capacity for it now, and a gang only if it can be expected to start with them:
/// permission for other workers is of no use before capacity becomes free.
std::vector<std::size_t> workflow_state::unasked_workers(const ready_step& step, time_point time)
{
    const auto& permission = step.record().permission;
    const auto room = permitted_room(step, time);
    const int waiting = step.record().waiting();
    const bool gang = step.spec().gang;
    const bool needs_room = room.when_empty >= (gang ? waiting : 1);
    const auto pool = fleet_.find_pool(step.job->terms.service);
    if (!pool || (needs_room && !room_.may_fit(*pool, step.spec().size))) {
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
        if (permission.is_known(worker) || !can_run(step, worker, time)) {
            continue;
        }
        const int there = fits_now(step, worker, time);
        if (there > 0 || !needs_room) {
            fits += there;
            offers.push_back({fleet_.at(worker).free().milli_cpus, worker});
        }
    }
    const bool suffices = room.now + permission.permitted_share() * fits >= waiting;
    if (needs_room && gang && !suffices) {
        return {};
    }
    std::ranges::sort(offers, std::ranges::greater(),
                      [](const offer& one) { return std::pair(one.milli_cpus, one.worker); });
    offers.resize(std::min(offers.size(), workers_to_ask(step)));
    std::vector<std::size_t> workers;
    for (const auto& one : offers) {
        workers.push_back(one.worker);
    }
    return workers;
}

/// Returns how long a step waits after a search of the whole fleet without a result before it
/// searches again. The pause grows with the number of waiting steps, which bounds the time spent on
/// searches.
milliseconds workflow_state::pause_after_vain_search() const
{
    const auto pauses = std::max<std::size_t>(1, waiting_steps_ / searches_per_pause);
    return least_search_pause * static_cast<int>(pauses);
}

} // namespace flamingoseam::workflow
