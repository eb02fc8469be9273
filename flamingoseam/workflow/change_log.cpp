#include "flamingoseam/workflow/change_log.hpp"

namespace flamingoseam::workflow {

void change_log::note(job_record& job)
{
    job.changed_at = ++last_change_;
    if (is_being_written(job)) {
        return; // It waits again once that batch is stored.
    }
    const auto [found, is_new] = since_.try_emplace(&job, job.changed_at);
    if (is_new) {
        waiting_.emplace(found->second, &job);
    }
}

job_record* change_log::take_oldest()
{
    if (waiting_.empty()) {
        return nullptr;
    }
    auto* job = waiting_.begin()->second;
    drop(*job);
    written_.insert(job);
    return job;
}

void change_log::note_stored(job_record& job, std::uint64_t up_to)
{
    job.stored_at = up_to;
    written_.erase(&job);
    if (!job.is_stored()) {
        since_[&job] = job.changed_at;
        waiting_.emplace(job.changed_at, &job);
    }
}

void change_log::drop(const job_record& job)
{
    const auto found = since_.find(&job);
    if (found != since_.end()) {
        waiting_.erase(found->second);
        since_.erase(found);
    }
}

} // namespace flamingoseam::workflow
