#include "flamingoseam/workflow/job_spec.hpp"

#include "flamingoseam/core/error.hpp"

#include <algorithm>
#include <cctype>

namespace flamingoseam::workflow {

namespace {

constexpr std::size_t id_digits = 16;

bool is_hexadecimal(const std::string& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char digit) { return std::isxdigit(digit) != 0; });
}

std::string step_name(std::size_t step)
{
    return "step " + std::to_string(step);
}

void check_sizes(const step_spec& step, std::size_t index, const job_limits& limits)
{
    if (step.tasks < 1 || step.tasks > limits.tasks_per_step) {
        throw parse_error(123, step_name(index) + ": the number of tasks must be from 1 to " +
                                   std::to_string(limits.tasks_per_step) + ", not " +
                                   std::to_string(step.tasks));
    }
    if (!is_valid(step.size) || step.estimate < milliseconds(0) || step.max_per_worker < 0) {
        throw parse_error(123, step_name(index) + ": sizes, estimate and spread can't be negative");
    }
}

void check_predecessors(const step_spec& step, std::size_t index)
{
    for (const int earlier : step.after) {
        if (earlier < 0 || static_cast<std::size_t>(earlier) >= index) {
            throw parse_error(124, step_name(index) + " can only follow an earlier step, not " +
                                       std::to_string(earlier));
        }
    }
}

} // namespace

void check_predecessors(const job_spec& job)
{
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        check_predecessors(job.steps[index], index);
    }
}

void check_job(const job_spec& job, const job_limits& limits)
{
    if (job.id.size() != id_digits || !is_hexadecimal(job.id)) {
        throw parse_error(120, "the job's id must be 16 hexadecimal digits, not '" + job.id + "'");
    }
    if (job.payload.size() > limits.payload_bytes) {
        throw parse_error(121, "the payload has " + std::to_string(job.payload.size()) +
                                   " bytes, at most " + std::to_string(limits.payload_bytes) +
                                   " are allowed");
    }
    if (job.steps.empty() || job.steps.size() > limits.steps) {
        throw parse_error(122, "a job has from 1 to " + std::to_string(limits.steps) +
                                   " steps, not " + std::to_string(job.steps.size()));
    }
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        check_sizes(job.steps[index], index, limits);
        check_predecessors(job.steps[index], index);
    }
}

milliseconds target_time(const job_spec& job, const queue_terms& terms)
{
    const auto path = critical_path(job.steps, [](std::size_t) { return true; });
    return scaled(path, terms.stretch) + terms.target;
}

} // namespace flamingoseam::workflow
