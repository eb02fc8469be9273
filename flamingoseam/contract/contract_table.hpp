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

/// The contracts that a process knows. A customer's version never goes back, whatever the order
/// in which the store's watch and the peers deliver.
class contract_table {
public:
    /// Takes a record in when it is newer than the one known. Returns whether it was.
    /// Complexity: logarithmic in the number of customers.
    bool apply(const contract_record& record);

    /// Returns the contract of a customer, nullptr when none is known. Complexity: logarithmic.
    [[nodiscard]] const contract* find(const std::string& customer) const;

    /// Returns the records written after `revision`. Complexity: linear.
    [[nodiscard]] std::vector<contract_record> since(std::uint64_t revision) const;

    /// Returns every contract, in the order of customers' names. Complexity: linear.
    [[nodiscard]] std::vector<contract> all() const;

    /// Returns the largest store revision seen. Complexity: constant.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    std::map<std::string, contract_record> records_;
    std::uint64_t revision_ = 0;
};

} // namespace flamingoseam
