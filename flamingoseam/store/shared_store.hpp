#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam {

/// A record with the store's revision of its last change.
struct shared_record {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false; ///< True in watch events only.
};

/// Some records in the order of their keys.
struct shared_page {
    std::vector<shared_record> records;
    bool has_more = false;      ///< The next page begins after the last key.
    std::uint64_t revision = 0; ///< Of the whole store.
};

/// Changes that are made together or not at all.
struct shared_transaction {
    struct condition {
        std::string key;
        std::uint64_t revision = 0; ///< 0 when the key must not exist.
    };
    struct write {
        std::string key;
        std::string value;
        std::uint64_t lease = 0; ///< The key vanishes with this lease; 0 for none.
    };
    std::vector<condition> conditions;
    std::vector<write> writes;
    std::vector<std::string> removals;
};

/// What became of a transaction.
struct shared_result {
    bool applied = false;
    bool lease_ended = false;               ///< Not applied since a lease is no more.
    std::uint64_t revision = 0;             ///< Of the changes that were made.
    std::vector<shared_record> conflicting; ///< The conditions' records as they stand.
};

/// What a watch delivers.
struct shared_changes {
    bool history_lost = false; ///< Some changes were missed; the records have to be read anew.
    std::uint64_t revision = 0;
    std::vector<shared_record> records;
};

/// A key-value service with transactions, leases and watches, as one thread uses it. Every call
/// throws transport_error when there is no answer; a change may then have been made, and may still
/// be made seconds later if its conditions hold. transport_error::sent() is false when the store
/// has refused the call, so that nothing was done.
class shared_store {
public:
    virtual ~shared_store() = default;

    /// Returns a record, none when the key does not exist.
    virtual std::optional<shared_record> get(const std::string& key) = 0;

    /// Returns records whose keys begin with `prefix` and come after `after`.
    virtual shared_page list(const std::string& prefix, const std::string& after) = 0;

    /// Makes all changes if every condition holds.
    virtual shared_result commit(const shared_transaction& changes, milliseconds timeout) = 0;

    /// Waits up to `wait` for changes below `prefix` after `revision`.
    virtual shared_changes watch(const std::string& prefix, std::uint64_t revision,
                                 milliseconds wait) = 0;

    /// Returns a new lease.
    virtual std::uint64_t grant_lease(milliseconds time_to_live) = 0;

    /// Renews a lease; returns false when it has ended.
    virtual bool renew_lease(std::uint64_t lease) = 0;

    /// Ends a lease; its keys vanish.
    virtual void end_lease(std::uint64_t lease) = 0;
};

/// Makes a store for one more thread.
using shared_store_factory = std::function<std::unique_ptr<shared_store>()>;

/// Returns all records whose keys begin with `prefix`, page by page. The pages are no snapshot.
/// `revision` becomes that of the first page, so that a watch from there misses nothing.
std::vector<shared_record> list_all(shared_store& store, const std::string& prefix,
                                    std::uint64_t& revision);

} // namespace flamingoseam
