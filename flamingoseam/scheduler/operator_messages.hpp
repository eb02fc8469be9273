#pragma once

#include "flamingoseam/contract/contract.hpp"
#include "flamingoseam/core/resources.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// The response to a request to apply a contract: the contract that is stored now, and the
/// schedulers on which it is in force.
struct apply_answer {
    bool applied = false;
    std::string message;
    contract current;                     ///< The stored contract.
    std::vector<std::string> differences; ///< Between the current and the requested contract.
    int in_force_on = 0;                  ///< Number of schedulers that have the new version.
    std::vector<std::string> unconfirmed; ///< Schedulers that have not confirmed the new version.
};

/// Summary of one shard. All members but `shard`, `owner` and `epoch` are known only to its owner.
struct shard_summary {
    std::string shard;
    std::string owner;
    std::uint64_t epoch = 0;
    bool recovering = false;
    std::int64_t workers = 0;
    std::int64_t open_requests = 0;
    resources reserved;
    resources capacity;
};

/// Summary of the cell as one scheduler has recorded it.
struct cell_summary {
    std::string scheduler;
    bool store_available = false;
    std::uint64_t contract_revision = 0;
    std::vector<std::string> members;
    std::vector<shard_summary> shards;
};

/// The body of an error response of the operator API.
struct operator_error {
    std::string reason;
    std::string detail;
};

void operator<<=(cxxtools::SerializationInfo& info, const apply_answer& value);
void operator>>=(const cxxtools::SerializationInfo& info, apply_answer& value);
void operator<<=(cxxtools::SerializationInfo& info, const shard_summary& value);
void operator>>=(const cxxtools::SerializationInfo& info, shard_summary& value);
void operator<<=(cxxtools::SerializationInfo& info, const cell_summary& value);
void operator>>=(const cxxtools::SerializationInfo& info, cell_summary& value);
void operator<<=(cxxtools::SerializationInfo& info, const operator_error& value);
void operator>>=(const cxxtools::SerializationInfo& info, operator_error& value);

} // namespace flamingoseam
