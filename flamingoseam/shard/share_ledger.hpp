#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoseam {

/// The whole of a customer's ceiling, divided over all shards.
inline constexpr std::int64_t whole_share = 1'000'000;

/// A part of a customer's ceiling on its way from one shard to another.
struct share_transfer {
    std::string id; ///< Made by the receiver; unique.
    std::string customer;
    std::string from_shard;
    std::string to_shard;
    std::int64_t parts = 0; ///< Millionths of the customer's ceiling.

    bool operator==(const share_transfer&) const = default;
};

/// The millionths of each customer's ceiling that one shard may use. Over all shards they never add
/// up to more than a million, for a transfer is taken off the giver's ledger, and that ledger is in
/// the store, before the receiver may add it. Limits in force follow from the contract's newest
/// version at any time, so a contract change needs no change of ledgers.
class share_ledger {
public:
    /// `initial` is what this shard has of every customer before any transfer, in millionths.
    explicit share_ledger(std::int64_t initial) : initial_(initial) {}

    /// A ledger of a shard that has nothing but what it is given.
    share_ledger() = default;

    /// Returns the parts that this shard may use. Complexity: logarithmic in customers.
    [[nodiscard]] std::int64_t parts_of(const std::string& customer) const;

    /// Gives up to `request.parts` of what is not needed and returns what was given. The same id
    /// gets the same answer again. `spare` is how many parts the giver can do without.
    std::int64_t give(const share_transfer& request, std::int64_t spare);

    /// Adds a transfer to this shard once; later copies change nothing. Returns whether it was new.
    bool receive(const share_transfer& transfer);

    /// Drops a transfer that its receiver has in its ledger in the store.
    void confirm(const std::string& transfer_id);

    /// Returns the transfers given and not yet confirmed. Complexity: linear.
    [[nodiscard]] std::vector<share_transfer> unconfirmed() const;

    /// Forgets transfers whose id was made before `before`. A giver no longer offers one this old;
    /// what was not confirmed by then stays unused, which keeps the sum below the ceiling.
    void forget_older_than(wall_time before);

    bool operator==(const share_ledger&) const = default;

    friend void operator<<=(cxxtools::SerializationInfo& info, const share_ledger& value);
    friend void operator>>=(const cxxtools::SerializationInfo& info, share_ledger& value);

private:
    std::int64_t initial_ = 0;
    std::map<std::string, std::int64_t> changes_;  ///< By customer, relative to `initial_`.
    std::map<std::string, share_transfer> given_;  ///< By transfer id, until confirmed.
    std::map<std::string, std::int64_t> received_; ///< By transfer id.
};

void operator<<=(cxxtools::SerializationInfo& info, const share_transfer& value);
void operator>>=(const cxxtools::SerializationInfo& info, share_transfer& value);

/// Returns the amount that `parts` millionths of `whole` stand for, rounded down in each field.
resources amount_of(const resources& whole, std::int64_t parts);

/// Returns the fewest parts of `whole` that cover `need`; whole_share + 1 when none do.
std::int64_t parts_for(const resources& need, const resources& whole);

} // namespace flamingoseam
