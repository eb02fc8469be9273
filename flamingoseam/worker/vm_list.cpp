#include "flamingoseam/worker/vm_list.hpp"

namespace flamingoseam {

void operator<<=(cxxtools::SerializationInfo& info, const vm_entry& value)
{
    info.addMember("address") <<= value.address;
    info.addMember("zone") <<= value.zone;
    info.addMember("rack") <<= value.rack;
    info.addMember("leaving") <<= value.leaving;
}

void operator>>=(const cxxtools::SerializationInfo& info, vm_entry& value)
{
    info.getMember("address") >>= value.address;
    info.getMember("zone") >>= value.zone;
    info.getMember("rack") >>= value.rack;
    info.getMember("leaving", value.leaving);
}

void operator<<=(cxxtools::SerializationInfo& info, const vm_list& value)
{
    info.addMember("vms") <<= value.vms;
}

void operator>>=(const cxxtools::SerializationInfo& info, vm_list& value)
{
    info.getMember("vms", value.vms);
}

} // namespace flamingoseam
