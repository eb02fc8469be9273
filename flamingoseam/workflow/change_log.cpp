#include "flamingoseam/workflow/change_log.hpp"

namespace flamingoseam::workflow {

void change_log::note(job_record& job)
{
    job.changed_at = ++last_change_;
    const auto [found, is_new] = since_.try_emplace(&job, job.changed_at);
    if (is_new) {
        waiting_.emplace(found->second, &job);
    }
}

std::vector<job_record*> change_log::oldest(std::size_t most) const
{
    std::vector<job_record*> jobs;
    for (const auto& [change, job] : waiting_) {
        if (jobs.size() >= most) {
            break;
        }
        jobs.push_back(job);
    }
    return jobs;
}

void change_log::note_stored(job_record& job, std::uint64_t up_to)
{
    job.stored_at = up_to;
    const auto found = since_.find(&job);
    if (found == since_.end()) {
        return;
    }
    waiting_.erase(found->second);
    if (job.is_stored()) {
        since_.erase(found);
        return;
    }
    found->second = job.changed_at;
    waiting_.emplace(found->second, &job);
}

} // namespace flamingoseam::workflow
