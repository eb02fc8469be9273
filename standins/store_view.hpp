#pragma once

#include "standins/platform_store.hpp"

#include <optional>
#include <string>

namespace flamingoseam::standin {

/// The store as one node sees it: a prefix of the workers' addresses is replaced in all values that
/// the node reads, and restored in those that it writes. Each node can thus reach the workers over
/// links of its own.
class store_view {
public:
    /// `stored` is the prefix of the addresses in the store, for example "127.60.20.", and `seen`
    /// the one that the node sees in its place. Throws std::invalid_argument if one is empty.
    store_view(platform_store& store, std::string stored, std::string seen);

    /// Handles a request of the node. Returns nullopt when the path is not one of the store's.
    std::optional<http_response> handle(http_request request);

private:
    platform_store& store_;
    std::string stored_;
    std::string seen_;
};

} // namespace flamingoseam::standin
