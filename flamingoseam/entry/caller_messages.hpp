#pragma once

#include "flamingoseam/job/work.hpp"

#include <cxxtools/serializationinfo.h>

#include <string>

namespace flamingoseam {

/// Limits on the requests of callers.
inline constexpr int max_tasks_per_job = 10'000;
inline constexpr std::int64_t max_milli_cpus_per_task = 1'000'000;
inline constexpr std::int64_t max_memory_mb_per_task = 10'000'000;
inline constexpr std::int64_t max_accelerators_per_task = 64;
inline constexpr std::int64_t max_run_ms = 366LL * 24 * 3600 * 1000;
inline constexpr std::size_t max_kind_length = 64;

/// Parses the body of POST /v1/calls or POST /v1/jobs and checks every key.
/// Throws parse_error: id 102 for malformed JSON, id 108 for an unknown key, id 109 for a value of
/// a wrong type or out of bounds; each message names the key, the value and the bounds.
work_request read_caller_request(const std::string& body, bool is_job);

/// The body of every response to a caller.
struct caller_answer {
    std::string request_id;
    outcome result;
};

void operator<<=(cxxtools::SerializationInfo& info, const caller_answer& value);
void operator>>=(const cxxtools::SerializationInfo& info, caller_answer& value);

/// Returns the HTTP status for an outcome: 200 if it ran, 202 if it was accepted, 4xx or 503 if it
/// did not run, 504 if it may have run. Complexity: constant.
int status_of(const outcome& result);

} // namespace flamingoseam
