#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam {

/// A record with the store revision of its last change.
struct shared_record {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false; ///< True only in watch events, for a key that was removed.
};

/// A page of records, ordered by key.
struct shared_page {
    std::vector<shared_record> records;
    bool has_more = false;      ///< More records follow; the next page starts after the last key.
    std::uint64_t revision = 0; ///< Revision of the whole store.
};

/// Changes that are applied atomically.
struct shared_transaction {
    struct condition {
        std::string key;
        std::uint64_t revision = 0; ///< 0 when the key must not exist.
    };
    struct write {
        std::string key;
        std::string value;
        std::uint64_t lease = 0; ///< The key is removed when this lease ends; 0 for none.
    };
    std::vector<condition> conditions;
    std::vector<write> writes;
    std::vector<std::string> removals;
};

/// The result of a transaction.
struct shared_result {
    bool applied = false;
    bool lease_ended = false;               ///< Not applied, because a lease of a write has ended.
    std::uint64_t revision = 0;             ///< Store revision of the applied changes.
    std::vector<shared_record> conflicting; ///< Current records of the conditions' keys.
};

/// The times of a call to watch().
struct watch_times {
    milliseconds wait{1'000};         ///< How long the store holds the call while nothing changes.
    milliseconds answer_timeout{500}; ///< Time for the answer beyond the wait.
};

/// The changes returned by a watch.
struct shared_changes {
    bool history_lost = false; ///< Some changes were missed; the records must be read again.
    std::uint64_t revision = 0;
    std::vector<shared_record> records;
};

/// Interface to a key-value service with transactions, leases and watches. Not thread-safe; each
/// thread uses its own instance. Every call throws transport_error if no response arrives; a change
/// may have been applied nevertheless, or may be applied seconds later if its conditions still
/// hold. transport_error::sent() is false if the store refused the call; then nothing was done.
class shared_store {
public:
    virtual ~shared_store() = default;

    /// Returns the record of a key, or no value if the key does not exist.
    virtual std::optional<shared_record> get(const std::string& key) = 0;

    /// Returns a page of the records whose keys start with `prefix` and sort after `after`.
    virtual shared_page list(const std::string& prefix, const std::string& after) = 0;

    /// Applies all changes if every condition holds.
    virtual shared_result commit(const shared_transaction& changes, milliseconds timeout) = 0;

    /// Waits for changes under `prefix` after `revision` and returns them, or none after the wait.
    /// An answer without changes shows that there are none; silence shows nothing, since the
    /// connection of a waiting watch may be cut without a trace.
    virtual shared_changes watch(const std::string& prefix, std::uint64_t revision,
                                 watch_times times) = 0;

    /// Grants a lease and returns its id.
    virtual std::uint64_t grant_lease(milliseconds time_to_live) = 0;

    /// Renews a lease; returns false if it has ended.
    virtual bool renew_lease(std::uint64_t lease) = 0;

    /// Ends a lease, which removes its keys.
    virtual void end_lease(std::uint64_t lease) = 0;
};

/// Creates a store for use by one thread.
using shared_store_factory = std::function<std::unique_ptr<shared_store>()>;

/// Returns all records whose keys start with `prefix`, read page by page. The pages are not a
/// consistent snapshot. `revision` is set to the revision of the first page, so that a watch from
/// that revision misses no change.
std::vector<shared_record> list_all(shared_store& store, const std::string& prefix,
                                    std::uint64_t& revision);

} // namespace flamingoseam
