#pragma once

#include "flamingoseam/contract/contract.hpp"

#include <string>

namespace flamingoseam {

/// Returns one sentence that says which line of the contract, or what else, holds waiting work.
/// `used` is what the customer holds in the shard and `limit` the shard's share of its ceiling.
std::string explain_hold(const std::string& held_by, const contract& terms, const resources& used,
                         const resources& limit);

/// Returns an upper estimate of the bytes that a job takes in the journal.
std::size_t to_json_size(const work_request& request);

} // namespace flamingoseam
