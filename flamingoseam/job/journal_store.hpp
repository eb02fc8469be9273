#pragma once

#include "flamingoseam/job/journal.hpp"
#include "flamingoseam/store/config_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace flamingoseam {

/// A journal record with the store's version of it.
struct stored_journal {
    journal_record record;
    std::uint64_t version = 0;
};

/// Writes a new owner's epoch into a shard's journal and returns what it holds. From then on a
/// write by an earlier owner fails, so nothing that it accepts later can be missed.
/// Returns none when a newer owner was there first or the store failed until `deadline`.
std::optional<stored_journal> fence_journal(config_store& store, const std::string& shard,
                                            std::uint64_t epoch, const std::string& owner,
                                            std::int64_t initial_share, time_point deadline);

/// What became of a journal write.
enum class journal_write {
    written, ///< The record stands.
    lost,    ///< A newer owner has fenced the journal.
    failed,  ///< The store did not answer; the record may stand.
};

/// Tries once to write a record in place of version `version`, which becomes the new version when
/// the record stands. An earlier write whose answer was lost is recognised by its sequence.
journal_write write_journal(config_store& store, const std::string& shard,
                            const journal_record& record, std::uint64_t& version);

} // namespace flamingoseam
