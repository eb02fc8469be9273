#pragma once

#include "flamingoseam/job/journal.hpp"
#include "flamingoseam/store/config_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace flamingoseam {

/// A journal record together with its version in the store.
struct stored_journal {
    journal_record record;
    std::uint64_t version = 0;
};

/// Writes the epoch of a new owner into the journal of a shard and returns the journal. After that
/// every write by an earlier owner fails, so the new owner can't miss a job that an earlier owner
/// accepts. Returns none if a newer owner has already fenced the journal or if the store failed
/// until `deadline`.
std::optional<stored_journal> fence_journal(config_store& store, const std::string& shard,
                                            std::uint64_t epoch, const std::string& owner,
                                            std::int64_t initial_share, time_point deadline);

/// Result of a journal write.
enum class journal_write {
    written, ///< The record is stored.
    lost,    ///< A newer owner has fenced the journal.
    failed,  ///< The store did not answer; the record may have been stored.
};

/// Tries once to replace version `version` of the record and sets `version` to the new version if
/// the record is stored. An earlier write whose answer was lost is recognised by its sequence.
journal_write write_journal(config_store& store, const std::string& shard,
                            const journal_record& record, std::uint64_t& version);

} // namespace flamingoseam
