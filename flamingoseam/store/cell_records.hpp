#pragma once

#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/peer/scheduler_service.hpp"
#include "flamingoseam/store/config_store.hpp"

#include <cxxtools/serializationinfo.h>

#include <optional>
#include <string>

namespace flamingoseam {

/// Every scheduler watches all keys under this prefix: members, shard owners and contracts.
inline const std::string watched_prefix = "fs/c/";
inline const std::string member_prefix = "fs/c/members/";
inline const std::string shard_prefix = "fs/c/shards/";
inline const std::string contract_prefix = "fs/c/contracts/";
inline const std::string history_prefix = "fs/h/";
inline const std::string journal_prefix = "fs/j/";

/// The store's record of the owner of a shard.
struct shard_record {
    shard_entry entry;
    std::string claim; ///< Unique per attempt to claim the shard. After a lost response it shows
                       ///< whether the attempt was applied.
};

void operator<<=(cxxtools::SerializationInfo& info, const shard_record& value);
void operator>>=(const cxxtools::SerializationInfo& info, shard_record& value);

/// Returns the part of a key that follows its prefix.
std::string name_in_key(const std::string& key, const std::string& prefix);

/// Claims ownership of a shard under the next epoch if `may_claim` returns true for the current
/// owner. Returns the new entry, or no value if the owner is unchanged or the store did not respond
/// before `deadline`.
std::optional<shard_entry>
claim_shard(config_store& store, const shard_entry& proposed,
            const std::function<bool(const std::string& current_owner)>& may_claim,
            time_point deadline);

/// Releases a shard if its record still has the owner and the epoch of `owned`. Returns true if it
/// was released or its record no longer matched, false if the store did not respond before
/// `deadline`.
bool release_shard(config_store& store, const shard_entry& owned, time_point deadline);

} // namespace flamingoseam
