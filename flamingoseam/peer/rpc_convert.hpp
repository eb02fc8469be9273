#pragma once

#include "flamingoseam/peer/peer.capnp.h"
#include "flamingoseam/peer/scheduler_service.hpp"

namespace flamingoseam::detail {

void write(rpc::WorkRequest::Builder out, const work_request& value);
work_request read(rpc::WorkRequest::Reader in);
void write(rpc::Outcome::Builder out, const outcome& value);
outcome read(rpc::Outcome::Reader in);
void write(rpc::ShardEntry::Builder out, const shard_entry& value);
shard_entry read(rpc::ShardEntry::Reader in);
void write(rpc::ContractRecord::Builder out, const contract_record& value);
contract_record read(rpc::ContractRecord::Reader in);
void write(rpc::ShareGrant::Builder out, const share_transfer& value);
share_transfer read(rpc::ShareGrant::Reader in);

/// Writes a list, calling write() for each element.
template <typename Builder, typename Value> void write_list(Builder out, const Value& values)
{
    unsigned index = 0;
    for (const auto& value : values) {
        write(out[index++], value);
    }
}

/// Reads a list, calling read() for each element.
template <typename Value, typename Reader> std::vector<Value> read_list(Reader in)
{
    std::vector<Value> values;
    for (const auto& element : in) {
        values.push_back(read(element));
    }
    return values;
}

} // namespace flamingoseam::detail
