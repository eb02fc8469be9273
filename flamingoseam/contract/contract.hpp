#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/job/work.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// How a task gives its worker back when capacity is short.
enum class yield_method { checkpoint, stop };

/// Returns "checkpoint" or "stop". Complexity: constant.
std::string_view to_string(yield_method value);

/// Reads a method's name. Throws parse_error (id 105) that names the text.
yield_method yield_method_from_string(std::string_view text);

/// What one customer was promised. The whole treatment of its work follows from this record.
struct contract {
    std::string customer;
    std::uint64_t version = 0;           ///< Grows by one with each accepted change.
    std::string change_id;               ///< Of the operator's change that made this version.
    std::string author;                  ///< The operator who made the change.
    std::vector<std::string> key_hashes; ///< BLAKE2b-256 of the customer's keys, in hexadecimal.
    std::vector<std::string> zones;      ///< Where its work may be placed; empty means everywhere.
    resources guaranteed;                ///< Reachable at any time, whatever others hold.
    resources ceiling;                   ///< Never passed over the whole cell.
    std::array<milliseconds, work_class_count> longest_wait{}; ///< For a start, by work_class.
    std::vector<work_class> yield_order;                       ///< The first yields first.
    yield_method yields_by = yield_method::checkpoint;
    milliseconds yield_grace{1000}; ///< From the request to yield until the task is stopped.
    int weight = 1;                 ///< Share of unguaranteed capacity relative to the others'.
    int queue_limit = 10000;        ///< Waiting pieces of work per shard.
    int retry_attempts = 3;         ///< Runs of one idempotent call, the first included.
    int retry_budget_percent = 10;  ///< Retries as a share of fresh calls.
    milliseconds retry_backoff{20}; ///< Before the first retry; doubles with each one.

    bool operator==(const contract&) const = default;

    /// Returns the longest wait for work of a class. Complexity: constant.
    [[nodiscard]] milliseconds wait_of(work_class cls) const
    {
        return longest_wait.at(static_cast<std::size_t>(cls));
    }

    /// Tells whether tasks of a class yield when capacity is short. Complexity: linear in classes.
    [[nodiscard]] bool yields(work_class cls) const;
};

void operator<<=(cxxtools::SerializationInfo& info, const contract& value);
void operator>>=(const cxxtools::SerializationInfo& info, contract& value);

/// Reads a contract from a TOML file and checks every key. Version and change id stay empty.
/// Throws config_error (ids 201 to 206); 206 when a guarantee is above the ceiling.
contract read_contract_file(const std::string& file);

/// Reads a contract from TOML text; `name` stands for the file in errors. Throws as above.
contract read_contract_text(const std::string& name, const std::string& text);

/// Returns one line per field in which two contracts differ: "field: left -> right".
/// Complexity: linear in the size of the contracts.
std::vector<std::string> diff(const contract& left, const contract& right);

/// Checks that the sum of all guarantees fits into the cell.
/// Throws config_error (id 207) that names the contract, the sum and the capacity.
void check_guarantees(const std::vector<contract>& contracts, const resources& cell_capacity);

} // namespace flamingoseam
