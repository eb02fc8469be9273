#include "flamingoseam/shard/shard_state.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr milliseconds min_gang_wait{500};  ///< Wait before workers are reserved for a gang.
constexpr milliseconds claim_timeout{3000}; ///< Maximum wait for preempted tasks to end.

bool is_any_positive(const resources& amount)
{
    return !(max(amount, {}) == resources());
}

bool is_zone_allowed(const contract& terms, const std::string& zone)
{
    return terms.zones.empty() || std::ranges::find(terms.zones, zone) != terms.zones.end();
}

} // namespace

void shard_state::reserve_for_gang(request_record& record, const contract& terms, time_point time)
{
    if (gang_reservation_.record != nullptr || time - record.submitted < min_gang_wait) {
        return;
    }
    const auto size = task_size(record.request);
    std::vector<std::pair<std::int64_t, std::size_t>> candidates;
    for (std::size_t i = 0; i < pool_.size(); ++i) {
        const auto& worker = pool_.at(i);
        if (worker.accepts() && is_zone_allowed(terms, worker.zone) &&
            fits(size, worker.capacity)) {
            candidates.emplace_back(worker.reserved.milli_cpus, i);
        }
    }
    std::ranges::sort(candidates);
    auto missing = static_cast<std::int64_t>(record.waiting.size());
    gang_reservation reservation{
        .record = &record, .workers = {}, .expires = time + options_.max_gang_reservation};
    for (const auto& [used, worker] : candidates) {
        if (missing <= 0) {
            break;
        }
        reservation.workers.insert(worker);
        auto free_capacity = pool_.at(worker).capacity;
        while (missing > 0 && fits(size, free_capacity)) {
            free_capacity -= size;
            --missing;
        }
    }
    if (missing > 0) {
        return;
    }
    gang_reservation_ = std::move(reservation);
    if (is_guaranteed(terms, record.request.cls, size * static_cast<int>(record.waiting.size()))) {
        preempt_on_reserved_workers(record, time);
    }
}

void shard_state::preempt_on_reserved_workers(const request_record& record, time_point time)
{
    std::vector<task_ref> victims;
    for (const auto worker : gang_reservation_.workers) {
        for (const auto& task_id : running_on_.at(worker)) {
            const auto& task = running_.at(task_id);
            if (may_preempt(task, record, false)) {
                victims.push_back(task);
            }
        }
    }
    for (const auto& victim : victims) {
        if (may_preempt(victim, record, false)) {
            preempt(victim, time);
        }
    }
}

bool shard_state::preempt_for(request_record& record, const contract& terms, bool own_only,
                              time_point time)
{
    const auto size = task_size(record.request);
    std::optional<std::size_t> best;
    std::vector<task_ref> best_victims;
    for (std::size_t i = 0; i < pool_.size(); ++i) {
        const auto& worker = pool_.at(i);
        if (!worker.accepts() || !is_zone_allowed(terms, worker.zone) ||
            !fits(size, worker.capacity)) {
            continue;
        }
        auto victims = victims_on(i, record, size, own_only);
        if (victims && (!best || victims->size() < best_victims.size())) {
            best = i;
            best_victims = std::move(*victims);
        }
    }
    if (!best) {
        return false;
    }
    pool_.claim(*best, size);
    claims_[key_of(record.request.customer, record.request.request_id)] = {
        .worker = *best, .size = size, .expires = time + claim_timeout};
    for (const auto& victim : best_victims) {
        preempt(victim, time);
    }
    return true;
}

std::optional<std::vector<shard_state::task_ref>>
shard_state::victims_on(std::size_t worker, const request_record& claimant, const resources& size,
                        bool own_only) const
{
    auto free_capacity = pool_.at(worker).free();
    std::vector<task_ref> candidates;
    for (const auto& task_id : running_on_.at(worker)) {
        const auto& task = running_.at(task_id);
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        if (slot.preempting) {
            free_capacity += slot.reserved;
        } else if (may_preempt(task, claimant, own_only)) {
            candidates.push_back(task);
        }
    }
    const auto order = [this](const task_ref& task) {
        const auto* terms = terms_of(*task.record);
        const auto position = std::ranges::find(terms->yield_order, task.record->request.cls);
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        return std::pair(position - terms->yield_order.begin(),
                         -slot.started_at.time_since_epoch());
    };
    std::ranges::sort(candidates, {}, order);
    std::vector<task_ref> victims;
    for (const auto& task : candidates) {
        if (fits(size, free_capacity)) {
            break;
        }
        free_capacity += task.record->tasks.at(static_cast<std::size_t>(task.index)).reserved;
        victims.push_back(task);
    }
    if (!fits(size, free_capacity) || (own_only && victims.empty())) {
        return std::nullopt;
    }
    return victims;
}

bool shard_state::may_preempt(const task_ref& task, const request_record& claimant,
                              bool own_only) const
{
    const auto& request = task.record->request;
    const auto* terms = contracts_.find(request.customer);
    const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
    if (terms == nullptr || slot.preempting || slot.cancelling ||
        !terms->is_preemptible(request.cls)) {
        return false;
    }
    const bool can_resume =
        request.idempotent || terms->preemption == preemption_method::checkpoint;
    if (!can_resume) {
        return false;
    }
    if (request.customer == claimant.request.customer) {
        return !terms->is_preemptible(claimant.request.cls);
    }
    const auto usage = usage_of(request.customer);
    return !own_only && is_any_positive(usage.total - usage.preempting - guarantee(*terms));
}

void shard_state::preempt(const task_ref& task, time_point time)
{
    auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
    const auto* terms = terms_of(*task.record);
    const bool stop = terms != nullptr && terms->preemption == preemption_method::stop &&
                      task.record->request.idempotent;
    slot.preempting = true;
    slot.preemption_deadline = time + (terms == nullptr ? milliseconds(0) : terms->yield_grace);
    usage_[task.record->request.customer].preempting += slot.reserved;
    preempting_.insert(slot.task_id);
    ++counts_.preemptions;
    actions_.controls.push_back(
        {.worker = pool_.at(slot.worker).address,
         .stop = {.task_id = slot.task_id,
                  .control = stop ? task_control::stop : task_control::checkpoint}});
}

void shard_state::enforce_preemptions(time_point time)
{
    for (auto it = preempting_.begin(); it != preempting_.end();) {
        const auto found = running_.find(*it);
        if (found == running_.end()) {
            it = preempting_.erase(it);
            continue;
        }
        auto& record = *found->second.record;
        auto& slot = record.tasks.at(static_cast<std::size_t>(found->second.index));
        if (slot.preemption_deadline > time || !record.request.idempotent) {
            ++it;
            continue;
        }
        actions_.controls.push_back(
            {.worker = pool_.at(slot.worker).address,
             .stop = {.task_id = slot.task_id, .control = task_control::stop}});
        it = preempting_.erase(it);
    }
}

void shard_state::drop_claim(request_record& record)
{
    const auto found = claims_.find(key_of(record.request.customer, record.request.request_id));
    if (found == claims_.end()) {
        return;
    }
    pool_.unclaim(found->second.worker, found->second.size);
    claims_.erase(found);
}

} // namespace flamingoseam
