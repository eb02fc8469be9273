#include "flamingoseam/workflow/workflow_state.hpp"

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds report_interval{5'000};
constexpr milliseconds min_wait{5'000}; ///< Steps that wait for less are not reported.
constexpr int max_reports = 3;          ///< At a time; the oldest jobs are reported.

/// Returns why no task of a step is started at present.
std::string reason_for_waiting(const job_record& job, const step_record& step, time_point time)
{
    if (!job.spec_stored) {
        return "the job is not stored";
    }
    if (step.gang_broken) {
        return "runs of the gang are being stopped";
    }
    if (step.unlocated > 0) {
        return "runs of an earlier owner are not located";
    }
    if (step.not_before > time) {
        return "a run has failed";
    }
    if (job.terms.permission && !step.permission.has_answer()) {
        return "no worker has been asked about";
    }
    if (job.terms.permission && step.permission.permitted().empty()) {
        return "no worker is permitted";
    }
    return "no room, or more urgent steps wait";
}

} // namespace

/// Logs the oldest steps that have had nothing running for long, with what tells the reason.
void workflow_state::report_waiting_steps(time_point time)
{
    if (time < next_waiting_report_) {
        return;
    }
    next_waiting_report_ = time + report_interval;
    int reports = 0;
    for (const auto& [sequence, job] : open_) {
        for (std::size_t index = 0; index < job->steps.size(); ++index) {
            const auto& step = job->steps[index];
            const bool waits = step.waiting() + step.unlocated > 0 && step.placed == 0 &&
                               job->are_predecessors_done(index);
            if (!waits || time - job->received < min_wait) {
                continue;
            }
            if (++reports > max_reports) {
                return;
            }
            log_decision(
                "step_waits", job->spec.id,
                "step " + std::to_string(index) + ": " + reason_for_waiting(*job, step, time),
                {{"waiting", step.waiting()},
                 {"unlocated", step.unlocated},
                 {"permitted", static_cast<std::int64_t>(step.permission.permitted().size())},
                 {"unreported_workers", static_cast<std::int64_t>(unreported_.size())},
                 {"workers", static_cast<std::int64_t>(fleet_.size())}});
        }
    }
}

} // namespace flamingoseam::workflow
