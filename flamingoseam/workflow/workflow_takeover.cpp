#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace flamingoseam::workflow {

void workflow_state::load(std::vector<job_record> jobs,
                          const std::vector<worker_entry>& leased_workers, time_point time,
                          wall_time wall)
{
    for (auto& loaded : jobs) {
        auto job = std::make_unique<job_record>(std::move(loaded));
        job->sequence = ++last_sequence_;
        job->received = time;
        if (is_final(job->phase)) {
            ended_.emplace(time + options_.ended_retention, job->spec.id);
        } else {
            job->accepted_service = job->terms.service;
            job->newest_service = job->terms.service;
            job->due = time + (job->accepted - wall) + target_time(job->spec, job->terms);
            open_.emplace(job->sequence, job.get());
            ready_.mark_changed(*job);
            isolate_loaded_suspects(*job, time);
            record_loaded_turns(*job, time - std::max(wall_time(0), wall - job->accepted));
        }
        jobs_.emplace(job->spec.id, std::move(job));
    }
    for (const auto& worker : leased_workers) {
        const auto index = fleet_.put(worker);
        auto& state = fleet_.at(index);
        state.lease_stored = true;
        state.unreachable = worker.renewal != lease_renewal::renewed;
        state.silent_since = time;
        state.silence_stored = state.unreachable;
        state.silence_loaded = state.unreachable;
        state.is_emptied = worker.renewal == lease_renewal::expired;
        leased_workers_.insert(index);
        if (!state.is_emptied) {
            unreported_.insert(index);
        }
        if (worker.in_quorum && !state.is_emptied) {
            loaded_quorum_.insert(index);
        }
    }
    last_loaded_sequence_ = last_sequence_;
    not_accepting_ = loaded_quorum_;
    stored_quorum_ = loaded_quorum_;
    if (unreported_.empty() && !awaits_earlier_owner_) {
        release_unlocated();
    }
    close_completed_jobs(wall);
}

/// Records that the turn of a loaded job's steps has come when the job was accepted, so that no
/// owner lets them wait for a rack for as long again. The store does not know when it came in
/// truth.
void workflow_state::record_loaded_turns(job_record& job, time_point accepted)
{
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        if (job.are_predecessors_done(index)) {
            job.steps[index].turn_since = accepted;
        }
    }
}

/// Closes the jobs whose tasks are all done. Closing a job removes it from the open jobs.
void workflow_state::close_completed_jobs(wall_time wall)
{
    std::vector<job_record*> loaded;
    for (const auto& [sequence, job] : open_) {
        loaded.push_back(job);
    }
    for (auto* job : loaded) {
        close_if_completed(*job, wall);
    }
}

std::optional<time_point> workflow_state::majority_answered_at(time_point proven_at) const
{
    const auto answered = majority_answered_at(stored_quorum_, proven_at);
    const bool may_be_replaced = leased_workers_in_batch_ && streams_[0].writes_since;
    if (!answered || !may_be_replaced) {
        return answered;
    }
    // A later owner has read either list.
    const auto other = majority_answered_at(batch_quorum_, proven_at);
    return other ? std::optional(std::min(*answered, *other)) : std::nullopt;
}

std::optional<time_point> workflow_state::majority_answered_at(const std::set<std::size_t>& workers,
                                                               time_point proven_at) const
{
    std::vector<time_point> answers;
    for (const auto worker : workers) {
        const auto& state = fleet_.at(worker);
        if (state.incarnation_since <= proven_at) {
            answers.push_back(state.last_asked);
        }
    }
    const auto majority = workers.size() / 2 + 1;
    if (answers.size() < majority) {
        return std::nullopt;
    }
    const auto last = answers.begin() + static_cast<std::ptrdiff_t>(majority - 1);
    std::ranges::nth_element(answers, last, std::greater<>());
    return *last;
}

/// Marks a worker as located if a report that was requested after the end of the earlier owner has
/// confirmed which runs the worker holds.
void workflow_state::mark_located_if_confirmed(std::size_t worker)
{
    const auto& state = fleet_.at(worker);
    if (state.has_confirmed_runs() && !awaits_earlier_owner_ &&
        state.confirmed_asked >= earlier_owner_ended_) {
        mark_located(worker);
    }
}

/// Checks whether the worker's present incarnation has reported since the end of the earlier owner.
bool workflow_state::has_reported_since_earlier_owner(std::size_t worker) const
{
    const auto& state = fleet_.at(worker);
    return state.complete_reports > 0 && !awaits_earlier_owner_ &&
           state.last_asked >= earlier_owner_ended_;
}

/// Checks whether all runs and ends of a worker are known: those of earlier owners, too.
bool workflow_state::is_located(std::size_t worker) const
{
    return fleet_.at(worker).has_confirmed_runs() && !awaits_earlier_owner_ &&
           !unreported_.contains(worker);
}

void workflow_state::mark_located(std::size_t worker)
{
    if (unreported_.erase(worker) > 0 && unreported_.empty() && !awaits_earlier_owner_) {
        release_unlocated();
    }
}

void workflow_state::on_earlier_owner_ended(time_point time)
{
    if (!std::exchange(awaits_earlier_owner_, false)) {
        return;
    }
    earlier_owner_ended_ = time;
    if (unreported_.empty()) {
        release_unlocated();
        return;
    }
    for (const auto worker : std::set(unreported_)) {
        actions_.reports_needed.emplace_back(worker, time);
        mark_located_if_confirmed(worker);
    }
}

/// Checks whether an earlier owner that knows the job may still start its tasks.
bool workflow_state::awaits_earlier_owner(const job_record& job) const
{
    return awaits_earlier_owner_ && job.sequence <= last_loaded_sequence_;
}

void workflow_state::release_unlocated()
{
    for (const auto& [sequence, job] : open_) {
        for (int step = 0; step < static_cast<int>(job->steps.size()); ++step) {
            release_unlocated(*job, step);
        }
    }
    log_decision("recovered", "", std::to_string(open_.size()) + " open jobs");
    pass_requested_ = true;
}

/// Lets the tasks of a loaded step wait that run nowhere and whose end is not known.
void workflow_state::release_unlocated(job_record& job, int step)
{
    auto& record = job.steps[static_cast<std::size_t>(step)];
    if (record.unlocated == 0) {
        return;
    }
    if (job.has_begun) {
        log_decision("tasks_not_found", job.spec.id,
                     "step " + std::to_string(step) + ": " + std::to_string(record.unlocated) +
                         " tasks neither run nor have ended");
    }
    for (int index = 0; index < static_cast<int>(record.tasks.size()); ++index) {
        if (record.tasks[static_cast<std::size_t>(index)].phase == task_phase::unlocated) {
            set_task_phase(job, step, index, task_phase::waiting);
        }
    }
    if (record.gang_run != 0) {
        break_gang(job, step);
    }
}

} // namespace flamingoseam::workflow
