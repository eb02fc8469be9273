#include "flamingoseam/workflow/service_places.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <map>

namespace flamingoseam::workflow {

namespace {

/// Checks whether a service could run a step of a job that waits, or has any usable worker if no
/// step waits.
bool can_continue(job_record& job, const std::string& service, service_places& places)
{
    bool waits = false;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        if (!job.has_waiting_tasks(index)) {
            continue;
        }
        waits = true;
        const ready_step step{&job, static_cast<int>(index)};
        if (places.count(service, step.spec()) >= step.needed_places()) {
            return true;
        }
    }
    return !waits && places.has_workers(service);
}

} // namespace

void workflow_state::on_queue_configuration(const queue_configuration& configuration,
                                            time_point time)
{
    if (!queues_.replace(configuration)) {
        return;
    }
    for (const auto& [sequence, job] : open_) {
        const auto* terms = queues_.find(job->spec.queue);
        if (terms != nullptr && terms->version > job->terms.version) {
            follow_terms(*job, *terms);
        }
    }
    update_moved_jobs(time);
}

/// Adopts the newest terms that decide where and in which order a job runs. Its service changes in
/// update_moved_jobs().
void workflow_state::follow_terms(job_record& job, const queue_terms& newest)
{
    job.terms.version = newest.version;
    job.newest_service = newest.service;
    if (job.newest_service != job.terms.service) {
        moved_jobs_.insert(job.sequence);
    }
    if (job.terms.priority == newest.priority && job.terms.permission == newest.permission) {
        return;
    }
    job.terms.priority = newest.priority;
    job.terms.permission = newest.permission;
    drop_reservations(job);
    ready_.mark_changed(job);
    pass_requested_ = true;
}

/// Chooses the service of each job whose queue has got another one since its acceptance: the newest
/// one, but that of the acceptance as long as only that one can run what waits. Complexity: linear
/// in these jobs, and for each kind of task that waits, in the workers of both services.
void workflow_state::update_moved_jobs(time_point time)
{
    if (moved_jobs_.empty()) {
        return;
    }
    service_places places(fleet_, time);
    std::map<std::string, std::int64_t> moves;
    std::erase_if(moved_jobs_, [&](std::uint64_t sequence) {
        const auto found = open_.find(sequence);
        if (found == open_.end()) {
            return true;
        }
        auto& job = *found->second;
        const bool uses_accepted = !can_continue(job, job.newest_service, places) &&
                                   can_continue(job, job.accepted_service, places);
        const auto& service = uses_accepted ? job.accepted_service : job.newest_service;
        if (service != job.terms.service) {
            ++moves[job.spec.queue + " from " + job.terms.service + " to " + service];
            move_job(job, service);
        }
        return job.accepted_service == job.newest_service;
    });
    for (const auto& [move, jobs] : moves) {
        log_decision("queue_moved", "", move, {{"jobs", jobs}});
    }
}

/// Lets the tasks of a job that do not run yet run on workers of another service.
void workflow_state::move_job(job_record& job, const std::string& service)
{
    job.terms.service = service;
    drop_reservations(job);
    for (auto& step : job.steps) {
        step.next_reservation_attempt = {};
        step.permission.next_search = {};
    }
    ready_.mark_changed(job);
    pass_requested_ = true;
}

} // namespace flamingoseam::workflow
