#pragma once

#include "flamingoseam/contract/contract.hpp"
#include "flamingoseam/core/resources.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// The answer to an apply: what stands now and where it is in force.
struct apply_answer {
    bool applied = false;
    std::string message;
    contract current;                     ///< The contract as the store has it.
    std::vector<std::string> differences; ///< Between the current and the wanted contract.
    int in_force_on = 0;                  ///< Schedulers that have the new version.
    std::vector<std::string> unconfirmed; ///< Schedulers that have not confirmed it.
};

/// One shard as its owner sees it.
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

/// The cell as one scheduler sees it.
struct cell_summary {
    std::string scheduler;
    bool store_available = false;
    std::uint64_t contract_revision = 0;
    std::vector<std::string> members;
    std::vector<shard_summary> shards;
};

/// An error as the operators' interface answers it.
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
