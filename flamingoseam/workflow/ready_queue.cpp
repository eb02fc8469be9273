#include "flamingoseam/workflow/ready_queue.hpp"

#include <algorithm>
#include <tuple>

namespace flamingoseam::workflow {

namespace {

/// Checks whether a step is ready to run and has tasks that can be placed.
bool is_ready(const job_record& job, std::size_t index)
{
    const auto& step = job.steps[index];
    const bool gang_is_placed =
        job.spec.steps[index].gang && (step.placed > 0 || step.unlocated > 0 || step.gang_broken);
    return !gang_is_placed && job.has_waiting_tasks(index);
}

} // namespace

bool ready_queue::entry::operator<(const entry& other) const
{
    return std::tie(rank.late, rank.priority, rank.key, sequence, step.step) <
           std::tie(other.rank.late, other.rank.priority, other.rank.key, other.sequence,
                    other.step.step);
}

void ready_queue::mark_changed(job_record& job)
{
    if (!is_final(job.phase)) {
        changed_.insert(&job);
    }
}

void ready_queue::drop(job_record& job)
{
    erase(job);
    changed_.erase(&job);
}

bool ready_queue::contains(const job_record& job, int step) const
{
    const auto found = by_job_.find(&job);
    return found != by_job_.end() &&
           std::ranges::any_of(found->second.entries,
                               [step](const entry& queued) { return queued.step.step == step; });
}

void ready_queue::refresh(time_point time)
{
    while (!ranked_until_.empty() && ranked_until_.begin()->first < time) {
        auto* job = ranked_until_.begin()->second;
        ranked_until_.erase(ranked_until_.begin());
        changed_.insert(job);
    }
    for (auto* job : changed_) {
        insert(*job, time);
    }
    changed_.clear();
}

void ready_queue::insert(job_record& job, time_point time)
{
    erase(job);
    if (!job.spec_stored) {
        return;
    }
    job_entries inserted{.entries = {}, .ranked_until = time_point::max()};
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        if (!is_ready(job, index)) {
            continue;
        }
        const ready_step step{&job, static_cast<int>(index)};
        const entry new_entry{.rank = ranking_(step, time), .sequence = job.sequence, .step = step};
        inserted.ranked_until = std::min(inserted.ranked_until, new_entry.rank.valid_until);
        order_.insert(new_entry);
        inserted.entries.push_back(new_entry);
    }
    if (inserted.entries.empty()) {
        return;
    }
    ranked_until_.emplace(inserted.ranked_until, &job);
    by_job_.emplace(&job, std::move(inserted));
}

void ready_queue::erase(job_record& job)
{
    const auto found = by_job_.find(&job);
    if (found == by_job_.end()) {
        return;
    }
    for (const auto& old_entry : found->second.entries) {
        order_.erase(old_entry);
    }
    ranked_until_.erase({found->second.ranked_until, &job});
    by_job_.erase(found);
}

} // namespace flamingoseam::workflow
