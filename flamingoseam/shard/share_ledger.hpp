#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoseam {

/// A customer's whole ceiling in millionths. All shards together have this much.
inline constexpr std::int64_t whole_share = 1'000'000;

/// A transfer of part of a customer's ceiling from one shard to another.
struct share_transfer {
    std::string id; ///< Unique; created by the receiver.
    std::string customer;
    std::string from_shard;
    std::string to_shard;
    std::int64_t parts = 0; ///< Millionths of the customer's ceiling.

    bool operator==(const share_transfer&) const = default;
};

/// Tracks which share of each customer's ceiling one shard may use, in millionths (`parts`). The
/// sum over all shards never exceeds a million, because a transfer is subtracted from the giver's
/// ledger, and that ledger is stored, before the receiver may add it. Limits are computed from the
/// newest version of the contract, so a contract change needs no change to the ledgers.
class share_ledger {
public:
    /// Creates a ledger with `initial` millionths of every customer's ceiling.
    explicit share_ledger(std::int64_t initial) : initial_(initial) {}

    /// Creates a ledger with no initial share.
    share_ledger() = default;

    /// Returns the millionths of the customer's ceiling that this shard may use.
    /// Complexity: logarithmic in the number of customers.
    [[nodiscard]] std::int64_t parts_of(const std::string& customer) const;

    /// Subtracts up to `request.parts`, at most `spare`, and returns how much was subtracted.
    /// Idempotent: the same id returns the same result again. `spare` is how much this shard does
    /// not need.
    std::int64_t give(const share_transfer& request, std::int64_t spare);

    /// Adds a transfer to this shard. Idempotent: copies with the same id change nothing. Returns
    /// whether the transfer was new.
    bool receive(const share_transfer& transfer);

    /// Deletes a given transfer after its receiver has stored a ledger that contains it.
    void confirm(const std::string& transfer_id);

    /// Returns the given transfers that are not confirmed yet. Complexity: linear.
    [[nodiscard]] std::vector<share_transfer> unconfirmed() const;

    /// Deletes transfers whose id was created before `before`. A giver no longer offers transfers
    /// this old. Those not confirmed by then stay unused, which keeps the sum below the ceiling.
    void forget_older_than(wall_time before);

    bool operator==(const share_ledger&) const = default;

    friend void operator<<=(cxxtools::SerializationInfo& info, const share_ledger& value);
    friend void operator>>=(const cxxtools::SerializationInfo& info, share_ledger& value);

private:
    std::int64_t initial_ = 0;
    std::map<std::string, std::int64_t> changes_;  ///< Difference from `initial_` by customer.
    std::map<std::string, share_transfer> given_;  ///< Unconfirmed transfers by id.
    std::map<std::string, std::int64_t> received_; ///< Received parts by transfer id.
};

void operator<<=(cxxtools::SerializationInfo& info, const share_transfer& value);
void operator>>=(const cxxtools::SerializationInfo& info, share_transfer& value);

/// Returns `parts` millionths of `whole`, rounded down in each field.
resources amount_of(const resources& whole, std::int64_t parts);

/// Returns the smallest number of millionths of `whole` that covers `need`, or whole_share + 1 when
/// `whole` does not cover it.
std::int64_t parts_for(const resources& need, const resources& whole);

} // namespace flamingoseam
