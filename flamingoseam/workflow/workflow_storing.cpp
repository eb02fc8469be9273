#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::workflow {

namespace {

constexpr std::size_t first_stream = 0; ///< It also writes the leased workers and the removals.
constexpr std::size_t max_changes_per_job = 2;
constexpr std::size_t max_removals_per_batch = 10;
constexpr std::size_t min_removals_for_write = 20;
/// While urgent changes are pending, one of this number of records is left to progress.
constexpr std::size_t progress_share_divisor = 3;

} // namespace

void workflow_state::forget_ended(time_point time)
{
    for (auto& id : std::exchange(newly_ended_, {})) {
        ended_.emplace(time + options_.ended_retention, std::move(id));
    }
    while (!ended_.empty() && ended_.begin()->first <= time) {
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

void workflow_state::add_job_changes(stream_state& stream, job_record& job, record_batch& batch)
{
    const auto& id = job.spec.id;
    if (is_final(job.phase)) {
        batch.changes.push_back({options_.keys.progress(id), write_progress(job)});
        if (job.spec_stored) {
            batch.changes.push_back({options_.keys.specification(id), std::nullopt});
        }
        stream.batch.push_back({&job, job.changed_at, false});
        return;
    }
    const bool writes_specification = !job.spec_stored;
    if (writes_specification) {
        batch.changes.push_back({options_.keys.specification(id), write_specification(job)});
    } else {
        batch.changes.push_back({options_.keys.progress(id), write_progress(job)});
    }
    stream.batch.push_back({&job, job.changed_at, writes_specification});
}

void workflow_state::add_leased_workers(record_batch& batch)
{
    batch_leased_workers_.clear();
    batch_quorum_.clear();
    batch_silent_workers_.clear();
    leased_workers_in_batch_ = std::exchange(leased_workers_changed_, false);
    if (!leased_workers_in_batch_) {
        return;
    }
    std::vector<worker_entry> workers;
    for (const auto worker : leased_workers_) {
        auto& state = fleet_.at(worker);
        workers.push_back(state.entry);
        batch_leased_workers_.emplace(worker, state.entry.address);
        const auto renewal = renewal_to_store(state);
        workers.back().renewal = renewal;
        if (renewal != lease_renewal::renewed) {
            state.silence_stored = true;
            batch_silent_workers_.insert(worker);
        }
        workers.back().in_quorum = renewal == lease_renewal::renewed && may_join_quorum(worker);
        if (workers.back().in_quorum) {
            batch_quorum_.insert(worker);
        }
    }
    batch.changes.push_back({options_.keys.leased_workers(), write_leased_workers(workers)});
    add_assignments(batch);
}

/// Checks whether the quorum may contain a worker. An earlier owner that still extends leases knows
/// nothing of workers that have joined since: were they counted, a later owner could have a
/// majority besides the one that still answers that owner.
bool workflow_state::may_join_quorum(std::size_t worker) const
{
    return earlier_renewals_ended_ || loaded_quorum_.contains(worker);
}

lease_renewal workflow_state::renewal_to_store(const fleet_worker& worker) const
{
    const bool others_withhold = earlier_renewals_ended_ || worker.silence_loaded;
    if (!worker.unreachable || !others_withhold) {
        return lease_renewal::renewed;
    }
    return worker.is_emptied && worker.runs.empty() ? lease_renewal::expired
                                                    : lease_renewal::withheld;
}

void workflow_state::on_earlier_renewals_ended()
{
    if (std::exchange(earlier_renewals_ended_, true)) {
        return;
    }
    leased_workers_changed_ = leased_workers_changed_ || !leased_workers_.empty();
}

void workflow_state::add_removals(std::size_t max_records, record_batch& batch)
{
    if (batch.changes.empty() && removals_.size() < min_removals_for_write) {
        return;
    }
    for (std::size_t count = 0;
         count < max_removals_per_batch && !removals_.empty() && batch.changes.size() < max_records;
         ++count) {
        batch.changes.push_back({removals_.back(), std::nullopt});
        removals_.pop_back();
    }
}

bool workflow_state::may_write(std::size_t stream, time_point time) const
{
    const auto earlier = streams_.begin() + static_cast<std::ptrdiff_t>(stream);
    const bool is_urgent = has_full_batch();
    return std::all_of(streams_.begin(), earlier, [&](const stream_state& earlier_stream) {
        return earlier_stream.writes_since &&
               (is_urgent || time - *earlier_stream.writes_since >= options_.slow_write);
    });
}

bool workflow_state::has_full_batch() const
{
    return changes_.size() + max_changes_per_job > options_.max_records;
}

bool workflow_state::should_write(std::size_t stream, time_point time) const
{
    if (streams_[stream].writes_since) {
        return false;
    }
    const bool has_leased_workers_change = stream == first_stream && leased_workers_changed_;
    return has_leased_workers_change || (!changes_.empty() && may_write(stream, time));
}

/// Adds the urgent changes first, but leaves a share of the batch to progress, so that the age of
/// unstored progress stays bounded.
void workflow_state::add_changes(stream_state& stream, std::size_t max_records, record_batch& batch)
{
    const auto add_up_to = [&](std::size_t limit, job_record* (change_log::*take)()) {
        while (batch.changes.size() + max_changes_per_job <= limit) {
            auto* job = (changes_.*take)();
            if (job == nullptr) {
                return;
            }
            add_job_changes(stream, *job, batch);
        }
    };
    add_up_to(max_records - max_records / progress_share_divisor, &change_log::take_urgent);
    add_up_to(max_records, &change_log::take_progress);
    add_up_to(max_records, &change_log::take_urgent);
}

record_batch workflow_state::take_batch(std::size_t stream, std::size_t max_records,
                                        time_point time)
{
    record_batch batch;
    if (!may_write(stream, time)) {
        return batch;
    }
    auto& own = streams_[stream];
    if (stream == first_stream) {
        forget_ended(time);
        add_leased_workers(batch);
    }
    add_changes(own, max_records, batch);
    if (stream == first_stream) {
        add_removals(max_records, batch);
    }
    if (!batch.changes.empty()) {
        own.writes_since = time;
    }
    return batch;
}

/// Records what the stored list of leased workers says from now on.
void workflow_state::on_leased_workers_stored()
{
    stored_quorum_ = batch_quorum_;
    for (const auto& [worker, address] : batch_leased_workers_) {
        auto& state = fleet_.at(worker);
        // A later owner looks for the worker where the list says, not where it has moved since.
        state.lease_stored = leased_workers_.contains(worker) && state.entry.address == address;
    }
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        auto& state = fleet_.at(worker);
        state.silence_stored = batch_silent_workers_.contains(worker);
        if (state.ended_silence && !state.silence_stored) {
            actions_.renewal_permits.push_back({worker, *state.ended_silence});
            state.ended_silence.reset();
        }
    }
}

void workflow_state::on_stored(std::size_t stream)
{
    streams_[stream].writes_since.reset();
    if (stream == first_stream && leased_workers_in_batch_) {
        on_leased_workers_stored();
        on_assignments_stored();
        pass_requested_ = true;
    }
    for (const auto& [job, change, wrote_specification] :
         std::exchange(streams_[stream].batch, {})) {
        if (wrote_specification) {
            job->spec_stored = true;
            ++counts_.accepted;
            log_decision("accepted", job->spec.id, job->spec.queue);
            ready_.mark_changed(*job);
            pass_requested_ = true;
        }
        changes_.mark_stored(*job, change);
        release_waiters(*job);
    }
}

void workflow_state::release_waiters(job_record& job)
{
    const auto found = waiters_.find(&job);
    if (found != waiters_.end()) {
        auto& waiting = found->second;
        std::erase_if(waiting.answers, [&](const pending_answer& answer) {
            if (answer.change <= job.stored_at) {
                actions_.answers.push_back({.token = answer.token});
                return true;
            }
            return false;
        });
        std::erase_if(waiting.ends, [&](const auto& unstored_end) {
            if (unstored_end.first <= job.stored_at) {
                acknowledge_end(unstored_end.second.worker, unstored_end.second.incarnation,
                                unstored_end.second.number);
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
