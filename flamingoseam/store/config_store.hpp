#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam {

/// A record of the configuration store.
struct store_record {
    std::string key;
    std::string value;
    std::uint64_t version = 0;  ///< Version of this key; 1 after the first write.
    std::uint64_t revision = 0; ///< Revision of the whole store at the last write of this key.
    bool deleted = false;       ///< True only in watch events, for a key that was deleted.
};

/// The result of a compare-and-swap.
struct swap_result {
    bool swapped = false;
    store_record current; ///< The record after the call, written or not.
};

/// The records returned by a watch or a list.
struct store_events {
    std::uint64_t revision = 0; ///< All changes up to this revision are included.
    std::vector<store_record> records;
};

/// The request of a compare-and-swap.
struct swap_request {
    std::string key;
    std::string value;
    std::uint64_t expected_version = 0; ///< 0 when the key must not exist.
    std::string lease; ///< The key is deleted when this lease ends; empty for none.
};

/// Interface to the platform's key-value service. Every call throws transport_error (id 304) if the
/// store is down or does not respond; a write may have taken effect nevertheless.
class config_store {
public:
    virtual ~config_store() = default;

    /// Returns the record of a key, or no value if the key does not exist.
    virtual std::optional<store_record> get(const std::string& key) = 0;

    /// Returns every record whose key begins with `prefix`.
    virtual store_events list(const std::string& prefix) = 0;

    /// Writes a key if its current version equals the expected version.
    virtual swap_result compare_and_swap(const swap_request& request) = 0;

    /// Grants a lease if `id` is empty, otherwise renews lease `id`. Returns the lease id, or an
    /// empty string if the lease has expired.
    virtual std::string keep_alive(const std::string& id, milliseconds time_to_live) = 0;

    /// Waits until a key under `prefix` changes after `revision`, for at most `wait`, and returns
    /// the changes.
    virtual store_events watch(const std::string& prefix, std::uint64_t revision,
                               milliseconds wait) = 0;
};

/// Computes the next value from the current record; returns no value to leave the record unchanged.
using record_change =
    std::function<std::optional<std::string>(const std::optional<store_record>& current)>;

/// The result of update_record().
enum class update_state {
    written,   ///< The new value was written.
    unchanged, ///< `change` returned no value, so nothing was written.
    unknown,   ///< No confirmed write before the deadline; one may have taken effect.
};

/// Reads a record, changes it and writes it back. Retries after each write conflict and each lost
/// response until the value is written or `deadline` has passed. `change` must recognise its own
/// earlier write (by a change id or an epoch in the value), because a lost response is followed by
/// another read. Complexity: two store calls without a conflict.
update_state update_record(config_store& store, const std::string& key, const record_change& change,
                           time_point deadline);

} // namespace flamingoseam
