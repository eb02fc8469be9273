#pragma once

#include <cxxtools/serializationinfo.h>

#include <string>
#include <vector>

namespace flamingoseam {

/// A worker VM in the platform's list.
struct vm_entry {
    std::string address; ///< ADDRESS:PORT of the worker.
    std::string zone;
    std::string rack;
    bool leaving = false;
};

/// The platform's list of VMs, which may be out of date.
struct vm_list {
    std::vector<vm_entry> vms;
};

void operator<<=(cxxtools::SerializationInfo& info, const vm_entry& value);
void operator>>=(const cxxtools::SerializationInfo& info, vm_entry& value);
void operator<<=(cxxtools::SerializationInfo& info, const vm_list& value);
void operator>>=(const cxxtools::SerializationInfo& info, vm_list& value);

} // namespace flamingoseam
