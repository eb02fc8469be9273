#pragma once

#include "flamingoseam/contract/contract.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingoseam {

/// A contract together with the store revision at which it was written.
struct contract_record {
    contract value;
    std::uint64_t revision = 0;
};

/// The contracts that a process has received. The version of a customer's contract never
/// decreases, whatever the order of deliveries from the store's watch and from peers.
class contract_table {
public:
    /// Stores a record if its version is newer than that of the stored one. Returns whether it was
    /// newer. Complexity: logarithmic in the number of customers.
    bool apply(const contract_record& record);

    /// Returns the contract of a customer, nullptr if there is none. Complexity: logarithmic.
    [[nodiscard]] const contract* find(const std::string& customer) const;

    /// Returns the records written after `revision`. Complexity: linear.
    [[nodiscard]] std::vector<contract_record> since(std::uint64_t revision) const;

    /// Returns all contracts, sorted by the customer's name. Complexity: linear.
    [[nodiscard]] std::vector<contract> all() const;

    /// Returns the highest store revision of all stored records. Complexity: constant.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    std::map<std::string, contract_record> records_;
    std::uint64_t revision_ = 0;
};

} // namespace flamingoseam
