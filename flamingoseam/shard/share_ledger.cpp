#include "flamingoseam/shard/share_ledger.hpp"

#include "flamingoseam/job/request_id.hpp"

#include <algorithm>
#include <array>

namespace flamingoseam {

namespace {

std::int64_t field_amount(std::int64_t whole, std::int64_t parts)
{
    return static_cast<std::int64_t>(static_cast<__int128>(whole) * parts / whole_share);
}

std::int64_t field_parts(std::int64_t need, std::int64_t whole)
{
    if (need <= 0) {
        return 0;
    }
    if (need > whole) {
        return whole_share + 1;
    }
    const auto product = static_cast<__int128>(need) * whole_share;
    return static_cast<std::int64_t>((product + whole - 1) / whole);
}

} // namespace

std::int64_t share_ledger::parts_of(const std::string& customer) const
{
    const auto found = changes_.find(customer);
    return initial_ + (found == changes_.end() ? 0 : found->second);
}

std::int64_t share_ledger::give(const share_transfer& request, std::int64_t spare)
{
    const auto earlier = given_.find(request.id);
    if (earlier != given_.end()) {
        return earlier->second.parts;
    }
    const auto available = std::min(spare, parts_of(request.customer));
    const auto parts = std::min(request.parts, available);
    if (parts <= 0) {
        return 0;
    }
    changes_[request.customer] -= parts;
    auto transfer = request;
    transfer.parts = parts;
    given_[request.id] = transfer;
    return parts;
}

bool share_ledger::receive(const share_transfer& transfer)
{
    if (transfer.parts <= 0 || !received_.emplace(transfer.id, transfer.parts).second) {
        return false;
    }
    changes_[transfer.customer] += transfer.parts;
    return true;
}

void share_ledger::confirm(const std::string& transfer_id)
{
    given_.erase(transfer_id);
}

std::vector<share_transfer> share_ledger::unconfirmed() const
{
    std::vector<share_transfer> transfers;
    for (const auto& [id, transfer] : given_) {
        transfers.push_back(transfer);
    }
    return transfers;
}

void share_ledger::forget_older_than(wall_time before)
{
    const auto is_old = [before](const auto& entry) {
        const auto created = time_of_request_id(entry.first);
        return created && *created < before;
    };
    std::erase_if(given_, is_old);
    std::erase_if(received_, is_old);
}

void operator<<=(cxxtools::SerializationInfo& info, const share_transfer& value)
{
    info.addMember("id") <<= value.id;
    info.addMember("customer") <<= value.customer;
    info.addMember("from") <<= value.from_shard;
    info.addMember("to") <<= value.to_shard;
    info.addMember("parts") <<= value.parts;
}

void operator>>=(const cxxtools::SerializationInfo& info, share_transfer& value)
{
    info.getMember("id") >>= value.id;
    info.getMember("customer") >>= value.customer;
    info.getMember("from") >>= value.from_shard;
    info.getMember("to") >>= value.to_shard;
    info.getMember("parts") >>= value.parts;
}

void operator<<=(cxxtools::SerializationInfo& info, const share_ledger& value)
{
    info.addMember("initial") <<= value.initial_;
    info.addMember("changes") <<= value.changes_;
    info.addMember("given") <<= value.given_;
    info.addMember("received") <<= value.received_;
}

void operator>>=(const cxxtools::SerializationInfo& info, share_ledger& value)
{
    info.getMember("initial") >>= value.initial_;
    info.getMember("changes", value.changes_);
    info.getMember("given", value.given_);
    info.getMember("received", value.received_);
}

resources amount_of(const resources& whole, std::int64_t parts)
{
    return {field_amount(whole.milli_cpus, parts), field_amount(whole.memory_mb, parts),
            field_amount(whole.accelerators, parts), field_amount(whole.slots, parts)};
}

std::int64_t parts_for(const resources& need, const resources& whole)
{
    return std::max({field_parts(need.milli_cpus, whole.milli_cpus),
                     field_parts(need.memory_mb, whole.memory_mb),
                     field_parts(need.accelerators, whole.accelerators),
                     field_parts(need.slots, whole.slots)});
}

} // namespace flamingoseam
