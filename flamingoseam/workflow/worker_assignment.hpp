#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace flamingoseam::workflow {

/// The shard to which a worker was transferred. The record is written by the owner that gives the
/// worker away, in the transaction that ends its responsibility for the worker.
struct worker_assignment {
    std::size_t shard = 0;
    std::uint64_t token_base = 0; ///< See worker_entry::token_base.

    bool operator==(const worker_assignment&) const = default;
};

/// Returns an assignment as JSON text.
std::string write_assignment(const worker_assignment& value);

/// Parses an assignment from JSON text. Throws parse_error (id 142).
worker_assignment read_assignment(const std::string& text);

} // namespace flamingoseam::workflow
