#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/core/verdict.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingoseam {

/// The four kinds of work; each has a placement policy of its own.
enum class work_class {
    call,    ///< Answered at once, on the caller's open connection.
    service, ///< Long-running, spread over racks.
    gang,    ///< All tasks start together or none does.
    batch,   ///< Tasks that may wait and may start one by one.
};

inline constexpr int work_class_count = 4;

/// Returns "call", "service", "gang" or "batch". Complexity: constant.
std::string_view to_string(work_class value);

/// Reads a class name. Throws parse_error (id 104) that names the text. Complexity: constant.
work_class work_class_from_string(std::string_view text);

/// One piece of work as a caller submits it: a call, or a job of one or more tasks.
struct work_request {
    std::string customer;
    std::string request_id; ///< Unique per customer; a UUID of version 7 or an entry's own id.
    std::string kind;       ///< The customer's name for work of like size, for the estimates.
    std::string payload;
    std::string traceparent;
    work_class cls = work_class::call;
    resources size;                     ///< Of one task.
    int tasks = 1;                      ///< 1 for calls.
    bool idempotent = false;            ///< Running it twice does no harm.
    bool first_attempt = true;          ///< No earlier attempt under this id was sent to any entry.
    milliseconds run_time{0};           ///< Declared for one task; 0 when unknown.
    milliseconds wait_limit{0};         ///< Longest wait for a start; 0 takes the contract's.
    std::uint64_t contract_version = 0; ///< The newest that the entry knew.
};

void operator<<=(cxxtools::SerializationInfo& info, const resources& value);
void operator>>=(const cxxtools::SerializationInfo& info, resources& value);
void operator<<=(cxxtools::SerializationInfo& info, const work_request& value);
void operator>>=(const cxxtools::SerializationInfo& info, work_request& value);
void operator<<=(cxxtools::SerializationInfo& info, const outcome& value);
void operator>>=(const cxxtools::SerializationInfo& info, outcome& value);

} // namespace flamingoseam
