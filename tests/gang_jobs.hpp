#pragma once

#include "flamingoseam/workflow/job_spec.hpp"

#include <cstdint>
#include <cstdio>
#include <string>

namespace flamingoseam::workflow {

/// Returns a job id of 16 characters.
inline std::string job_id(char letter, int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%c%015d", letter, number);
    return id;
}

/// Returns a job of one step, which is a gang if it has several tasks.
inline job_spec job_of(const std::string& id, const queue_terms& terms, int tasks,
                       std::int64_t milli_cpus, milliseconds estimate)
{
    job_spec job{.id = id, .queue = terms.name, .payload = {}};
    job.steps.push_back({.tasks = tasks,
                         .size = {.milli_cpus = milli_cpus, .memory_mb = 1},
                         .estimate = estimate,
                         .gang = tasks > 1});
    return job;
}

} // namespace flamingoseam::workflow
