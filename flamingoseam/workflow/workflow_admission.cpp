#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds sample_interval{50};
/// Time within which the end of a run is reported and stored.
constexpr milliseconds reporting_delay{100};

work_amount amount_of(const step_spec& step, int tasks)
{
    const auto count = static_cast<double>(tasks);
    const auto seconds = std::chrono::duration<double>(step.estimate).count();
    return {.tasks = count,
            .processor_seconds =
                count * seconds * static_cast<double>(step.size.milli_cpus) / 1'000};
}

/// Returns the class of the work of a step.
work_class class_of(const job_record& job, const step_spec& step)
{
    return {.service = job.terms.service,
            .gang_priority = step.gang ? std::optional(job.terms.priority) : std::nullopt};
}

/// Returns the admission request for a new job.
admission_request admission_request_of(const job_spec& job, const queue_terms& terms)
{
    work_amount work;
    for (const auto& step : job.steps) {
        work += amount_of(step, step.tasks);
    }
    const auto chain = critical_path(job.steps, [](std::size_t /*step*/) { return true; });
    const auto target = target_time(job, terms);
    return {.service = terms.service,
            .has_gang = std::ranges::any_of(job.steps, &step_spec::gang),
            .priority = terms.priority,
            .work = work,
            .slack = target - chain,
            .late_slack = late_multiple * target - chain};
}

} // namespace

/// Returns the delay between the placement of a task and its start, plus the delay between its end
/// and the time at which the end is visible to the caller.
milliseconds workflow_state::lead_time() const
{
    return orders_.answer_time() + reporting_delay;
}

admission_decision workflow_state::may_admit(const job_spec& spec, const queue_terms& terms,
                                             time_point time)
{
    auto request = admission_request_of(spec, terms);
    const auto since_first = time - admission_.first_submission(spec.id, time);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(since_first) + lead_time();
    request.slack -= elapsed;
    request.late_slack -= elapsed;
    auto decision = admission_.decide(request, time);
    if (!decision.is_accepted) {
        admission_.record_refused(spec.id, time);
    }
    return decision;
}

/// Refuses a job that can't be served in time, and logs what the decision was made from.
void workflow_state::refuse_unservable(std::uint64_t token, const job_spec& spec,
                                       const queue_terms& terms, const admission_decision& decision)
{
    int widest = 0;
    int widest_gang = 0;
    for (const auto& step : spec.steps) {
        widest = std::max(widest, step.tasks);
        widest_gang = std::max(widest_gang, step.gang ? step.tasks : 0);
    }
    refuse(token, spec.id, decision.reason, decision.retry_after,
           {{"priority", terms.priority},
            {"tasks", widest},
            {"gang_tasks", widest_gang},
            {"steps", static_cast<std::int64_t>(spec.steps.size())},
            {"expected_wait_ms", decision.wait.count()},
            {"late_gangs_need_workers", std::llround(decision.obsolete_gang_workers)},
            {"workers", std::llround(decision.workers)}});
}

/// Records the empty workers that the obsolete gangs of each service need.
void workflow_state::record_obsolete_gangs(time_point time)
{
    std::map<std::string, double> needed;
    for (const auto& [sequence, job] : open_) {
        if (lateness_of(*job, time) != lateness::obsolete) {
            continue;
        }
        for (std::size_t index = 0; index < job->steps.size(); ++index) {
            const auto& step = job->spec.steps[index];
            const auto& record = job->steps[index];
            if (step.gang && record.waiting() > 0 && record.waits_since != time_point{}) {
                needed[job->terms.service] += empty_workers_needed(step);
            }
        }
    }
    std::map<std::string, double> workers;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& state = fleet_.at(worker);
        workers[state.entry.service] += state.is_usable(time) ? 1 : 0;
    }
    for (const auto& [service, count] : workers) {
        admission_.record_obsolete_gangs(service, needed[service], count);
    }
}

/// Returns how many empty workers a step fills, 0 if it fits on no worker.
double workflow_state::empty_workers_needed(const step_spec& step) const
{
    const int fits = detail::fits_in(step, fleet_.worker_capacity());
    return fits == 0 ? 0 : std::ceil(static_cast<double>(step.tasks) / fits);
}

/// Records the waiting work for the admission. Jobs that are too late to be of use are left out, as
/// they are scheduled after all others.
void workflow_state::record_waiting_work(time_point time)
{
    if (time - last_sample_ < sample_interval) {
        return;
    }
    last_sample_ = time;
    const auto expected_start = time + lead_time();
    admission_.begin_sample(time);
    record_obsolete_gangs(time);
    for (const auto& [sequence, job] : open_) {
        const auto late = lateness_of(*job, expected_start);
        if (late == lateness::obsolete) {
            continue;
        }
        for (std::size_t index = 0; index < job->steps.size(); ++index) {
            const auto& step = job->spec.steps[index];
            if (job->has_waiting_tasks(index)) {
                admission_.record_waiting(
                    {.kind = class_of(*job, step),
                     .priority = job->terms.priority,
                     .amount = amount_of(step, job->steps[index].waiting()),
                     .late = late == lateness::late,
                     .waited = std::chrono::duration_cast<milliseconds>(time - job->received)});
            }
        }
    }
}

void workflow_state::record_accepted_start(const job_record& job, int step, time_point time)
{
    if (!is_final(job.phase)) {
        const auto& spec = job.spec.steps[static_cast<std::size_t>(step)];
        admission_.record_started(class_of(job, spec), job.terms.priority, amount_of(spec, 1),
                                  lateness_of(job, time) != lateness::on_time, time);
    }
}

} // namespace flamingoseam::workflow
