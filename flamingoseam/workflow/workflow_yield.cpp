#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

/// Minimum waiting time saved by preemption, so that it is worth the work that must be repeated.
constexpr milliseconds least_gain{300};
constexpr milliseconds least_run_time{300};   ///< Younger runs are not preempted.
constexpr milliseconds slack_to_yield{2'000}; ///< Minimum slack of a job whose runs are preempted.
constexpr int nearly_done_percent = 80;

} // namespace

/// Checks whether a run may be preempted for a gang of a more urgent queue: it must be able to
/// resume from its checkpoint, and its job must still complete on time. Preemption helps under
/// steady load with wide gangs: workers that are kept free until a gang fits would otherwise stay
/// idle.
bool workflow_state::may_yield(const run_name& name, const held_run& run, const ready_step& gang,
                               time_point time)
{
    const auto* job = find_job(name.task.job);
    if (job == nullptr || is_final(job->phase) || run.stop_wanted ||
        run.state != held_run::knowledge::present || run.percent >= nearly_done_percent ||
        time - run.confirmed_at < least_run_time) {
        return false;
    }
    const auto& spec = job->spec.steps[static_cast<std::size_t>(name.task.step)];
    return spec.checkpoints && !spec.gang && job->terms.priority > gang.job->terms.priority &&
           slack_of(*job, time) >= slack_to_yield;
}

/// Plans a reservation for a gang from runs that are expected to end, or from runs that can be
/// preempted if the gang can start much sooner that way.
std::optional<gang_hold> workflow_state::plan_hold(const ready_step& step, time_point time)
{
    std::vector<std::size_t> offered;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        ++counts_.examined;
        if (can_run(step, worker, time) && is_permitted(step, worker) &&
            holds_.on_worker(worker) == nullptr) {
            offered.push_back(worker);
        }
    }
    auto patient = plan_gang_hold(fleet_, offered, step, time);
    const bool is_on_time = lateness_of(*step.job, time) == lateness::on_time;
    if (!is_on_time || (patient && patient->expected <= time + least_gain)) {
        return patient;
    }
    const auto test = [&](const run_name& name, const held_run& run) {
        return may_yield(name, run, step, time);
    };
    auto yielding = plan_gang_hold(fleet_, offered, step, time, test);
    const bool is_sooner =
        yielding && (!patient || yielding->expected + least_gain <= patient->expected);
    return is_sooner ? yielding : patient;
}

/// Preempts runs on the reserved workers of a gang, as many as it needs.
void workflow_state::make_room(const ready_step& gang, const gang_hold& hold, time_point time)
{
    if (!hold.needs_yielding) {
        return;
    }
    int missing = gang.record().waiting();
    for (const auto worker : hold.workers) {
        auto& one = fleet_.at(worker);
        auto room = one.free();
        for (const auto& [name, run] : one.runs) {
            room += run.stop_wanted ? run.size : resources{};
        }
        for (auto& [name, run] : one.runs) {
            const int fits = tasks_that_fit(gang.spec().size, room);
            if (fits >= missing || !may_yield(name, run, gang, time)) {
                continue;
            }
            room += run.size;
            ++counts_.yielded_runs;
            if (const auto* job = find_job(name.task.job)) {
                ++load_of(*job).yielded_runs;
            }
            note("run_yields", name.task.job, to_string(name) + " to " + gang.job->spec.id);
            want_stop(worker, name, run);
        }
        missing -= std::min(missing, tasks_that_fit(gang.spec().size, room));
    }
}

} // namespace flamingoseam::workflow
