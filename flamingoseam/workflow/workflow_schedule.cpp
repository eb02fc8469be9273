#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds ticket_use_margin{60};     ///< A start needs this long to arrive.
constexpr milliseconds ticket_answer_margin{100}; ///< The grant was issued before it arrived.
constexpr milliseconds ticket_hold{1'500};        ///< Room is kept while tickets are asked for.
constexpr milliseconds pause_after_failed_request{200};
constexpr milliseconds run_ahead_margin{150};
constexpr double estimate_allowance = 1.25; ///< A task may run that much longer than estimated.
constexpr std::size_t most_workers_asked = 100;
constexpr double least_workers_asked = 16;
constexpr double asked_per_worker_needed = 8;
constexpr std::int64_t runs_per_epoch = 1'000;
constexpr double waits_for_rack = 2.0; ///< Estimates that a step waits for its preferred rack.

milliseconds scaled(milliseconds length, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

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
    options_.order(steps, time);
    for (const auto& step : steps) {
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

std::vector<workflow_state::candidate> workflow_state::find_candidates(const ready_step& step,
                                                                       time_point time)
{
    std::vector<candidate> candidates;
    const auto& spec = step.spec();
    const auto& permission = step.record().permission;
    const bool needs_permission = step.job->terms.permission.has_value();
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& one = fleet_.at(worker);
        if (one.entry.service != step.job->terms.service || !one.is_usable(time) ||
            !has_label(one.entry, spec.label) ||
            (needs_permission && !permission.is_permitted(worker))) {
            continue;
        }
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
    if (!spec.preferred_rack.empty() &&
        time < step.job->received + scaled(spec.estimate, waits_for_rack)) {
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

void workflow_state::ask_for_more(const ready_step& step, const std::vector<candidate>& candidates,
                                  time_point time)
{
    if (!step.job->terms.permission) {
        return;
    }
    std::vector<std::size_t> lapsed;
    for (const auto& one : candidates) {
        if (one.fits > 0 && one.ticket == nullptr) {
            lapsed.push_back(one.worker);
        }
    }
    if (!lapsed.empty()) {
        const auto most = static_cast<std::size_t>(step.record().waiting()) + 2;
        lapsed.resize(std::min(lapsed.size(), most));
        ask_permission(step, std::move(lapsed), time);
        return;
    }
    ask_permission(step, unasked_workers(step, time), time);
}

std::size_t workflow_state::workers_to_ask(const ready_step& step) const
{
    if (fleet_.size() == 0) {
        return 0;
    }
    const auto total = step.spec().size * step.record().waiting();
    const double workers_needed = dominant_share(total, fleet_.at(0).entry.capacity);
    const double wanted = least_workers_asked + asked_per_worker_needed * workers_needed;
    return std::min(most_workers_asked, static_cast<std::size_t>(std::ceil(wanted)));
}

std::vector<std::size_t> workflow_state::unasked_workers(const ready_step& step, time_point time)
{
    const auto& permission = step.record().permission;
    std::vector<std::pair<std::int64_t, std::size_t>> by_room;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& one = fleet_.at(worker);
        if (one.entry.service == step.job->terms.service && one.is_usable(time) &&
            has_label(one.entry, step.spec().label) && !permission.is_known(worker)) {
            by_room.emplace_back(one.free().milli_cpus, worker);
        }
    }
    std::sort(by_room.rbegin(), by_room.rend());
    by_room.resize(std::min(by_room.size(), workers_to_ask(step)));
    std::vector<std::size_t> workers;
    workers.reserve(by_room.size());
    for (const auto& [room, worker] : by_room) {
        workers.push_back(worker);
    }
    return workers;
}

bool workflow_state::ask_permission(const ready_step& step, std::vector<std::size_t> workers,
                                    time_point time)
{
    auto& permission = step.record().permission;
    if (workers.empty() || permission.outstanding != 0 || permission.next_request > time) {
        return false;
    }
    workers.resize(std::min(workers.size(), most_workers_asked));
    const auto& terms = *step.job->terms.permission;
    const auto service = terms.decision + terms.per_worker * static_cast<double>(workers.size());
    permission_request request{.number = ++last_request_,
                               .job = step.job->spec.id,
                               .step = step.step,
                               .priority = step.job->terms.priority,
                               .workers = {},
                               .service_time = std::chrono::ceil<milliseconds>(service)};
    for (const auto worker : workers) {
        request.workers.push_back(fleet_.at(worker).entry.id);
    }
    permission.outstanding = request.number;
    ++counts_.permission_requests;
    requests_.emplace(request.number, request);
    actions_.permissions.push_back(std::move(request));
    return true;
}

void workflow_state::on_permission(std::uint64_t number,
                                   const std::optional<std::vector<ticket_grant>>& grants,
                                   time_point time)
{
    const auto request = requests_.extract(number);
    if (request.empty()) {
        return;
    }
    auto* job = find_job(request.mapped().job);
    if (job == nullptr || is_final(job->phase)) {
        return;
    }
    auto& permission = job->steps[static_cast<std::size_t>(request.mapped().step)].permission;
    permission.outstanding = 0;
    pass_wanted_ = true;
    if (!grants) {
        permission.next_request = time + pause_after_failed_request;
        note("permission_failed", job->spec.id, "step " + std::to_string(request.mapped().step));
        return;
    }
    note("permission_learnt", job->spec.id,
         "step " + std::to_string(request.mapped().step) + ": " + std::to_string(grants->size()) +
             " of " + std::to_string(request.mapped().workers.size()) + " workers");
    std::vector<std::size_t> asked;
    for (const auto& id : request.mapped().workers) {
        asked.push_back(*fleet_.find(id));
    }
    std::map<std::size_t, std::string> granted;
    for (const auto& grant : *grants) {
        if (const auto worker = fleet_.find(grant.worker)) {
            granted.emplace(*worker, grant.ticket);
        }
    }
    permission.learn(asked, granted, time + job->terms.permission->validity - ticket_answer_margin);
}

std::optional<std::vector<workflow_state::place>>
workflow_state::choose_for_gang(const ready_step& step, const std::vector<candidate>& candidates,
                                time_point time) const
{
    const int needed = step.record().waiting();
    const auto& spec = step.spec();
    const auto choose = [&](const auto& is_offered) -> std::optional<std::vector<place>> {
        std::vector<const candidate*> offered;
        for (const auto& one : candidates) {
            if (is_offered(one)) {
                offered.push_back(&one);
            }
        }
        std::sort(offered.begin(), offered.end(), [](const auto* left, const auto* right) {
            return std::tie(left->is_held, right->fits, left->worker) <
                   std::tie(right->is_held, left->fits, right->worker);
        });
        std::vector<place> places;
        int left = needed;
        for (const auto* one : offered) {
            const int tasks = std::min(left, one->fits);
            if (tasks > 0) {
                places.push_back({one->worker, tasks});
                left -= tasks;
            }
        }
        return left == 0 ? std::optional(std::move(places)) : std::nullopt;
    };
    const bool wants_rack = spec.same_rack || !spec.preferred_rack.empty();
    if (!wants_rack) {
        return choose([](const candidate&) { return true; });
    }
    std::set<std::string> racks;
    for (const auto& one : candidates) {
        const auto& rack = fleet_.at(one.worker).entry.rack;
        if (spec.preferred_rack.empty() || spec.preferred_rack == rack) {
            racks.insert(rack);
        }
    }
    for (const auto& rack : racks) {
        auto places =
            choose([&](const candidate& one) { return fleet_.at(one.worker).entry.rack == rack; });
        if (places) {
            return places;
        }
    }
    if (time < step.job->received + scaled(spec.estimate, waits_for_rack)) {
        return std::nullopt;
    }
    return choose([](const candidate&) { return true; });
}

void workflow_state::place_gang(const ready_step& step, time_point time)
{
    auto candidates = find_candidates(step, time);
    const bool needs_ticket = step.job->terms.permission.has_value();
    auto with_ticket = candidates;
    if (needs_ticket) {
        std::erase_if(with_ticket, [](const candidate& one) { return one.ticket == nullptr; });
    }
    if (const auto places = choose_for_gang(step, with_ticket, time)) {
        start_gang(step, *places, time);
        return;
    }
    if (!needs_ticket) {
        hold_for_gang(step, time);
        return;
    }
    if (const auto places = choose_for_gang(step, candidates, time)) {
        std::vector<std::size_t> lapsed;
        gang_hold hold{.job = step.job->spec.id,
                       .step = step.step,
                       .priority = step.job->terms.priority,
                       .workers = {},
                       .expected = time + ticket_hold,
                       .expires = time + ticket_hold};
        for (const auto& place : *places) {
            hold.workers.insert(place.worker);
            if (step.record().permission.find_ticket(place.worker, time + ticket_use_margin) ==
                nullptr) {
                lapsed.push_back(place.worker);
            }
        }
        if (ask_permission(step, std::move(lapsed), time)) {
            holds_.drop(hold.job, hold.step);
            holds_.add(std::move(hold));
        }
        return;
    }
    hold_for_gang(step, time);
    ask_permission(step, unasked_workers(step, time), time);
}

void workflow_state::hold_for_gang(const ready_step& step, time_point time)
{
    const auto* hold = holds_.of_step(step.job->spec.id, step.step);
    const auto& permission = step.record().permission;
    const bool needs_permission = step.job->terms.permission.has_value();
    if (hold == nullptr) {
        if (holds_.is_full()) {
            return;
        }
        auto planned = plan_hold(step, time);
        if (!planned) {
            return;
        }
        holds_.add(std::move(*planned));
        hold = holds_.of_step(step.job->spec.id, step.step);
    }
    if (!needs_permission) {
        make_room(step, *hold, time);
        return;
    }
    std::vector<std::size_t> lapsed;
    for (const auto worker : hold->workers) {
        if (permission.find_ticket(worker, hold->expected + ticket_use_margin) == nullptr) {
            lapsed.push_back(worker);
        }
    }
    const auto& terms = *step.job->terms.permission;
    const auto service = std::chrono::ceil<milliseconds>(
        terms.decision + terms.per_worker * static_cast<double>(lapsed.size()));
    if (lapsed.empty()) {
        make_room(step, *hold, time);
    } else if (hold->expected <= time + service + run_ahead_margin) {
        ask_permission(step, std::move(lapsed), time);
    }
}

void workflow_state::start_gang(const ready_step& step, const std::vector<place>& places,
                                time_point time)
{
    auto& record = step.record();
    std::int64_t run = 0;
    for (int index = 0; index < static_cast<int>(record.tasks.size()); ++index) {
        run = std::max(run, next_run(record, index));
    }
    record.gang_run = run;
    int index = 0;
    for (const auto& place : places) {
        for (int count = 0; count < place.tasks; ++count) {
            start_task(step, index++, place.worker, run, time);
        }
    }
    note_placed(step, index, time);
    holds_.drop(step.job->spec.id, step.step);
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
    ++counts_.starts;
}

} // namespace flamingoseam::workflow
