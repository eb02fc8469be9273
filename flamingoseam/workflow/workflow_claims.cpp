#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

using detail::ticket_use_margin;

namespace {

/// How long a late gang waits until it may claim room if its result can still be of use, and if
/// not.
constexpr milliseconds min_wait_to_claim{1'000};
constexpr milliseconds min_obsolete_wait_to_claim{5'000};
/// Maximum number of claims of a service, of late gangs whose results can be of use and of others.
/// Part of the room that is held for a gang stands idle until the last of its workers is free.
constexpr std::size_t max_useful_claims = 2;
constexpr std::size_t max_obsolete_claims = 1;
/// Long enough for the runs on the gang's workers to end and for two permission calls.
constexpr milliseconds claim_length{8'000};
constexpr milliseconds claim_search_interval{100};
/// While less of a service's processors is in use, no workers are held for gangs with claims.
constexpr double min_used_to_hold = 0.7;
/// Workers are held for a gang only if it is expected to have room on them within this time.
constexpr milliseconds max_hold{3'000};

} // namespace

/// Checks whether so much of a step's service is in use that room is held for gangs with claims.
bool workflow_state::is_service_busy(const ready_step& step) const
{
    const auto pool = fleet_.find_pool(step.job->terms.service);
    return pool && free_capacity_.used_share(*pool) >= min_used_to_hold;
}

bool workflow_state::has_claim(const ready_step& step) const
{
    return std::ranges::any_of(claims_, [&](const gang_claim& claim) {
        return claim.step == step.step && claim.job == step.job->spec.id;
    });
}

/// Ends the claims that have had their time, and gives new ones while work on time waits, which
/// else takes the call slots and the free capacity before all late gangs.
void workflow_state::update_claims(time_point time)
{
    end_claims(time);
    if (time < next_claim_search_) {
        return;
    }
    next_claim_search_ = time + claim_search_interval;
    const auto most_urgent = ready_.in_order().begin();
    if (most_urgent != ready_.in_order().end() && most_urgent->rank.late == lateness::on_time) {
        give_claims(time);
    }
}

void workflow_state::end_claims(time_point time)
{
    std::erase_if(claims_, [&](const gang_claim& claim) {
        auto* job = find_job(claim.job);
        const bool is_open = job != nullptr && ready_.contains(*job, claim.step);
        if (is_open && time < claim.until) {
            return false;
        }
        gang_reservations_.drop(claim.job, claim.step);
        if (job != nullptr && !is_final(job->phase)) {
            job->steps[static_cast<std::size_t>(claim.step)].claim_ended = time;
        }
        return true;
    });
}

/// Gives claims to the late gangs whose jobs were due first, whatever their number of tasks, so
/// that narrower ones don't take each place that becomes free. Complexity: n log n in the waiting
/// steps, and for some of them linear in their permitted workers.
void workflow_state::give_claims(time_point time)
{
    std::vector<ready_step> gangs;
    for (const auto& entry : ready_.in_order()) {
        const auto& step = entry.step;
        if (entry.rank.late != lateness::on_time && step.spec().gang &&
            step.job->terms.permission && !has_claim(step)) {
            gangs.push_back(step);
        }
    }
    std::ranges::stable_sort(gangs, {}, [](const ready_step& step) { return step.job->due; });
    for (const auto& gang : gangs) {
        if (may_claim(gang, time)) {
            claims_.push_back({.service = gang.job->terms.service,
                               .job = gang.job->spec.id,
                               .step = gang.step,
                               .is_obsolete = lateness_of(*gang.job, time) == lateness::obsolete,
                               .until = time + claim_length});
        }
    }
}

/// Checks whether a gang may get a claim: its service has one left for it, it has waited for long
/// and it fits on the workers that are known to be permitted.
bool workflow_state::may_claim(const ready_step& step, time_point time)
{
    const auto& record = step.record();
    const bool is_obsolete = lateness_of(*step.job, time) == lateness::obsolete;
    const auto given = std::ranges::count_if(claims_, [&](const gang_claim& claim) {
        return claim.is_obsolete == is_obsolete && claim.service == step.job->terms.service;
    });
    const auto max_claims = is_obsolete ? max_obsolete_claims : max_useful_claims;
    const auto min_wait = is_obsolete ? min_obsolete_wait_to_claim : min_wait_to_claim;
    return static_cast<std::size_t>(given) < max_claims && record.waits_since != time_point{} &&
           time - std::max(record.waits_since, record.claim_ended) >= min_wait &&
           !is_service_idle(step) && permitted_capacity(step, time).when_empty >= record.waiting();
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

/// Requests the tickets for the workers that are held for a gang so early that they are there when
/// the workers are expected to be free.
void workflow_state::request_tickets_for_hold(const ready_step& step, time_point time)
{
    const auto* hold = gang_reservations_.of_step(step.job->spec.id, step.step);
    if (hold == nullptr) {
        return;
    }
    const auto answered = time + step.job->terms.permission->service_time(hold->workers.size());
    if (answered < hold->expected) {
        return;
    }
    request_permission(step, workers_without_ticket(step, *hold, answered + ticket_use_margin),
                       time);
}

} // namespace flamingoseam::workflow
