#pragma once

#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/peer/scheduler_service.hpp"
#include "flamingoseam/store/config_store.hpp"

#include <cxxtools/serializationinfo.h>

#include <optional>
#include <string>

namespace flamingoseam {

/// Everything below this prefix is watched by every scheduler: members, owners, contracts.
inline const std::string watched_prefix = "fs/c/";
inline const std::string member_prefix = "fs/c/members/";
inline const std::string shard_prefix = "fs/c/shards/";
inline const std::string contract_prefix = "fs/c/contracts/";
inline const std::string history_prefix = "fs/h/";
inline const std::string journal_prefix = "fs/j/";

/// The store's record of who owns a shard.
struct shard_record {
    shard_entry entry;
    std::string claim; ///< Made anew for each attempt to take the shard; recognises a lost answer.
};

void operator<<=(cxxtools::SerializationInfo& info, const shard_record& value);
void operator>>=(const cxxtools::SerializationInfo& info, shard_record& value);

/// Returns the last part of a key, after its prefix.
std::string name_in_key(const std::string& key, const std::string& prefix);

/// Takes ownership of a shard with the next epoch if `may_take` agrees to the current owner.
/// Returns the new entry, none when the owner stays or the store failed until `deadline`.
std::optional<shard_entry>
take_shard(config_store& store, const shard_entry& wanted,
           const std::function<bool(const std::string& current_owner)>& may_take,
           time_point deadline);

/// Gives a shard up if it is still owned under `epoch`. Returns whether it is given up or was not
/// owned any more.
bool release_shard(config_store& store, const shard_entry& owned, time_point deadline);

} // namespace flamingoseam
