#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam {

/// One record of the configuration store.
struct store_record {
    std::string key;
    std::string value;
    std::uint64_t version = 0;  ///< Of this key; 1 after the first write.
    std::uint64_t revision = 0; ///< Of the whole store at the last write of this key.
    bool deleted = false;       ///< True in watch events only.
};

/// The result of a compare-and-swap.
struct swap_result {
    bool swapped = false;
    store_record current; ///< The record as it stands after the call.
};

/// What a watch or a list delivers.
struct store_events {
    std::uint64_t revision = 0; ///< Everything up to this revision is in.
    std::vector<store_record> records;
};

/// A compare-and-swap as it is sent to the store.
struct swap_request {
    std::string key;
    std::string value;
    std::uint64_t expected_version = 0; ///< 0 when the key must not exist.
    std::string lease;                  ///< The key vanishes with this lease; empty for none.
};

/// The platform's key-value service. Every call throws transport_error (id 304) when the store is
/// down or silent; a write may then have taken effect all the same.
class config_store {
public:
    virtual ~config_store() = default;

    /// Returns the record of a key, none when it does not exist.
    virtual std::optional<store_record> get(const std::string& key) = 0;

    /// Returns every record whose key begins with `prefix`.
    virtual store_events list(const std::string& prefix) = 0;

    /// Writes a key if its version is the expected one.
    virtual swap_result compare_and_swap(const swap_request& request) = 0;

    /// Grants a lease (empty `id`) or renews one; returns its id, empty when it had lapsed.
    virtual std::string keep_alive(const std::string& id, milliseconds time_to_live) = 0;

    /// Waits until a key below `prefix` changes after `revision` or `wait` has passed.
    virtual store_events watch(const std::string& prefix, std::uint64_t revision,
                               milliseconds wait) = 0;
};

/// Makes the next value from the current record; no value leaves the record as it is.
using record_change =
    std::function<std::optional<std::string>(const std::optional<store_record>& current)>;

/// Whether an update stands in the store.
enum class update_state {
    written,  ///< The new value stands.
    unneeded, ///< `change` returned no value.
    unknown,  ///< The store failed; the write may have taken effect.
};

/// Reads a record, changes it and writes it back, again after each lost race and each lost answer,
/// until it stands or `deadline` has passed. `change` must recognise its own earlier write (by a
/// change id or an epoch in the value), for a lost answer is followed by a read.
/// Complexity: two store calls without a race.
update_state update_record(config_store& store, const std::string& key, const record_change& change,
                           time_point deadline);

} // namespace flamingoseam
