#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

constexpr std::size_t first_chain = 0; ///< It also carries the roster and removals.
constexpr std::size_t most_changes_per_job = 2;
constexpr std::size_t most_removals_per_batch = 10;
constexpr std::size_t removals_worth_a_write = 20;
constexpr std::size_t share_of_progress = 3; ///< One in so many records, when others wait, too.

} // namespace

void workflow_state::forget_ended(wall_time wall)
{
    while (!ended_.empty() && ended_.begin()->first <= wall) {
        const auto id = ended_.begin()->second;
        auto* job = find_job(id);
        if (job != nullptr && !job->is_stored()) {
            return;
        }
        if (job != nullptr) {
            waiters_.erase(job);
            removals_.push_back(options_.keys.progress(id));
            jobs_.erase(id);
        }
        ended_.erase(ended_.begin());
    }
}

void workflow_state::add_job_changes(chain_state& chain, job_record& job, record_batch& batch)
{
    const auto& id = job.spec.id;
    if (is_final(job.phase)) {
        batch.changes.push_back({options_.keys.progress(id), write_progress(job)});
        if (job.spec_stored) {
            batch.changes.push_back({options_.keys.specification(id), std::nullopt});
        }
        chain.batch.push_back({&job, job.changed_at, false});
        return;
    }
    const bool writes_specification = !job.spec_stored;
    if (writes_specification) {
        batch.changes.push_back({options_.keys.specification(id), write_specification(job)});
    } else {
        batch.changes.push_back({options_.keys.progress(id), write_progress(job)});
    }
    chain.batch.push_back({&job, job.changed_at, writes_specification});
}

void workflow_state::add_roster(record_batch& batch)
{
    batch_roster_.clear();
    roster_in_batch_ = std::exchange(roster_changed_, false);
    if (!roster_in_batch_) {
        return;
    }
    std::vector<worker_entry> workers;
    for (const auto worker : roster_) {
        workers.push_back(fleet_.at(worker).entry);
        workers.back().silent_since = fleet_.at(worker).silent_since;
    }
    batch_roster_ = roster_;
    batch.changes.push_back({options_.keys.roster(), write_roster(workers)});
}

void workflow_state::add_removals(std::size_t most, record_batch& batch)
{
    if (batch.changes.empty() && removals_.size() < removals_worth_a_write) {
        return;
    }
    for (std::size_t count = 0;
         count < most_removals_per_batch && !removals_.empty() && batch.changes.size() < most;
         ++count) {
        batch.changes.push_back({removals_.back(), std::nullopt});
        removals_.pop_back();
    }
}

bool workflow_state::may_write(std::size_t chain, time_point time) const
{
    const auto earlier = chains_.begin() + static_cast<std::ptrdiff_t>(chain);
    const bool is_urgent = has_full_batch();
    return std::all_of(chains_.begin(), earlier, [&](const chain_state& one) {
        return one.writes_since && (is_urgent || time - *one.writes_since >= options_.slow_write);
    });
}

bool workflow_state::has_full_batch() const
{
    return changes_.size() + most_changes_per_job > options_.most_records;
}

bool workflow_state::has_changes(std::size_t chain, time_point time) const
{
    if (chains_[chain].writes_since) {
        return false;
    }
    const bool has_roster = chain == first_chain && roster_changed_;
    return has_roster || (!changes_.empty() && may_write(chain, time));
}

/// Takes what somebody waits for first, but leaves a share of the batch to progress, so that its
/// age stays bounded.
void workflow_state::add_changes(chain_state& chain, std::size_t most, record_batch& batch)
{
    const auto add_up_to = [&](std::size_t limit, job_record* (change_log::*take)()) {
        while (batch.changes.size() + most_changes_per_job <= limit) {
            auto* job = (changes_.*take)();
            if (job == nullptr) {
                return;
            }
            add_job_changes(chain, *job, batch);
        }
    };
    add_up_to(most - most / share_of_progress, &change_log::take_awaited);
    add_up_to(most, &change_log::take_progress);
    add_up_to(most, &change_log::take_awaited);
}

record_batch workflow_state::take_batch(std::size_t chain, std::size_t most, time_point time,
                                        wall_time wall)
{
    record_batch batch;
    if (!may_write(chain, time)) {
        return batch;
    }
    auto& own = chains_[chain];
    if (chain == first_chain) {
        forget_ended(wall);
        add_roster(batch);
    }
    add_changes(own, most, batch);
    if (chain == first_chain) {
        add_removals(most, batch);
    }
    if (!batch.changes.empty()) {
        own.writes_since = time;
    }
    return batch;
}

void workflow_state::on_stored(std::size_t chain)
{
    chains_[chain].writes_since.reset();
    if (chain == first_chain && roster_in_batch_) {
        for (const auto worker : batch_roster_) {
            fleet_.at(worker).rostered = roster_.contains(worker);
        }
        pass_wanted_ = true;
    }
    for (const auto& [job, change, wrote_specification] : std::exchange(chains_[chain].batch, {})) {
        if (wrote_specification) {
            job->spec_stored = true;
            ++counts_.accepted;
            note("accepted", job->spec.id, job->spec.queue);
            ready_.mark_changed(*job);
            pass_wanted_ = true;
        }
        changes_.note_stored(*job, change);
        release_waiters(*job);
    }
}

void workflow_state::release_waiters(job_record& job)
{
    const auto found = waiters_.find(&job);
    if (found != waiters_.end()) {
        auto& waiting = found->second;
        std::erase_if(waiting.answers, [&](const waiting_answer& one) {
            if (one.change <= job.stored_at) {
                actions_.answers.push_back({.token = one.token});
                return true;
            }
            return false;
        });
        std::erase_if(waiting.ends, [&](const auto& row) {
            if (row.first <= job.stored_at) {
                settle(row.second.worker, row.second.life, row.second.number);
                return true;
            }
            return false;
        });
        if (waiting.answers.empty() && waiting.ends.empty()) {
            waiters_.erase(found);
        }
    }
    if (is_final(job.phase) && job.is_stored()) {
        job.steps = {};
        job.spec.steps = {};
        job.spec.payload = {};
    }
}

} // namespace flamingoseam::workflow
