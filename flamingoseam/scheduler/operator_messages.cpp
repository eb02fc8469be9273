#include "flamingoseam/scheduler/operator_messages.hpp"

#include "flamingoseam/http/json.hpp"

namespace flamingoseam {

void operator<<=(cxxtools::SerializationInfo& info, const apply_answer& value)
{
    info.addMember("applied") <<= value.applied;
    detail::put_text(info, "message", value.message);
    info.addMember("current") <<= value.current;
    info.addMember("differences") <<= value.differences;
    info.addMember("in_force_on") <<= value.in_force_on;
    info.addMember("unconfirmed") <<= value.unconfirmed;
}

void operator>>=(const cxxtools::SerializationInfo& info, apply_answer& value)
{
    info.getMember("applied") >>= value.applied;
    detail::get_text(info, "message", value.message);
    info.getMember("current", value.current);
    info.getMember("differences", value.differences);
    info.getMember("in_force_on", value.in_force_on);
    info.getMember("unconfirmed", value.unconfirmed);
}

void operator<<=(cxxtools::SerializationInfo& info, const shard_summary& value)
{
    info.addMember("shard") <<= value.shard;
    info.addMember("owner") <<= value.owner;
    info.addMember("epoch") <<= value.epoch;
    info.addMember("recovering") <<= value.recovering;
    info.addMember("workers") <<= value.workers;
    info.addMember("open_requests") <<= value.open_requests;
    info.addMember("reserved") <<= value.reserved;
    info.addMember("capacity") <<= value.capacity;
}

void operator>>=(const cxxtools::SerializationInfo& info, shard_summary& value)
{
    info.getMember("shard") >>= value.shard;
    info.getMember("owner") >>= value.owner;
    info.getMember("epoch") >>= value.epoch;
    info.getMember("recovering", value.recovering);
    info.getMember("workers", value.workers);
    info.getMember("open_requests", value.open_requests);
    info.getMember("reserved", value.reserved);
    info.getMember("capacity", value.capacity);
}

void operator<<=(cxxtools::SerializationInfo& info, const cell_summary& value)
{
    info.addMember("scheduler") <<= value.scheduler;
    info.addMember("store_available") <<= value.store_available;
    info.addMember("contract_revision") <<= value.contract_revision;
    info.addMember("members") <<= value.members;
    info.addMember("shards") <<= value.shards;
}

void operator>>=(const cxxtools::SerializationInfo& info, cell_summary& value)
{
    info.getMember("scheduler") >>= value.scheduler;
    info.getMember("store_available", value.store_available);
    info.getMember("contract_revision", value.contract_revision);
    info.getMember("members", value.members);
    info.getMember("shards", value.shards);
}

void operator<<=(cxxtools::SerializationInfo& info, const operator_error& value)
{
    info.addMember("reason") <<= value.reason;
    detail::put_text(info, "detail", value.detail);
}

void operator>>=(const cxxtools::SerializationInfo& info, operator_error& value)
{
    info.getMember("reason", value.reason);
    detail::get_text(info, "detail", value.detail);
}

} // namespace flamingoseam
