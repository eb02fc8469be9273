#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <functional>
#include <queue>

namespace flamingoseam::workflow {

using detail::max_wait_beside_idle;
using detail::ticket_use_margin;

namespace {

/// How long before a gang can start idle workers may be held for it while much of the service is
/// idle.
constexpr milliseconds max_idle_hold{2'000};
/// From this share of its processors in use on, a service does not count as idle.
constexpr double busy_share = 0.5;
constexpr double estimate_allowance = 1.25; ///< Factor by which a run may exceed its estimate.
constexpr std::int64_t runs_per_epoch = 1'000;
/// Limits on the number of steps and workers that one pass examines, for each worker of the fleet:
/// first for the most urgent steps, then for the others.
constexpr std::int64_t urgent_examined_per_worker = 4;
constexpr std::int64_t other_examined_per_worker = 2;
constexpr std::int64_t min_examined = 500; ///< Lower limit for each of the two, for small fleets.

} // namespace

/// Places some of the overdue steps, then the most urgent steps, then continues with the others
/// from where the last pass ended. The cost of a pass thus does not depend on the length of the
/// backlog, and every step is examined in some pass. Returns whether the last step was reached.
bool workflow_state::schedule(time_point time)
{
    drop_expired_reservations(time);
    ++counts_.passes;
    const auto expected_start = time + lead_time();
    ready_.refresh(expected_start);
    const auto& steps = ready_.in_order();
    waiting_steps_ = steps.size();
    if (steps.empty()) {
        return true;
    }
    free_capacity_.rebuild(fleet_, time);
    update_claims(time);
    const auto workers = static_cast<std::int64_t>(fleet_.size());
    counts_.examined += workers;
    place_overdue_steps(time);
    auto next = steps.begin();
    const auto place_until = [&](std::int64_t max_examined) {
        const auto limit = counts_.examined + std::max(min_examined, max_examined);
        while (next != steps.end() && counts_.examined < limit) {
            const bool is_on_time = next->rank.late == lateness::on_time;
            if (!orders_.has_capacity(is_on_time, fleet_.size(), time)) {
                return;
            }
            place_step(next->step, time);
            ++next;
        }
    };
    place_until(urgent_examined_per_worker * workers);
    if (resume_at_ && next != steps.end() && *next < *resume_at_) {
        next = steps.lower_bound(*resume_at_);
    }
    place_until(other_examined_per_worker * workers);
    resume_at_ = next == steps.end() ? std::nullopt : std::optional(*next);
    return next == steps.end();
}

void workflow_state::place_step(const ready_step& step, time_point time)
{
    ++counts_.examined;
    auto& record = step.record();
    if (record.waiting() == 0) {
        return; // It was placed in this pass before its turn in the order.
    }
    record.examined_at = time;
    if (record.turn_since == time_point{}) {
        record.turn_since = time;
    }
    begin_wait(step, time);
    if (record.not_before > time || !can_progress(step, time)) {
        return;
    }
    if (step.spec().gang) {
        place_gang(step, time);
    } else {
        place_tasks(step, time);
    }
    if (record.waiting() == 0) {
        end_wait(step, time);
    }
}

/// Checks whether a step can start tasks or send a request. A step without a ticket whose request
/// is in flight can do neither.
bool workflow_state::can_progress(const ready_step& step, time_point time) const
{
    const auto& permission = step.record().permission;
    if (!step.job->terms.permission || permission.outstanding == 0) {
        return true;
    }
    return step.spec().gang ? !permission.permitted().empty()
                            : permission.has_ticket(time + ticket_use_margin);
}

/// Checks whether less than half of the processors of a step's service are in use.
bool workflow_state::is_service_idle(const ready_step& step) const
{
    const auto pool = fleet_.find_pool(step.job->terms.service);
    return !pool || free_capacity_.used_share(*pool) < busy_share;
}

/// Checks whether a step may use a worker that may be reserved for a gang of another job. While
/// much of the service is idle, a reservation does not hold long before the gang can start.
bool workflow_state::may_use(const ready_step& step, std::size_t worker, bool& is_reserved,
                             time_point time)
{
    const auto* reservation = gang_reservations_.on_worker(worker);
    is_reserved = reservation != nullptr &&
                  !(reservation->job == step.job->spec.id && reservation->step == step.step);
    if (!is_reserved || step.job->terms.priority < reservation->priority) {
        return true;
    }
    const bool holds_for_long = reservation->expected - time > max_idle_hold;
    const bool has_waited = time - step.record().waits_since >= max_wait_beside_idle;
    if (holds_for_long && has_waited && is_service_idle(step)) {
        return true;
    }
    return !reservation->is_firm &&
           time + scaled(step.spec().estimate, estimate_allowance) <= reservation->expected;
}

/// Checks whether tasks of a step may run on a worker, without regard to free capacity and
/// permission.
bool workflow_state::can_run(const ready_step& step, std::size_t worker, time_point time) const
{
    const auto& worker_state = fleet_.at(worker);
    return worker_state.entry.service == step.job->terms.service && worker_state.is_usable(time) &&
           has_label(worker_state.entry, step.spec().label);
}

bool workflow_state::is_permitted(const ready_step& step, std::size_t worker) const
{
    return !step.job->terms.permission || step.record().permission.is_permitted(worker);
}

std::vector<workflow_state::candidate> workflow_state::find_candidates(const ready_step& step,
                                                                       time_point time)
{
    std::vector<candidate> candidates;
    const auto pool = fleet_.find_pool(step.job->terms.service);
    if (!pool || !free_capacity_.may_fit(*pool, step.spec().size)) {
        return candidates;
    }
    const auto add = [&](const free_capacity_index::worker_capacity& capacity) {
        if (auto found = find_candidate(step, capacity, time)) {
            candidates.push_back(*found);
        }
    };
    if (!step.job->terms.permission) {
        for (const auto& capacity : free_capacity_.capacities_of(*pool)) {
            add(capacity);
        }
        counts_.examined += static_cast<std::int64_t>(free_capacity_.capacities_of(*pool).size());
        return candidates;
    }
    const auto& permitted = step.record().permission.permitted();
    for (const auto& ticket : permitted) {
        if (const auto* capacity = free_capacity_.find(*pool, ticket.worker)) {
            add(*capacity);
        }
    }
    counts_.examined += static_cast<std::int64_t>(permitted.size());
    return candidates;
}

/// Returns a usable worker of the pool as a candidate, with the number of tasks of the step that it
/// can run, or none if it can't run any.
std::optional<workflow_state::candidate> workflow_state::find_candidate(
    const ready_step& step, const free_capacity_index::worker_capacity& capacity, time_point time)
{
    const auto& spec = step.spec();
    candidate found{.worker = capacity.worker, .fits = tasks_that_fit(spec.size, capacity.free)};
    if (found.fits <= 0 || !has_label(fleet_.at(capacity.worker).entry, spec.label)) {
        return std::nullopt;
    }
    if (spec.max_per_worker > 0) {
        const int already_placed =
            fleet_.count_of_step(capacity.worker, step.job->spec.id, step.step);
        found.fits = std::min(found.fits, spec.max_per_worker - already_placed);
    }
    if (found.fits <= 0 || !may_use(step, capacity.worker, found.is_reserved, time)) {
        return std::nullopt;
    }
    if (step.job->terms.permission) {
        found.ticket =
            step.record().permission.find_ticket(capacity.worker, time + ticket_use_margin);
    }
    return found;
}

workflow_state::task_cost workflow_state::cost_of(const ready_step& step,
                                                  const candidate& option) const
{
    const auto& spec = step.spec();
    const auto& worker = fleet_.at(option.worker);
    const bool off_rack = !spec.preferred_rack.empty() && worker.entry.rack != spec.preferred_rack;
    return {option.is_reserved, off_rack, worker.free().milli_cpus - spec.size.milli_cpus,
            option.worker};
}

void workflow_state::place_tasks(const ready_step& step, time_point time)
{
    auto candidates = find_candidates(step, time);
    std::vector<candidate> elsewhere;
    const auto wait_left = rack_wait_left(step, time);
    if (wait_left > time_point::duration::zero()) {
        elsewhere = take_other_racks(step, candidates);
    }
    const int waiting = step.record().waiting();
    start_suspects(step, candidates, time);
    start_on_best(step, candidates, time);
    record_placed(step, waiting - step.record().waiting(), time);
    if (step.record().waiting() > 0) {
        if (is_rack_wait_ending(step, wait_left)) {
            candidates.insert(candidates.end(), elsewhere.begin(), elsewhere.end());
        }
        request_more_permissions(step, candidates, time);
    }
}

/// Starts as many tasks as the candidates have free capacity for, each on the candidate with the
/// lowest cost. Complexity: n log n.
void workflow_state::start_on_best(const ready_step& step, std::vector<candidate>& candidates,
                                   time_point time)
{
    const bool needs_ticket = step.job->terms.permission.has_value();
    using choice = std::pair<task_cost, candidate*>;
    std::vector<choice> choices;
    for (auto& option : candidates) {
        if (option.fits > 0 && (!needs_ticket || option.ticket != nullptr)) {
            choices.emplace_back(cost_of(step, option), &option);
        }
    }
    std::priority_queue best(std::greater<>(), std::move(choices));
    const auto& tasks = step.record().tasks;
    for (int index = 0; index < static_cast<int>(tasks.size()) && !best.empty(); ++index) {
        const auto& task = tasks[static_cast<std::size_t>(index)];
        if (task.phase != task_phase::waiting || time < task.isolate_until) {
            continue;
        }
        auto* option = best.top().second;
        best.pop();
        start_task(step, index, option->worker, next_run(step.record(), index), placement::shared,
                   time);
        if (--option->fits > 0) {
            best.emplace(cost_of(step, *option), option);
        }
    }
}

void workflow_state::record_placed(const ready_step& step, int tasks, time_point time)
{
    if (tasks > 0) {
        report_late_start(step, tasks, time);
        const auto age = std::chrono::duration_cast<milliseconds>(time - step.job->received);
        if (!step.job->has_begun) {
            actions_.first_starts.push_back({step.job->terms.priority, age});
        }
        const auto list_age = std::chrono::duration_cast<milliseconds>(worker_list_age(time));
        std::vector<log_field> fields{{"worker_list_ms", list_age.count()},
                                      {"first_run", actions_.starts.end()[-tasks].name.run}};
        if (const auto left = shortest_ticket(step, tasks, time)) {
            fields.push_back({"ticket_left_ms", left->count()});
            fields.push_back({"permission_calls", step.record().permission.calls});
        }
        log_decision("placed", step.job->spec.id,
                     "step " + std::to_string(step.step) + ": " + std::to_string(tasks) +
                         " tasks, " + std::to_string(step.record().waiting()) + " wait, age " +
                         std::to_string(age.count()) + " ms",
                     std::move(fields));
    }
}

/// Returns the shortest remaining validity of the tickets of the last `tasks` placed tasks, or none
/// if they have no tickets.
std::optional<milliseconds> workflow_state::shortest_ticket(const ready_step& step, int tasks,
                                                            time_point time) const
{
    std::optional<milliseconds> shortest;
    for (auto start = actions_.starts.end() - tasks; start != actions_.starts.end(); ++start) {
        if (const auto* ticket = step.record().permission.find_ticket(start->worker, time)) {
            const auto left = std::chrono::duration_cast<milliseconds>(ticket->valid_until - time);
            shortest = shortest ? std::min(*shortest, left) : left;
        }
    }
    return shortest;
}

std::int64_t workflow_state::next_run(const step_record& step, int index) const
{
    const auto base = static_cast<std::int64_t>(options_.epoch - 1) * runs_per_epoch;
    return std::max(base, step.tasks[static_cast<std::size_t>(index)].run) + 1;
}

void workflow_state::start_task(const ready_step& step, int index, std::size_t worker,
                                std::int64_t run, placement use, time_point time)
{
    auto& job = *step.job;
    auto& task = step.record().tasks[static_cast<std::size_t>(index)];
    const run_name name{{job.spec.id, step.step, index}, run};
    const bool is_isolated = use == placement::isolated;
    free_capacity_.reserve(worker, is_isolated ? fleet_.at(worker).free() : step.spec().size);
    fleet_.assign(worker, name,
                  {.size = step.spec().size,
                   .shares_worker = !is_isolated,
                   .estimate = step.spec().estimate,
                   .ordered_at = time});
    set_task_phase(job, step.step, index, task_phase::placed);
    task.run = run;
    task.worker = worker;
    const auto* ticket = step.record().permission.find_ticket(worker, time);
    actions_.starts.push_back({.worker = worker,
                               .name = name,
                               .payload = job.spec.payload,
                               .checkpoint = task.checkpoint,
                               .ticket = ticket == nullptr ? "" : ticket->text});
    orders_.record_sent(name, time);
    ++counts_.starts;
    ++load_of(job).starts;
}

} // namespace flamingoseam::workflow
