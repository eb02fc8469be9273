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
/// How long a gang that needs permission waits until it may claim room, and how long it keeps the
/// claim: long enough for the runs on its workers to end and for two permission calls.
constexpr milliseconds min_wait_to_claim{5'000};
constexpr milliseconds claim_length{8'000};
constexpr milliseconds claim_search_interval{100};
/// Workers are held for a gang only if it is expected to have room on them within this time.
constexpr milliseconds max_hold{3'000};
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
    const bool has_claim = take_claim(step, time);
    if (const auto allocations = choose_for_gang(step, candidates, time)) {
        renew_for_gang(step, *allocations, candidates, time);
        return;
    }
    if (has_claim && !is_service_idle(step)) {
        hold_permitted_workers(step, time);
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
    std::vector<std::size_t> without_ticket;
    for (const auto worker : reservation.workers) {
        if (step.record().permission.find_ticket(worker, needed) == nullptr) {
            without_ticket.push_back(worker);
        }
    }
    reservation.expected =
        time + (has_claim(step) ? service_time + max_answer_delay : ticket_reservation_time);
    reservation.expires = reservation.expected;
    if (request_permission(step, std::move(without_ticket), time)) {
        gang_reservations_.drop(reservation.job, reservation.step);
        gang_reservations_.add(std::move(reservation));
    }
}

bool workflow_state::has_claim(const ready_step& step) const
{
    const auto claim = claims_.find(step.job->terms.service);
    return claim != claims_.end() && claim->second.job == step.job->spec.id &&
           claim->second.step == step.step;
}

/// Checks whether a gang has the claim of its service, which is given to another one if it is free.
bool workflow_state::take_claim(const ready_step& step, time_point time)
{
    const auto& service = step.job->terms.service;
    if (const auto claim = claims_.find(service); claim != claims_.end()) {
        auto* job = find_job(claim->second.job);
        const bool is_open = job != nullptr && ready_.contains(*job, claim->second.step);
        if (is_open && time < claim->second.until) {
            return has_claim(step);
        }
        end_claim(service, time);
    }
    if (!is_service_idle(step) && time >= next_claim_search_[service]) {
        next_claim_search_[service] = time + claim_search_interval;
        give_claim(service, time);
    }
    return has_claim(step);
}

/// Checks whether a gang may get the claim of its service: it is too late to be of use, has waited
/// for long and fits on the workers that are known to be permitted.
bool workflow_state::may_claim(const ready_step& step, time_point time)
{
    const auto& record = step.record();
    return step.spec().gang && step.job->terms.permission &&
           lateness_of(*step.job, time) == lateness::obsolete &&
           record.waits_since != time_point{} &&
           time - std::max(record.waits_since, record.claim_ended) >= min_wait_to_claim &&
           permitted_capacity(step, time).when_empty >= record.waiting();
}

/// Gives the claim of a service to the gang that has waited the longest, while work on time waits,
/// which else takes the call slots and the free capacity before all late gangs. Complexity: linear
/// in the waiting steps, and in the permitted workers for some of them.
void workflow_state::give_claim(const std::string& service, time_point time)
{
    std::optional<ready_step> longest;
    const auto most_urgent = ready_.in_order().begin();
    if (most_urgent == ready_.in_order().end() || most_urgent->rank.late != lateness::on_time) {
        return; // No work on time waits, which would go before the gang.
    }
    for (const auto& entry : ready_.in_order()) {
        const auto& step = entry.step;
        const bool is_longer =
            !longest || step.record().waits_since < longest->record().waits_since;
        if (step.job->terms.service == service && is_longer && may_claim(step, time)) {
            longest = step;
        }
    }
    if (longest) {
        claims_[service] = {
            .job = longest->job->spec.id, .step = longest->step, .until = time + claim_length};
    }
}

void workflow_state::end_claim(const std::string& service, time_point time)
{
    const auto claim = claims_.extract(service);
    gang_reservations_.drop(claim.mapped().job, claim.mapped().step);
    auto* job = find_job(claim.mapped().job);
    if (job != nullptr && !is_final(job->phase)) {
        job->steps[static_cast<std::size_t>(claim.mapped().step)].claim_ended = time;
    }
}

/// Holds the permitted workers on which a gang with a claim is expected to fit soonest.
void workflow_state::hold_permitted_workers(const ready_step& step, time_point time)
{
    auto& record = step.record();
    if (gang_reservations_.of_step(step.job->spec.id, step.step) != nullptr ||
        record.next_reservation_attempt > time) {
        return;
    }
    auto planned = plan_reservation(step, time);
    if (!planned || planned->expected > time + max_hold || planned->needs_preemption) {
        record.next_reservation_attempt = time + search_pause();
        return;
    }
    planned->is_firm = true;
    gang_reservations_.add(std::move(*planned));
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
