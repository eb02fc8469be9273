#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_server.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam::standin {

/// Returns how many threads a server of the store needs so that this many watches can wait while
/// other calls are answered. A waiting watch holds a thread, as the HTTP library has no answers
/// that are given later.
constexpr unsigned store_threads(unsigned watches)
{
    constexpr unsigned for_other_calls = 16;
    return watches + for_other_calls;
}

/// An in-memory stand-in for the users' key-value service with transactions, leases and watches.
/// Tests select a fault with /standin/fault?mode=down, lossy or none, and make the store discard
/// its history with /standin/compact?mute_ms=N: watches get no answer for N ms, then the history
/// is discarded. The watches that wait then are never answered, or, with how=hold, answered at the
/// end of their wait.
class platform_store {
public:
    /// Handles a request to the service. Returns nullopt when the path is not one of its paths.
    std::optional<http_response> handle(const http_request& request);

    /// Writes a record as an operator or a worker would.
    void put(const std::string& key, const std::string& value);

    /// Ends the watches that were cut, so that the server can shut down.
    void release_cut_watches();

private:
    struct stored_item {
        std::string value; ///< Base64 text, as received.
        std::uint64_t revision = 0;
        std::uint64_t created = 0; ///< Revision of its creation.
        std::uint64_t lease = 0;   ///< 0 for a record without a lease.
    };
    struct lease_record {
        milliseconds time_to_live{0};
        time_point expires{};
    };

    using change = std::pair<std::uint64_t, nlohmann::json>;

    enum class fault { none, down, lossy };

    http_response get(const http_request& request);
    http_response list(const http_request& request);
    http_response watch(const http_request& request);
    http_response commit(const http_request& request);
    http_response grant_lease(const http_request& request);
    http_response keep_alive(std::uint64_t lease);
    http_response end_lease(std::uint64_t lease);
    http_response set_fault(const http_request& request);
    http_response begin_compaction(const http_request& request);
    void compact_if_due();
    http_response end_missed_watch(std::unique_lock<std::mutex>& lock, time_point until);
    [[nodiscard]] nlohmann::json events_after(std::uint64_t revision,
                                              const std::string& prefix) const;
    [[nodiscard]] nlohmann::json to_json(const std::string& key, const stored_item& item) const;
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void expire_leases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_item> items_;
    std::map<std::uint64_t, lease_record> leases_;
    /// All changes with their revisions, oldest first.
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
    std::uint64_t discarded_revision_ = 0; ///< The history begins after it.
    std::optional<time_point> compaction_at_;
    int compactions_ = 0;
    bool holds_missed_watches_ = false;
    bool releasing_watches_ = false;
    fault fault_ = fault::none;
    int lossy_writes_ = 0;
};

} // namespace flamingoseam::standin
