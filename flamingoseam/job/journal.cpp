#include "flamingoseam/job/journal.hpp"

namespace flamingoseam {

void operator<<=(cxxtools::SerializationInfo& info, const journal_job& value)
{
    info.addMember("request") <<= value.request;
    info.addMember("content_hash") <<= value.content_hash;
    info.addMember("opened") <<= value.opened;
    info.addMember("phases") <<= value.phases;
    info.addMember("submitted_ms") <<= static_cast<std::int64_t>(value.submitted.count());
    info.addMember("ended_ms") <<= static_cast<std::int64_t>(value.ended.count());
    info.addMember("cancelled") <<= value.cancelled;
}

void operator>>=(const cxxtools::SerializationInfo& info, journal_job& value)
{
    std::int64_t submitted_ms = 0;
    std::int64_t ended_ms = 0;
    info.getMember("request") >>= value.request;
    info.getMember("content_hash") >>= value.content_hash;
    info.getMember("opened") >>= value.opened;
    info.getMember("phases") >>= value.phases;
    info.getMember("submitted_ms", submitted_ms);
    info.getMember("ended_ms", ended_ms);
    info.getMember("cancelled", value.cancelled);
    value.submitted = wall_time(submitted_ms);
    value.ended = wall_time(ended_ms);
}

void operator<<=(cxxtools::SerializationInfo& info, const leased_worker& value)
{
    info.addMember("address") <<= value.address;
    info.addMember("capacity") <<= value.capacity;
}

void operator>>=(const cxxtools::SerializationInfo& info, leased_worker& value)
{
    info.getMember("address") >>= value.address;
    info.getMember("capacity") >>= value.capacity;
}

void operator<<=(cxxtools::SerializationInfo& info, const journal_record& value)
{
    info.addMember("epoch") <<= value.epoch;
    info.addMember("sequence") <<= value.sequence;
    info.addMember("owner") <<= value.owner;
    info.addMember("jobs") <<= value.jobs;
    info.addMember("shares") <<= value.shares;
    info.addMember("roster") <<= value.leased_workers;
}

void operator>>=(const cxxtools::SerializationInfo& info, journal_record& value)
{
    info.getMember("epoch") >>= value.epoch;
    info.getMember("sequence", value.sequence);
    info.getMember("owner", value.owner);
    info.getMember("jobs", value.jobs);
    info.getMember("shares") >>= value.shares;
    info.getMember("roster", value.leased_workers);
}

} // namespace flamingoseam
