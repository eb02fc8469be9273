#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <tuple>

namespace flamingoseam::workflow {

using detail::is_waiting_for_rack;
using detail::ticket_use_margin;

namespace {

constexpr double estimate_allowance = 1.25; ///< A task may run that much longer than estimated.
constexpr std::int64_t runs_per_epoch = 1'000;

} // namespace

std::vector<ready_step> workflow_state::ready_steps(time_point time)
{
    std::vector<ready_step> ready;
    for (const auto& [sequence, job] : open_) {
        if (!job->spec_stored) {
            continue;
        }
        for (int index = 0; index < static_cast<int>(job->steps.size()); ++index) {
            const auto& step = job->steps[static_cast<std::size_t>(index)];
            const bool gang = job->spec.steps[static_cast<std::size_t>(index)].gang;
            const bool gang_is_out =
                gang && (step.placed > 0 || step.unlocated > 0 || step.gang_broken);
            if (step.waiting() == 0 || gang_is_out || step.not_before > time ||
                !job->is_turn_of(static_cast<std::size_t>(index))) {
                continue;
            }
            ready.push_back({job, index});
        }
    }
    return ready;
}

void workflow_state::schedule(time_point time)
{
    holds_.drop_expired(time);
    auto steps = ready_steps(time);
    const auto begins = time + lead_time();
    options_.order(steps, begins);
    for (const auto& step : steps) {
        const bool is_on_time = lateness_of(*step.job, begins) == lateness::on_time;
        if (!orders_.has_room(is_on_time, fleet_.size(), time)) {
            break;
        }
        if (step.spec().gang) {
            place_gang(step, time);
        } else {
            place_tasks(step, time);
        }
    }
}

bool workflow_state::may_use(const ready_step& step, std::size_t worker, bool& held,
                             time_point time)
{
    const auto* hold = holds_.on_worker(worker);
    held = hold != nullptr && !(hold->job == step.job->spec.id && hold->step == step.step);
    if (!held || step.job->terms.priority < hold->priority) {
        return true;
    }
    return time + scaled(step.spec().estimate, estimate_allowance) <= hold->expected;
}

/// Tells whether a step's tasks may be started on a worker, apart from room and permission.
bool workflow_state::can_run(const ready_step& step, std::size_t worker, time_point time) const
{
    const auto& one = fleet_.at(worker);
    return one.entry.service == step.job->terms.service && one.is_usable(time) &&
           has_label(one.entry, step.spec().label);
}

bool workflow_state::is_permitted(const ready_step& step, std::size_t worker) const
{
    return !step.job->terms.permission || step.record().permission.is_permitted(worker);
}

std::vector<workflow_state::candidate> workflow_state::find_candidates(const ready_step& step,
                                                                       time_point time)
{
    std::vector<candidate> candidates;
    const auto& spec = step.spec();
    const auto& permission = step.record().permission;
    const bool needs_permission = step.job->terms.permission.has_value();
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        if (!can_run(step, worker, time) || !is_permitted(step, worker)) {
            continue;
        }
        const auto& one = fleet_.at(worker);
        candidate found{.worker = worker, .fits = tasks_that_fit(spec.size, one.free())};
        if (spec.most_per_worker > 0 && found.fits > 0) {
            const int there = fleet_.count_of_step(worker, step.job->spec.id, step.step);
            found.fits = std::min(found.fits, spec.most_per_worker - there);
        }
        if (found.fits <= 0 || !may_use(step, worker, found.is_held, time)) {
            continue;
        }
        if (needs_permission) {
            found.ticket = permission.find_ticket(worker, time + ticket_use_margin);
        }
        candidates.push_back(found);
    }
    return candidates;
}

workflow_state::candidate* workflow_state::best_for_task(const ready_step& step,
                                                         std::vector<candidate>& candidates) const
{
    const auto& spec = step.spec();
    const bool needs_ticket = step.job->terms.permission.has_value();
    candidate* best = nullptr;
    std::tuple<bool, bool, std::int64_t> best_cost;
    for (auto& one : candidates) {
        if (one.fits <= 0 || (needs_ticket && one.ticket == nullptr)) {
            continue;
        }
        const auto& worker = fleet_.at(one.worker);
        const bool off_rack =
            !spec.preferred_rack.empty() && worker.entry.rack != spec.preferred_rack;
        const std::tuple cost{one.is_held, off_rack,
                              worker.free().milli_cpus - spec.size.milli_cpus};
        if (best == nullptr || cost < best_cost) {
            best = &one;
            best_cost = cost;
        }
    }
    return best;
}

void workflow_state::place_tasks(const ready_step& step, time_point time)
{
    auto candidates = find_candidates(step, time);
    const auto& spec = step.spec();
    if (!spec.preferred_rack.empty() && is_waiting_for_rack(step, time)) {
        std::erase_if(candidates, [&](const candidate& one) {
            return fleet_.at(one.worker).entry.rack != spec.preferred_rack;
        });
    }
    const auto& tasks = step.record().tasks;
    const int waiting = step.record().waiting();
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        if (tasks[static_cast<std::size_t>(index)].phase != task_phase::waiting) {
            continue;
        }
        auto* best = best_for_task(step, candidates);
        if (best == nullptr) {
            break;
        }
        start_task(step, index, best->worker, next_run(step.record(), index), time);
        --best->fits;
    }
    note_placed(step, waiting - step.record().waiting(), time);
    if (step.record().waiting() > 0) {
        ask_for_more(step, candidates, time);
    }
}

void workflow_state::note_placed(const ready_step& step, int tasks, time_point time)
{
    if (tasks > 0) {
        const auto age = std::chrono::duration_cast<milliseconds>(time - step.job->received);
        if (!step.job->has_begun) {
            actions_.first_starts.push_back({step.job->terms.priority, age});
        }
        note("placed", step.job->spec.id,
             "step " + std::to_string(step.step) + ": " + std::to_string(tasks) + " tasks, " +
                 std::to_string(step.record().waiting()) + " wait, age " +
                 std::to_string(age.count()) + " ms");
    }
}

std::int64_t workflow_state::next_run(const step_record& step, int index) const
{
    const auto base = static_cast<std::int64_t>(options_.epoch - 1) * runs_per_epoch;
    return std::max(base, step.tasks[static_cast<std::size_t>(index)].run) + 1;
}

void workflow_state::start_task(const ready_step& step, int index, std::size_t worker,
                                std::int64_t run, time_point time)
{
    auto& job = *step.job;
    auto& task = step.record().tasks[static_cast<std::size_t>(index)];
    const run_name name{{job.spec.id, step.step, index}, run};
    fleet_.hold(worker, name,
                {.size = step.spec().size, .estimate = step.spec().estimate, .ordered_at = time});
    set_task_phase(job, step.step, index, task_phase::placed);
    task.run = run;
    task.worker = worker;
    const auto* ticket = step.record().permission.find_ticket(worker, time);
    actions_.starts.push_back({.worker = worker,
                               .name = name,
                               .payload = job.spec.payload,
                               .checkpoint = task.checkpoint,
                               .ticket = ticket == nullptr ? "" : ticket->text});
    orders_.note_ordered(name, time);
    ++counts_.starts;
}

} // namespace flamingoseam::workflow
