#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// Minimum waiting time saved by preemption, so that it is worth the work that must be repeated.
constexpr milliseconds min_gain{300};
constexpr milliseconds min_run_time{300};           ///< Younger runs are not preempted.
constexpr milliseconds min_slack_to_preempt{2'000}; ///< Of the job whose run is preempted.
constexpr int nearly_done_percent = 80;

} // namespace

/// Checks whether a run may be preempted for a gang of a more urgent queue: it must be able to
/// resume from its checkpoint, and its job must still complete on time. Preemption helps under
/// steady load with wide gangs: workers that are kept free until a gang fits would otherwise stay
/// idle.
bool workflow_state::may_preempt(const run_name& name, const assigned_run& run,
                                 const ready_step& gang, time_point time)
{
    const auto* job = find_job(name.task.job);
    if (job == nullptr || is_final(job->phase) || run.stop_requested ||
        run.state != assigned_run::run_state::present || run.percent >= nearly_done_percent ||
        time - run.confirmed_at < min_run_time) {
        return false;
    }
    const auto& spec = job->spec.steps[static_cast<std::size_t>(name.task.step)];
    return spec.checkpoints && !spec.gang && job->terms.priority > gang.job->terms.priority &&
           slack_of(*job, time) >= min_slack_to_preempt;
}

/// Plans a reservation for a gang from runs that are expected to end, or from runs that can be
/// preempted if the gang can start much sooner that way.
std::optional<gang_reservation> workflow_state::plan_reservation(const ready_step& step,
                                                                 time_point time)
{
    std::vector<std::size_t> offered;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        ++counts_.examined;
        if (can_run(step, worker, time) && is_permitted(step, worker) &&
            gang_reservations_.on_worker(worker) == nullptr) {
            offered.push_back(worker);
        }
    }
    auto without_preemption = plan_gang_reservation(fleet_, offered, step, time);
    const bool is_on_time = lateness_of(*step.job, time) == lateness::on_time;
    if (!is_on_time || (without_preemption && without_preemption->expected <= time + min_gain)) {
        return without_preemption;
    }
    const auto is_preemptible = [&](const run_name& name, const assigned_run& run) {
        return may_preempt(name, run, step, time);
    };
    auto with_preemption = plan_gang_reservation(fleet_, offered, step, time, is_preemptible);
    const bool is_sooner =
        with_preemption && (!without_preemption ||
                            with_preemption->expected + min_gain <= without_preemption->expected);
    return is_sooner ? with_preemption : without_preemption;
}

/// Preempts runs on the reserved workers of a gang, as many as it needs.
void workflow_state::preempt_runs(const ready_step& gang, const gang_reservation& reservation,
                                  time_point time)
{
    if (!reservation.needs_preemption) {
        return;
    }
    int missing = gang.record().waiting();
    for (const auto worker : reservation.workers) {
        auto& worker_state = fleet_.at(worker);
        auto free_capacity = worker_state.free();
        for (const auto& [name, run] : worker_state.runs) {
            free_capacity += run.stop_requested ? run.size : resources{};
        }
        for (auto& [name, run] : worker_state.runs) {
            const int fits = tasks_that_fit(gang.spec().size, free_capacity);
            if (fits >= missing || !may_preempt(name, run, gang, time)) {
                continue;
            }
            free_capacity += run.size;
            ++counts_.preempted_runs;
            if (const auto* job = find_job(name.task.job)) {
                ++load_of(*job).preempted_runs;
            }
            log_decision("run_yields", name.task.job, to_string(name) + " to " + gang.job->spec.id);
            request_stop(worker, name, run, stop_reason::preempted);
        }
        missing -= std::min(missing, tasks_that_fit(gang.spec().size, free_capacity));
    }
}

} // namespace flamingoseam::workflow
