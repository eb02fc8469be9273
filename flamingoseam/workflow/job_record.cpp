#include "flamingoseam/workflow/job_record.hpp"

#include "flamingoseam/core/error.hpp"

#include <algorithm>
#include <array>

namespace flamingoseam::workflow {

const char* to_string(job_phase value)
{
    switch (value) {
    case job_phase::queued:
        return "queued";
    case job_phase::running:
        return "running";
    case job_phase::completed:
        return "completed";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

job_phase job_phase_from_string(const std::string& text)
{
    for (const auto phase : {job_phase::queued, job_phase::running, job_phase::completed,
                             job_phase::failed, job_phase::cancelled}) {
        if (text == to_string(phase)) {
            return phase;
        }
    }
    throw parse_error(125, "'" + text + "' is not the phase of a job");
}

void permission_record::record_answer(const std::vector<std::size_t>& asked,
                                      const std::map<std::size_t, std::string>& granted,
                                      time_point valid_until)
{
    for (const auto worker : asked) {
        answered_.resize(std::max(answered_.size(), worker + 1));
        answered_[worker] = true;
        if (!granted.contains(worker)) {
            remove_permitted(worker);
        }
    }
    for (const auto& [worker, text] : granted) {
        const auto position = permitted_.begin() + (find(worker) - permitted_.cbegin());
        if (position != permitted_.end() && position->worker == worker) {
            *position = {worker, text, valid_until};
        } else {
            permitted_.insert(position, {worker, text, valid_until});
        }
        newest_until_ = std::max(newest_until_, valid_until);
    }
}

void permission_record::drop_ticket(std::size_t worker)
{
    const auto position = permitted_.begin() + (find(worker) - permitted_.cbegin());
    if (position != permitted_.end() && position->worker == worker) {
        *position = {.worker = worker, .text = {}, .valid_until = time_point::min()};
    }
}

void permission_record::forget_answer(std::size_t worker)
{
    drop_ticket(worker);
    if (has_answer_for(worker) && !is_permitted(worker)) {
        answered_[worker] = false;
        next_search = {};
    }
}

void permission_record::remove_permitted(std::size_t worker)
{
    const auto position = find(worker);
    if (position != permitted_.end() && position->worker == worker) {
        permitted_.erase(position);
    }
}

double permission_record::permitted_share() const
{
    const auto asked = std::count(answered_.begin(), answered_.end(), true);
    return asked == 0 ? 0 : static_cast<double>(permitted_.size()) / static_cast<double>(asked);
}

bool permission_record::is_permitted(std::size_t worker) const
{
    const auto position = find(worker);
    return position != permitted_.end() && position->worker == worker;
}

const permission_record::ticket* permission_record::find_ticket(std::size_t worker,
                                                                time_point needed) const
{
    const auto position = find(worker);
    const bool is_valid = position != permitted_.end() && position->worker == worker &&
                          position->valid_until >= needed;
    return is_valid ? &*position : nullptr;
}

/// Returns the position of the first permitted worker whose index is not less than `worker`.
std::vector<permission_record::ticket>::const_iterator
permission_record::find(std::size_t worker) const
{
    return std::lower_bound(
        permitted_.begin(), permitted_.end(), worker,
        [](const ticket& granted, std::size_t wanted) { return granted.worker < wanted; });
}

bool job_record::has_task(const task_name& task) const
{
    const auto step = static_cast<std::size_t>(task.step);
    return step < steps.size() && static_cast<std::size_t>(task.index) < steps[step].tasks.size();
}

bool job_record::are_predecessors_done(std::size_t step) const
{
    const auto& after = spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [this](int earlier) {
        return steps[static_cast<std::size_t>(earlier)].is_done();
    });
}

void fill_steps(job_record& job, task_phase phase)
{
    job.steps.resize(job.spec.steps.size());
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        auto& step = job.steps[index];
        const auto count = static_cast<std::size_t>(job.spec.steps[index].tasks);
        step.tasks.assign(count, task_record{.phase = phase});
        step.unlocated = phase == task_phase::unlocated ? static_cast<int>(count) : 0;
    }
}

milliseconds remaining_critical_path(const job_record& job)
{
    return critical_path(job.spec.steps,
                         [&job](std::size_t step) { return !job.steps[step].is_done(); });
}

} // namespace flamingoseam::workflow
