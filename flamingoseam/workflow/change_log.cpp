#include "flamingoseam/workflow/change_log.hpp"

namespace flamingoseam::workflow {

namespace {

bool is_urgent(const job_record& job)
{
    return !job.spec_stored || is_final(job.phase);
}

} // namespace

void change_log::record(job_record& job)
{
    job.changed_at = ++last_change_;
    if (is_being_written(job)) {
        return; // The job becomes pending again once that batch is stored.
    }
    const auto since = pending_since_.try_emplace(&job, job.changed_at).first->second;
    if (is_urgent(job)) {
        progress_.erase(since);
    }
    queue_of(job).emplace(since, &job);
}

change_log::queue& change_log::queue_of(const job_record& job)
{
    return is_urgent(job) ? urgent_ : progress_;
}

job_record* change_log::take_oldest(queue& from)
{
    if (from.empty()) {
        return nullptr;
    }
    auto* job = from.begin()->second;
    drop(*job);
    being_written_.insert(job);
    return job;
}

void change_log::mark_stored(job_record& job, std::uint64_t up_to)
{
    job.stored_at = up_to;
    being_written_.erase(&job);
    if (!job.is_stored()) {
        pending_since_[&job] = job.changed_at;
        queue_of(job).emplace(job.changed_at, &job);
    }
}

void change_log::drop(const job_record& job)
{
    const auto found = pending_since_.find(&job);
    if (found != pending_since_.end()) {
        urgent_.erase(found->second);
        progress_.erase(found->second);
        pending_since_.erase(found);
    }
}

std::optional<std::uint64_t> change_log::oldest_change() const
{
    std::optional<std::uint64_t> oldest;
    for (const auto* waiting_jobs : {&urgent_, &progress_}) {
        if (!waiting_jobs->empty() && (!oldest || waiting_jobs->begin()->first < *oldest)) {
            oldest = waiting_jobs->begin()->first;
        }
    }
    return oldest;
}

} // namespace flamingoseam::workflow
