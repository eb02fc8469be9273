#pragma once

#include "flamingoseam/store/shared_store.hpp"

namespace flamingoseam {

/// Base class of test stores in which only transactions matter: reads find nothing, and leases are
/// always granted and renewed.
class commit_only_store : public shared_store {
public:
    std::optional<shared_record> get(const std::string& /*key*/) override { return std::nullopt; }
    shared_page list(const std::string& /*prefix*/, const std::string& /*after*/) override
    {
        return {};
    }
    shared_changes watch(const std::string& /*prefix*/, std::uint64_t /*revision*/,
                         watch_times /*times*/) override
    {
        return {};
    }
    std::uint64_t grant_lease(milliseconds /*time_to_live*/) override { return 1; }
    bool renew_lease(std::uint64_t /*lease*/) override { return true; }
    void end_lease(std::uint64_t /*lease*/) override {}
};

} // namespace flamingoseam
