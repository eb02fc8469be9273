#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/job/work.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// How a running task is preempted when capacity is short.
enum class preemption_method { checkpoint, stop };

/// Returns "checkpoint" or "stop". Complexity: constant.
std::string_view to_string(preemption_method value);

/// Parses the name of a method. Throws parse_error (id 105), whose message contains the text.
preemption_method preemption_method_from_string(std::string_view text);

/// The terms agreed with one customer. Admission, placement, preemption and retries of the
/// customer's work depend only on this record.
struct contract {
    std::string customer;
    std::uint64_t version = 0;           ///< Increases by one with each accepted change.
    std::string change_id;               ///< Id of the operator's change that made this version.
    std::string author;                  ///< The operator who made the change.
    std::vector<std::string> key_hashes; ///< BLAKE2b-256 hashes of the keys, in hexadecimal.
    std::vector<std::string> zones;      ///< Zones allowed for the work; empty means all zones.
    resources guaranteed;                ///< Available at any time, whatever others use.
    resources ceiling;                   ///< Upper limit of the usage in the whole cell.
    /// The longest time that work may wait for its start, indexed by work_class.
    std::array<milliseconds, work_class_count> longest_wait{};
    std::vector<work_class> yield_order; ///< Classes that may be preempted, first class first.
    preemption_method preemption = preemption_method::checkpoint;
    milliseconds yield_grace{1000}; ///< Time between a preemption request and the forced stop.
    int weight = 1;                 ///< Share of unguaranteed capacity relative to the others'.
    int queue_limit = 10000;        ///< Maximum number of waiting requests per shard.
    int retry_attempts = 3;         ///< Maximum runs of an idempotent call, including the first.
    int retry_budget_percent = 10;  ///< Retries in percent of the first attempts.
    milliseconds retry_backoff{20}; ///< Delay before the first retry; doubles with each retry.

    bool operator==(const contract&) const = default;

    /// Returns the longest time that work of a class may wait for its start. Complexity: constant.
    [[nodiscard]] milliseconds max_wait_of(work_class cls) const
    {
        return longest_wait.at(static_cast<std::size_t>(cls));
    }

    /// Checks whether tasks of a class may be preempted when capacity is short.
    /// Complexity: linear in the classes.
    [[nodiscard]] bool is_preemptible(work_class cls) const;
};

void operator<<=(cxxtools::SerializationInfo& info, const contract& value);
void operator>>=(const cxxtools::SerializationInfo& info, contract& value);

/// Reads a contract from a TOML file and checks every key. Leaves version and change id empty.
/// Throws config_error (ids 201 to 206); 206 when a guarantee is above the ceiling.
contract read_contract_file(const std::string& file);

/// Reads a contract from TOML text; errors give `name` as the file name. Throws the same errors as
/// read_contract_file().
contract read_contract_text(const std::string& name, const std::string& text);

/// Returns one line per field in which two contracts differ: "field: left -> right".
/// Complexity: linear in the size of the contracts.
std::vector<std::string> diff(const contract& left, const contract& right);

/// Checks that the sum of all guarantees fits into the capacity of the cell.
/// Throws config_error (id 207), whose message contains the customer, the sum and the capacity.
void check_guarantees(const std::vector<contract>& contracts, const resources& cell_capacity);

} // namespace flamingoseam
