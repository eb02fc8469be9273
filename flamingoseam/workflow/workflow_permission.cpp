#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

using detail::max_workers_per_request;

namespace {

/// Time since a grant was issued when it arrives.
constexpr milliseconds ticket_answer_margin{100};
constexpr milliseconds pause_after_failed_request{200};
/// Above the time beyond its service time that a request waits for a call slot and is repeated by
/// the connection.
constexpr milliseconds max_request_overhead{10'000};

} // namespace

/// Checks whether a step may send a permission request now. A step has at most one request in
/// flight and needs a call slot for it.
bool workflow_state::may_request_permission(const ready_step& step, time_point time)
{
    const auto& permission = step.record().permission;
    const auto& terms = step.job->terms;
    if (!terms.permission || permission.outstanding != 0 || permission.next_request > time) {
        return false;
    }
    return has_call_slot(step, terms.permission->service_time(1), time);
}

/// Checks whether a step may make a call with this service time to the permission service. If it
/// may not, the queue is recorded as in need of its share only while the step has no answer at all.
bool workflow_state::has_call_slot(const ready_step& step, milliseconds service_time,
                                   time_point time)
{
    const auto& queue = step.job->terms.name;
    const int priority = step.job->terms.priority;
    if (!permission_budget::is_long(service_time) || has_claim(step)) {
        return true;
    }
    if (places_overdue_steps_) {
        return overdue_calls_.may_use(time);
    }
    const auto call_slots = permission_budget_.call_slots_for_long_calls(time);
    const bool has_share = permission_shares_.may_begin(queue, priority, call_slots, time);
    if (has_share && permission_budget_.has_call_slot(service_time, time)) {
        return true;
    }
    step.record().call_refused_at = time;
    ++load_of(*step.job).call_slot_refusals;
    if (!step.record().permission.has_answer()) {
        permission_shares_.record_refused(queue, time);
    }
    return false;
}

/// Records that a call has begun and occupies a call slot.
void workflow_state::begin_call(const permission_request& request, time_point time)
{
    permission_budget_.begin(request.service_time, time);
    if (permission_budget::is_long(request.service_time)) {
        permission_shares_.begin(request.queue);
    }
}

void workflow_state::end_call(const permission_request& request)
{
    permission_budget_.end(request.service_time);
    if (permission_budget::is_long(request.service_time)) {
        permission_shares_.end(request.queue);
    }
}

void workflow_state::request_more_permissions(const ready_step& step,
                                              const std::vector<candidate>& candidates,
                                              time_point time)
{
    if (!may_request_permission(step, time)) {
        return;
    }
    std::vector<std::size_t> without_ticket;
    for (const auto& option : candidates) {
        if (option.fits > 0 && option.ticket == nullptr) {
            without_ticket.push_back(option.worker);
        }
    }
    if (!without_ticket.empty()) {
        const auto max_workers = static_cast<std::size_t>(step.record().waiting()) + 2;
        without_ticket.resize(std::min(without_ticket.size(), max_workers));
        const bool is_requested = request_permission(step, std::move(without_ticket), time);
        counts_.repeated_permission_requests += is_requested ? 1 : 0;
        return;
    }
    request_for_unknown_workers(step, time);
}

bool workflow_state::request_permission(const ready_step& step, std::vector<std::size_t> workers,
                                        time_point time)
{
    if (workers.empty() || !may_request_permission(step, time)) {
        return false;
    }
    workers.resize(std::min(workers.size(), max_workers_per_request));
    const auto service_time = step.job->terms.permission->service_time(workers.size());
    if (!has_call_slot(step, service_time, time)) {
        return false;
    }
    auto& permission = step.record().permission;
    ++permission.calls;
    auto& load = load_of(*step.job);
    ++load.permission_calls;
    load.permission_service += service_time;
    load.repeated_calls += permission.is_permitted(workers.front()) ? 1 : 0;
    permission_request request{.number = ++last_request_,
                               .job = step.job->spec.id,
                               .step = step.step,
                               .queue = step.job->terms.name,
                               .order = request_urgency(step),
                               .workers = {},
                               .service_time = service_time,
                               .asked = time};
    for (const auto worker : workers) {
        request.workers.push_back(fleet_.at(worker).entry.id);
    }
    if (places_overdue_steps_ && permission_budget::is_long(service_time)) {
        record_overdue_call(service_time, time);
    }
    begin_call(request, time);
    permission.outstanding = request.number;
    ++counts_.permission_requests;
    requests_.emplace(request.number, request);
    actions_.permissions.push_back(std::move(request));
    return true;
}

/// Withdraws the requests of jobs that have ended and of steps without waiting tasks.
void workflow_state::withdraw_requests()
{
    std::erase_if(requests_, [this](const auto& entry) {
        const auto& request = entry.second;
        auto* job = find_job(request.job);
        const bool is_open = job != nullptr && !is_final(job->phase);
        auto* step = is_open ? &job->steps[static_cast<std::size_t>(request.step)] : nullptr;
        if (step != nullptr && step->waiting() > 0) {
            return false;
        }
        if (step != nullptr) {
            step->permission.outstanding = 0;
        }
        end_call(request);
        actions_.withdrawn_permissions.push_back(request.number);
        return true;
    });
}

/// Ends the requests that should have been answered by now as failed, so that no step depends on an
/// answer that may be lost.
void workflow_state::end_overdue_requests(time_point time)
{
    std::vector<std::uint64_t> overdue;
    for (const auto& [number, request] : requests_) {
        if (time - request.asked >= request.service_time + max_request_overhead) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        actions_.withdrawn_permissions.push_back(number);
        on_permission(number, std::nullopt, time);
    }
}

void workflow_state::on_permission(std::uint64_t number,
                                   const std::optional<std::vector<ticket_grant>>& grants,
                                   time_point time)
{
    const auto request = requests_.extract(number);
    if (request.empty()) {
        return;
    }
    end_call(request.mapped());
    pass_requested_ = true;
    auto* job = find_job(request.mapped().job);
    if (job == nullptr || is_final(job->phase)) {
        return;
    }
    auto& permission = job->steps[static_cast<std::size_t>(request.mapped().step)].permission;
    permission.outstanding = 0;
    const auto age =
        std::chrono::duration_cast<milliseconds>(time - request.mapped().asked).count();
    if (!job->terms.permission) {
        return; // The queue has stopped to need permission.
    }
    if (!grants) {
        permission.next_request = time + pause_after_failed_request;
        log_decision("permission_failed", job->spec.id,
                     "step " + std::to_string(request.mapped().step), {{"request_age_ms", age}});
        return;
    }
    log_decision("permission_learnt", job->spec.id,
                 "step " + std::to_string(request.mapped().step) + ": " +
                     std::to_string(grants->size()) + " of " +
                     std::to_string(request.mapped().workers.size()) + " workers",
                 {{"request_age_ms", age}});
    // An answer is about the incarnations that the workers had when the request was made.
    const auto has_restarted = [&](std::size_t worker) {
        return fleet_.at(worker).incarnation_since > request.mapped().asked;
    };
    std::vector<std::size_t> asked;
    for (const auto& id : request.mapped().workers) {
        const auto worker = *fleet_.find(id);
        if (!has_restarted(worker)) {
            asked.push_back(worker);
        }
    }
    std::map<std::size_t, std::string> granted;
    for (const auto& grant : *grants) {
        const auto worker = fleet_.find(grant.worker);
        if (worker && !has_restarted(*worker)) {
            granted.emplace(*worker, grant.ticket);
        }
    }
    permission.record_answer(asked, granted,
                             time + job->terms.permission->validity - ticket_answer_margin);
}

} // namespace flamingoseam::workflow
