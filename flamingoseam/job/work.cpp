#include "flamingoseam/job/work.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

namespace flamingoseam {

std::string_view to_string(work_class value)
{
    switch (value) {
    case work_class::call:
        return "call";
    case work_class::service:
        return "service";
    case work_class::gang:
        return "gang";
    case work_class::batch:
        break;
    }
    return "batch";
}

work_class work_class_from_string(std::string_view text)
{
    for (const auto value :
         {work_class::call, work_class::service, work_class::gang, work_class::batch}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    throw parse_error(104,
                      "class '" + std::string(text) + "' is none of call, service, gang, batch");
}

void operator<<=(cxxtools::SerializationInfo& info, const resources& value)
{
    info.addMember("milli_cpus") <<= value.milli_cpus;
    info.addMember("memory_mb") <<= value.memory_mb;
    info.addMember("accelerators") <<= value.accelerators;
    info.addMember("slots") <<= value.slots;
}

void operator>>=(const cxxtools::SerializationInfo& info, resources& value)
{
    info.getMember("milli_cpus", value.milli_cpus);
    info.getMember("memory_mb", value.memory_mb);
    info.getMember("accelerators", value.accelerators);
    info.getMember("slots", value.slots);
}

void operator<<=(cxxtools::SerializationInfo& info, const work_request& value)
{
    info.addMember("customer") <<= value.customer;
    info.addMember("request_id") <<= value.request_id;
    info.addMember("kind") <<= value.kind;
    detail::put_text(info, "payload", value.payload);
    info.addMember("traceparent") <<= value.traceparent;
    info.addMember("class") <<= std::string(to_string(value.cls));
    info.addMember("size") <<= value.size;
    info.addMember("tasks") <<= value.tasks;
    info.addMember("idempotent") <<= value.idempotent;
    info.addMember("first_attempt") <<= value.first_attempt;
    info.addMember("run_ms") <<= static_cast<std::int64_t>(value.run_time.count());
    info.addMember("wait_ms") <<= static_cast<std::int64_t>(value.wait_limit.count());
}

void operator>>=(const cxxtools::SerializationInfo& info, work_request& value)
{
    std::string cls(to_string(value.cls));
    std::int64_t run_ms = 0;
    std::int64_t wait_ms = 0;
    info.getMember("customer", value.customer);
    info.getMember("request_id", value.request_id);
    info.getMember("kind", value.kind);
    detail::get_text(info, "payload", value.payload);
    info.getMember("traceparent", value.traceparent);
    info.getMember("class", cls);
    info.getMember("size", value.size);
    info.getMember("tasks", value.tasks);
    info.getMember("idempotent", value.idempotent);
    info.getMember("first_attempt", value.first_attempt);
    info.getMember("run_ms", run_ms);
    info.getMember("wait_ms", wait_ms);
    value.cls = work_class_from_string(cls);
    value.run_time = milliseconds(run_ms);
    value.wait_limit = milliseconds(wait_ms);
}

void operator<<=(cxxtools::SerializationInfo& info, const outcome& value)
{
    info.addMember("verdict") <<= std::string(to_string(value.kind));
    info.addMember("reason") <<= value.reason;
    info.addMember("detail") <<= value.detail;
    detail::put_text(info, "output", value.output);
    info.addMember("worker") <<= value.worker;
}

void operator>>=(const cxxtools::SerializationInfo& info, outcome& value)
{
    std::string verdict_text;
    info.getMember("verdict") >>= verdict_text;
    value.kind = verdict_from_string(verdict_text);
    info.getMember("reason", value.reason);
    info.getMember("detail", value.detail);
    detail::get_text(info, "output", value.output);
    info.getMember("worker", value.worker);
}

} // namespace flamingoseam
