#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace flamingoseam::workflow {

using detail::ticket_use_margin;

namespace {

/// Length of a reservation while tickets are requested, for a gang without a claim.
constexpr milliseconds ticket_reservation_time{1'500};
/// Time beyond its service time until a request for tickets is answered; a reservation meanwhile
/// expires after this if no answer arrives.
constexpr milliseconds max_answer_delay{1'000};
/// How many more workers than a gang needs are asked about, for each needed one: others may take
/// part of the room meanwhile.
constexpr double spare_workers = 0.2;
/// Time from the expected start of a gang until a firm reservation expires. Runs often take longer
/// than estimated.
constexpr milliseconds firm_expiry_grace{8'000};

} // namespace

/// Returns how many tasks of a gang to start on which candidates, all of them in one rack if that
/// is not null, or none if the gang does not fit.
std::optional<std::vector<workflow_state::task_allocation>>
workflow_state::allocate_gang(const ready_step& step, const std::vector<candidate>& candidates,
                              const std::string* rack) const
{
    std::vector<const candidate*> offered;
    for (const auto& option : candidates) {
        if (rack == nullptr || fleet_.at(option.worker).entry.rack == *rack) {
            offered.push_back(&option);
        }
    }
    std::sort(offered.begin(), offered.end(), [](const auto* left, const auto* right) {
        return std::tie(left->is_reserved, right->fits, left->worker) <
               std::tie(right->is_reserved, left->fits, right->worker);
    });
    std::vector<task_allocation> allocations;
    int remaining = step.record().waiting();
    for (const auto* option : offered) {
        const int tasks = std::min(remaining, option->fits);
        if (tasks > 0) {
            allocations.push_back({option->worker, tasks});
            remaining -= tasks;
        }
    }
    return remaining == 0 ? std::optional(std::move(allocations)) : std::nullopt;
}

/// Allocates a gang to the first single rack in which it fits.
std::optional<std::vector<workflow_state::task_allocation>>
workflow_state::allocate_gang_to_any_rack(const ready_step& step,
                                          const std::vector<candidate>& candidates) const
{
    std::set<std::string> racks;
    for (const auto& option : candidates) {
        racks.insert(fleet_.at(option.worker).entry.rack);
    }
    for (const auto& rack : racks) {
        if (auto allocations = allocate_gang(step, candidates, &rack)) {
            return allocations;
        }
    }
    return std::nullopt;
}

std::optional<std::vector<workflow_state::task_allocation>>
workflow_state::choose_for_gang(const ready_step& step, const std::vector<candidate>& candidates,
                                time_point time)
{
    const auto& spec = step.spec();
    if (!spec.preferred_rack.empty()) {
        if (auto allocations = allocate_gang(step, candidates, &spec.preferred_rack)) {
            return allocations;
        }
    }
    const bool waits_for_preferred_rack =
        !spec.preferred_rack.empty() && is_waiting_for_rack(step, time);
    if (spec.same_rack && !waits_for_preferred_rack) {
        if (auto allocations = allocate_gang_to_any_rack(step, candidates)) {
            return allocations;
        }
    }
    if (is_waiting_for_rack(step, time)) {
        return std::nullopt;
    }
    return allocate_gang(step, candidates, nullptr);
}

void workflow_state::place_gang(const ready_step& step, time_point time)
{
    auto candidates = find_candidates(step, time);
    const bool needs_ticket = step.job->terms.permission.has_value();
    auto with_ticket = candidates;
    if (needs_ticket) {
        std::erase_if(with_ticket,
                      [](const candidate& option) { return option.ticket == nullptr; });
    }
    if (const auto allocations = choose_for_gang(step, with_ticket, time)) {
        start_gang(step, *allocations, time);
        return;
    }
    if (!needs_ticket) {
        reserve_for_gang(step, time);
        return;
    }
    place_gang_with_tickets(step, candidates, time);
}

/// Requests what a gang lacks that can't start with its present tickets: tickets for the free
/// capacity on permitted workers if it suffices, else capacity and further permitted workers.
void workflow_state::place_gang_with_tickets(const ready_step& step,
                                             const std::vector<candidate>& candidates,
                                             time_point time)
{
    if (const auto allocations = choose_for_gang(step, candidates, time)) {
        renew_for_gang(step, *allocations, candidates, time);
        return;
    }
    if (has_claim(step) && is_service_busy(step)) {
        hold_permitted_workers(step, time);
        request_tickets_for_hold(step, time);
    }
    request_for_unknown_workers(step, time);
}

/// Adds a few other candidates to a reservation, since others may take part of the room.
void workflow_state::add_spare_workers(gang_reservation& reservation,
                                       const std::vector<candidate>& candidates)
{
    const auto needed = static_cast<double>(reservation.workers.size());
    const auto wanted = static_cast<std::size_t>(std::ceil((1 + spare_workers) * needed));
    for (const auto& option : candidates) {
        if (reservation.workers.size() < wanted && !option.is_reserved) {
            reservation.workers.insert(option.worker);
        }
    }
}

/// Returns the reserved workers for which a step has no ticket that is valid until `needed`.
std::vector<std::size_t> workflow_state::workers_without_ticket(const ready_step& step,
                                                                const gang_reservation& reservation,
                                                                time_point needed)
{
    std::vector<std::size_t> workers;
    for (const auto worker : reservation.workers) {
        if (step.record().permission.find_ticket(worker, needed) == nullptr) {
            workers.push_back(worker);
        }
    }
    return workers;
}

/// Requests tickets for the workers to which a gang is allocated and for a few other candidates,
/// and reserves all of them until the answer.
void workflow_state::renew_for_gang(const ready_step& step,
                                    const std::vector<task_allocation>& allocations,
                                    const std::vector<candidate>& candidates, time_point time)
{
    gang_reservation reservation{
        .job = step.job->spec.id, .step = step.step, .priority = step.job->terms.priority};
    for (const auto& allocation : allocations) {
        reservation.workers.insert(allocation.worker);
    }
    if (has_claim(step)) {
        add_spare_workers(reservation, candidates);
    }
    const auto service_time = step.job->terms.permission->service_time(reservation.workers.size());
    const auto needed = time + service_time + ticket_use_margin;
    auto without_ticket = workers_without_ticket(step, reservation, needed);
    reservation.expected =
        time + (has_claim(step) ? service_time + max_answer_delay : ticket_reservation_time);
    reservation.expires = reservation.expected;
    if (request_permission(step, std::move(without_ticket), time)) {
        gang_reservations_.drop(reservation.job, reservation.step);
        gang_reservations_.add(std::move(reservation));
    }
}

/// Reserves the workers on which a gang is expected to fit soonest. Only for gangs that need no
/// permission: one that does may not run on most workers and needs tickets that expire soon, so
/// that workers are held only for those with a claim.
void workflow_state::reserve_for_gang(const ready_step& step, time_point time)
{
    const auto* reservation = gang_reservations_.of_step(step.job->spec.id, step.step);
    if (reservation == nullptr) {
        if (gang_reservations_.is_full(fleet_.size())) {
            return;
        }
        auto& record = step.record();
        if (record.next_reservation_attempt > time) {
            return;
        }
        auto planned = plan_reservation(step, time);
        if (!planned) {
            record.next_reservation_attempt = time + search_pause();
            return;
        }
        if (record.reservation_expired) {
            planned->is_firm = true;
            planned->expires = planned->expected + firm_expiry_grace;
        }
        gang_reservations_.add(std::move(*planned));
        reservation = gang_reservations_.of_step(step.job->spec.id, step.step);
    }
    preempt_runs(step, *reservation, time);
}

void workflow_state::drop_reservations(const job_record& job)
{
    for (int step = 0; step < static_cast<int>(job.steps.size()); ++step) {
        gang_reservations_.drop(job.spec.id, step);
    }
}

/// Drops the reservations that have expired. The next one of the same gang is firm: the estimates
/// from which the first was planned did not hold.
void workflow_state::drop_expired_reservations(time_point time)
{
    for (const auto& expired : gang_reservations_.drop_expired(time)) {
        if (auto* job = find_job(expired.job); job != nullptr && !is_final(job->phase)) {
            job->steps[static_cast<std::size_t>(expired.step)].reservation_expired = true;
        }
    }
}

void workflow_state::start_gang(const ready_step& step,
                                const std::vector<task_allocation>& allocations, time_point time)
{
    auto& record = step.record();
    std::int64_t run = 0;
    for (int index = 0; index < static_cast<int>(record.tasks.size()); ++index) {
        run = std::max(run, next_run(record, index));
    }
    record.gang_run = run;
    int index = 0;
    for (const auto& allocation : allocations) {
        for (int count = 0; count < allocation.tasks; ++count) {
            start_task(step, index++, allocation.worker, run, placement::shared, time);
        }
    }
    record_placed(step, index, time);
    gang_reservations_.drop(step.job->spec.id, step.step);
}

} // namespace flamingoseam::workflow
