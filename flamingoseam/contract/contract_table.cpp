#include "flamingoseam/contract/contract_table.hpp"

#include <algorithm>

namespace flamingoseam {

bool contract_table::apply(const contract_record& record)
{
    const auto found = records_.find(record.value.customer);
    if (found != records_.end() && found->second.value.version >= record.value.version) {
        return false;
    }
    records_[record.value.customer] = record;
    revision_ = std::max(revision_, record.revision);
    return true;
}

const contract* contract_table::find(const std::string& customer) const
{
    const auto found = records_.find(customer);
    return found == records_.end() ? nullptr : &found->second.value;
}

std::vector<contract_record> contract_table::since(std::uint64_t revision) const
{
    std::vector<contract_record> newer;
    for (const auto& [customer, record] : records_) {
        if (record.revision > revision) {
            newer.push_back(record);
        }
    }
    return newer;
}

std::vector<contract> contract_table::all() const
{
    std::vector<contract> contracts;
    contracts.reserve(records_.size());
    for (const auto& [customer, record] : records_) {
        contracts.push_back(record.value);
    }
    return contracts;
}

} // namespace flamingoseam
