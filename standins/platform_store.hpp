#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_server.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace flamingoseam::standin {

/// A stand-in for the users' key-value service, in memory: transactions, leases, watches, and the
/// faults that tests ask for under /standin/fault?mode=down, lossy or none.
class platform_store {
public:
    /// Answers one call of the service, none when the path is not one of its.
    std::optional<http_response> handle(const http_request& request);

    /// Writes a record on behalf of an operator or a worker.
    void put(const std::string& key, const std::string& value);

private:
    struct item {
        std::string value; ///< Base64 text, as it came.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease_record {
        milliseconds time_to_live{0};
        time_point expires{};
    };

    enum class fault { none, down, lossy };

    http_response get(const http_request& request);
    http_response list(const http_request& request);
    http_response watch(const http_request& request);
    http_response commit(const http_request& request);
    http_response grant(const http_request& request);
    http_response keep(std::uint64_t lease);
    http_response end(std::uint64_t lease);
    http_response set_fault(const http_request& request);
    [[nodiscard]] nlohmann::json to_json(const std::string& key, const item& one) const;
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    void expire_leases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease_record> leases_;
    std::vector<std::pair<std::uint64_t, nlohmann::json>> history_; ///< By revision.
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
    fault fault_ = fault::none;
    int writes_until_lost_ = 0;
};

} // namespace flamingoseam::standin
