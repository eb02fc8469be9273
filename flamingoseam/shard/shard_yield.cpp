#include "flamingoseam/shard/shard_state.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr milliseconds gang_patience{500};
constexpr milliseconds claim_time{3000}; ///< Longest wait for others to make room.

bool is_any_left(const resources& amount)
{
    return !(max(amount, {}) == resources());
}

bool is_zone_allowed(const contract& terms, const std::string& zone)
{
    return terms.zones.empty() || std::ranges::find(terms.zones, zone) != terms.zones.end();
}

} // namespace

void shard_state::hold_for_gang(request_record& record, const contract& terms, time_point time)
{
    if (hold_.record != nullptr || time - record.submitted < gang_patience) {
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
    gang_hold hold{.record = &record, .workers = {}, .expires = time + options_.gang_hold};
    for (const auto& [used, worker] : candidates) {
        if (missing <= 0) {
            break;
        }
        hold.workers.insert(worker);
        auto room = pool_.at(worker).capacity;
        while (missing > 0 && fits(size, room)) {
            room -= size;
            --missing;
        }
    }
    if (missing > 0) {
        return;
    }
    hold_ = std::move(hold);
    if (is_guaranteed(terms, record.request.cls, size * static_cast<int>(record.waiting.size()))) {
        yield_on_held(record, time);
    }
}

void shard_state::yield_on_held(const request_record& record, time_point time)
{
    std::vector<task_ref> victims;
    for (const auto worker : hold_.workers) {
        for (const auto& task_id : running_on_.at(worker)) {
            const auto& task = running_.at(task_id);
            if (may_yield(task, record, false)) {
                victims.push_back(task);
            }
        }
    }
    for (const auto& victim : victims) {
        if (may_yield(victim, record, false)) {
            yield(victim, time);
        }
    }
}

bool shard_state::make_room(request_record& record, const contract& terms, bool own_only,
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
        .worker = *best, .size = size, .expires = time + claim_time};
    for (const auto& victim : best_victims) {
        yield(victim, time);
    }
    return true;
}

std::optional<std::vector<shard_state::task_ref>>
shard_state::victims_on(std::size_t worker, const request_record& claimant, const resources& size,
                        bool own_only) const
{
    auto room = pool_.at(worker).free();
    std::vector<task_ref> candidates;
    for (const auto& task_id : running_on_.at(worker)) {
        const auto& task = running_.at(task_id);
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        if (slot.yielding) {
            room += slot.reserved;
        } else if (may_yield(task, claimant, own_only)) {
            candidates.push_back(task);
        }
    }
    const auto order = [this](const task_ref& task) {
        const auto* terms = terms_of(*task.record);
        const auto place = std::ranges::find(terms->yield_order, task.record->request.cls);
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        return std::pair(place - terms->yield_order.begin(), -slot.began.time_since_epoch());
    };
    std::ranges::sort(candidates, {}, order);
    std::vector<task_ref> victims;
    for (const auto& task : candidates) {
        if (fits(size, room)) {
            break;
        }
        room += task.record->tasks.at(static_cast<std::size_t>(task.index)).reserved;
        victims.push_back(task);
    }
    if (!fits(size, room) || (own_only && victims.empty())) {
        return std::nullopt;
    }
    return victims;
}

bool shard_state::may_yield(const task_ref& task, const request_record& claimant,
                            bool own_only) const
{
    const auto& owner = task.record->request;
    const auto* terms = contracts_.find(owner.customer);
    const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
    if (terms == nullptr || slot.yielding || slot.cancelling || !terms->is_preemptible(owner.cls)) {
        return false;
    }
    const bool can_resume = owner.idempotent || terms->preemption == preemption_method::checkpoint;
    if (!can_resume) {
        return false;
    }
    if (owner.customer == claimant.request.customer) {
        return !terms->is_preemptible(claimant.request.cls);
    }
    const auto usage = usage_of(owner.customer);
    return !own_only && is_any_left(usage.total - usage.yielding - guarantee(*terms));
}

void shard_state::yield(const task_ref& task, time_point time)
{
    auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
    const auto* terms = terms_of(*task.record);
    const bool stop = terms != nullptr && terms->preemption == preemption_method::stop &&
                      task.record->request.idempotent;
    slot.yielding = true;
    slot.yield_deadline = time + (terms == nullptr ? milliseconds(0) : terms->yield_grace);
    usage_[task.record->request.customer].yielding += slot.reserved;
    yielding_.insert(slot.task_id);
    ++counts_.yields;
    actions_.controls.push_back(
        {.worker = pool_.at(slot.worker).address,
         .stop = {.task_id = slot.task_id,
                  .control = stop ? task_control::stop : task_control::checkpoint}});
}

void shard_state::enforce_yields(time_point time)
{
    for (auto it = yielding_.begin(); it != yielding_.end();) {
        const auto found = running_.find(*it);
        if (found == running_.end()) {
            it = yielding_.erase(it);
            continue;
        }
        auto& record = *found->second.record;
        auto& slot = record.tasks.at(static_cast<std::size_t>(found->second.index));
        if (slot.yield_deadline > time || !record.request.idempotent) {
            ++it;
            continue;
        }
        actions_.controls.push_back(
            {.worker = pool_.at(slot.worker).address,
             .stop = {.task_id = slot.task_id, .control = task_control::stop}});
        it = yielding_.erase(it);
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
