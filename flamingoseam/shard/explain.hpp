#pragma once

#include "flamingoseam/contract/contract.hpp"

#include <string>

namespace flamingoseam {

/// Returns one sentence on why work waits: the contract line or other condition that `held_by`
/// names. `used` is what the customer uses in the shard, `limit` the shard's share of its ceiling.
std::string explain_held_by(const std::string& held_by, const contract& terms,
                            const resources& used, const resources& limit);

/// Estimates the bytes that a job takes in the journal, rather too high than too low.
std::size_t estimate_journal_bytes(const work_request& request);

} // namespace flamingoseam
