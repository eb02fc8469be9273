#include "flamingoseam/store/messages.hpp"

#include "flamingoseam/http/json.hpp"

namespace flamingoseam {

void operator<<=(cxxtools::SerializationInfo& info, const store_record& value)
{
    detail::put_text(info, "key", value.key);
    detail::put_text(info, "value", value.value);
    info.addMember("version") <<= value.version;
    info.addMember("revision") <<= value.revision;
    info.addMember("deleted") <<= value.deleted;
}

void operator>>=(const cxxtools::SerializationInfo& info, store_record& value)
{
    detail::get_text(info, "key", value.key);
    detail::get_text(info, "value", value.value);
    info.getMember("version", value.version);
    info.getMember("revision", value.revision);
    info.getMember("deleted", value.deleted);
}

void operator<<=(cxxtools::SerializationInfo& info, const swap_result& value)
{
    info.addMember("swapped") <<= value.swapped;
    info.addMember("current") <<= value.current;
}

void operator>>=(const cxxtools::SerializationInfo& info, swap_result& value)
{
    info.getMember("swapped") >>= value.swapped;
    info.getMember("current") >>= value.current;
}

void operator<<=(cxxtools::SerializationInfo& info, const swap_request& value)
{
    detail::put_text(info, "key", value.key);
    detail::put_text(info, "value", value.value);
    info.addMember("expected_version") <<= value.expected_version;
    info.addMember("lease") <<= value.lease;
}

void operator>>=(const cxxtools::SerializationInfo& info, swap_request& value)
{
    detail::get_text(info, "key", value.key);
    detail::get_text(info, "value", value.value);
    info.getMember("expected_version") >>= value.expected_version;
    info.getMember("lease", value.lease);
}

void operator<<=(cxxtools::SerializationInfo& info, const store_events& value)
{
    info.addMember("revision") <<= value.revision;
    info.addMember("records") <<= value.records;
}

void operator>>=(const cxxtools::SerializationInfo& info, store_events& value)
{
    info.getMember("revision") >>= value.revision;
    info.getMember("records", value.records);
}

void operator<<=(cxxtools::SerializationInfo& info, const get_response& value)
{
    info.addMember("found") <<= value.found;
    info.addMember("record") <<= value.record;
}

void operator>>=(const cxxtools::SerializationInfo& info, get_response& value)
{
    info.getMember("found") >>= value.found;
    info.getMember("record") >>= value.record;
}

void operator<<=(cxxtools::SerializationInfo& info, const lease_message& value)
{
    info.addMember("id") <<= value.id;
    info.addMember("ttl_ms") <<= static_cast<std::int64_t>(value.time_to_live.count());
}

void operator>>=(const cxxtools::SerializationInfo& info, lease_message& value)
{
    std::int64_t ttl_ms = 0;
    info.getMember("id", value.id);
    info.getMember("ttl_ms", ttl_ms);
    value.time_to_live = milliseconds(ttl_ms);
}

} // namespace flamingoseam
