#pragma once

#include "standins/platform_store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::standin {

/// A prefix of addresses in the store, for example "127.60.20.", and the one that a node sees in
/// its place.
struct seen_prefix {
    std::string stored;
    std::string seen;
};

/// The store as one node sees it: prefixes of the addresses of workers and of other nodes are
/// replaced in all values that the node reads, and restored in those that it writes. Each node can
/// thus reach them over links of its own.
class store_view {
public:
    /// Throws std::invalid_argument if a prefix is empty.
    store_view(platform_store& store, std::vector<seen_prefix> prefixes);

    /// Handles a request of the node. Returns nullopt when the path is not one of the store's.
    std::optional<http_response> handle(http_request request);

private:
    platform_store& store_;
    std::vector<seen_prefix> prefixes_;
};

} // namespace flamingoseam::standin
