#include "flamingoseam/worker/messages.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

namespace flamingoseam {

std::string_view to_string(task_state value)
{
    switch (value) {
    case task_state::running:
        return "running";
    case task_state::finished:
        return "finished";
    case task_state::failed:
        return "failed";
    case task_state::stopped:
        return "stopped";
    case task_state::checkpointed:
        break;
    }
    return "checkpointed";
}

task_state task_state_from_string(std::string_view text)
{
    for (const auto value : {task_state::running, task_state::finished, task_state::failed,
                             task_state::stopped, task_state::checkpointed}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    throw parse_error(106, "'" + std::string(text) + "' is not a task state");
}

std::string_view to_string(task_control value)
{
    switch (value) {
    case task_control::stop:
        return "stop";
    case task_control::checkpoint:
        return "checkpoint";
    case task_control::throttle:
        break;
    }
    return "throttle";
}

task_control task_control_from_string(std::string_view text)
{
    for (const auto value :
         {task_control::stop, task_control::checkpoint, task_control::throttle}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    throw parse_error(107, "'" + std::string(text) + "' is none of stop, checkpoint, throttle");
}

void operator<<=(cxxtools::SerializationInfo& info, const task_start& value)
{
    info.addMember("task_id") <<= value.task_id;
    info.addMember("customer") <<= value.customer;
    info.addMember("request_id") <<= value.request_id;
    info.addMember("index") <<= value.index;
    info.addMember("class") <<= std::string(to_string(value.cls));
    info.addMember("kind") <<= value.kind;
    detail::put_text(info, "payload", value.payload);
    info.addMember("traceparent") <<= value.traceparent;
    info.addMember("size") <<= value.size;
    info.addMember("idempotent") <<= value.idempotent;
}

void operator>>=(const cxxtools::SerializationInfo& info, task_start& value)
{
    std::string cls;
    info.getMember("task_id") >>= value.task_id;
    info.getMember("customer", value.customer);
    info.getMember("request_id", value.request_id);
    info.getMember("index", value.index);
    info.getMember("class") >>= cls;
    value.cls = work_class_from_string(cls);
    info.getMember("kind", value.kind);
    detail::get_text(info, "payload", value.payload);
    info.getMember("traceparent", value.traceparent);
    info.getMember("size") >>= value.size;
    info.getMember("idempotent", value.idempotent);
}

void operator<<=(cxxtools::SerializationInfo& info, const task_control_request& value)
{
    info.addMember("task_id") <<= value.task_id;
    info.addMember("control") <<= std::string(to_string(value.control));
}

void operator>>=(const cxxtools::SerializationInfo& info, task_control_request& value)
{
    std::string control;
    info.getMember("task_id") >>= value.task_id;
    info.getMember("control") >>= control;
    value.control = task_control_from_string(control);
}

void operator<<=(cxxtools::SerializationInfo& info, const worker_command& value)
{
    info.addMember("shard") <<= value.shard;
    info.addMember("owner") <<= value.owner;
    info.addMember("epoch") <<= value.epoch;
    info.addMember("incarnation") <<= value.incarnation;
    info.addMember("session") <<= value.session;
    info.addMember("lease_ms") <<= static_cast<std::int64_t>(value.lease.count());
    info.addMember("answered") <<= value.answered;
    info.addMember("starts") <<= value.starts;
    info.addMember("stops") <<= value.stops;
    info.addMember("report") <<= value.report;
}

void operator>>=(const cxxtools::SerializationInfo& info, worker_command& value)
{
    std::int64_t lease_ms = 0;
    info.getMember("shard", value.shard);
    info.getMember("owner", value.owner);
    info.getMember("epoch") >>= value.epoch;
    info.getMember("incarnation", value.incarnation);
    info.getMember("session") >>= value.session;
    info.getMember("lease_ms") >>= lease_ms;
    info.getMember("answered", value.answered);
    value.lease = milliseconds(lease_ms);
    info.getMember("starts", value.starts);
    info.getMember("stops", value.stops);
    info.getMember("report", value.report);
}

void operator<<=(cxxtools::SerializationInfo& info, const start_result& value)
{
    info.addMember("task_id") <<= value.task_id;
    info.addMember("started") <<= value.started;
    info.addMember("reason") <<= value.reason;
}

void operator>>=(const cxxtools::SerializationInfo& info, start_result& value)
{
    info.getMember("task_id") >>= value.task_id;
    info.getMember("started") >>= value.started;
    info.getMember("reason", value.reason);
}

void operator<<=(cxxtools::SerializationInfo& info, const task_report& value)
{
    info.addMember("task") <<= value.task;
    info.addMember("state") <<= std::string(to_string(value.state));
    detail::put_text(info, "output", value.output);
}

void operator>>=(const cxxtools::SerializationInfo& info, task_report& value)
{
    std::string state;
    info.getMember("task") >>= value.task;
    info.getMember("state") >>= state;
    value.state = task_state_from_string(state);
    detail::get_text(info, "output", value.output);
}

void operator<<=(cxxtools::SerializationInfo& info, const command_response& value)
{
    info.addMember("accepted") <<= value.accepted;
    info.addMember("reason") <<= value.reason;
    info.addMember("epoch") <<= value.epoch;
    info.addMember("incarnation") <<= value.incarnation;
    info.addMember("capacity") <<= value.capacity;
    info.addMember("results") <<= value.results;
    info.addMember("tasks") <<= value.tasks;
    info.addMember("last_event") <<= value.last_event;
    info.addMember("contact") <<= value.contact;
}

void operator>>=(const cxxtools::SerializationInfo& info, command_response& value)
{
    info.getMember("accepted") >>= value.accepted;
    info.getMember("reason", value.reason);
    info.getMember("epoch", value.epoch);
    info.getMember("incarnation", value.incarnation);
    info.getMember("capacity", value.capacity);
    info.getMember("results", value.results);
    info.getMember("tasks", value.tasks);
    info.getMember("last_event", value.last_event);
    info.getMember("contact", value.contact);
}

void operator<<=(cxxtools::SerializationInfo& info, const task_event& value)
{
    info.addMember("sequence") <<= value.sequence;
    info.addMember("task_id") <<= value.task_id;
    info.addMember("state") <<= std::string(to_string(value.state));
    detail::put_text(info, "output", value.output);
    info.addMember("usage") <<= value.usage;
    info.addMember("run_ms") <<= static_cast<std::int64_t>(value.run_time.count());
}

void operator>>=(const cxxtools::SerializationInfo& info, task_event& value)
{
    std::string state;
    std::int64_t run_ms = 0;
    info.getMember("sequence") >>= value.sequence;
    info.getMember("task_id") >>= value.task_id;
    info.getMember("state") >>= state;
    value.state = task_state_from_string(state);
    detail::get_text(info, "output", value.output);
    info.getMember("usage", value.usage);
    info.getMember("run_ms", run_ms);
    value.run_time = milliseconds(run_ms);
}

void operator<<=(cxxtools::SerializationInfo& info, const event_batch& value)
{
    info.addMember("accepted") <<= value.accepted;
    info.addMember("incarnation") <<= value.incarnation;
    info.addMember("contact") <<= value.contact;
    info.addMember("events") <<= value.events;
}

void operator>>=(const cxxtools::SerializationInfo& info, event_batch& value)
{
    info.getMember("accepted") >>= value.accepted;
    info.getMember("incarnation", value.incarnation);
    info.getMember("contact", value.contact);
    info.getMember("events", value.events);
}

} // namespace flamingoseam
