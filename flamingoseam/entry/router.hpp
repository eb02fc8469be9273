#pragma once

#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/peer/rpc_client.hpp"
#include "flamingoseam/peer/scheduler_service.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace flamingoseam {

/// The owners of shards and the contracts, as far as an entry has received them. Thread-safe.
class cell_map {
public:
    /// Applies a message of a scheduler; older epochs and versions are ignored.
    void apply(const exchange_message& message);

    /// Returns the newest known owner of a shard, or an empty string if there is none.
    [[nodiscard]] std::string owner_of(const std::string& shard) const;

    /// Removes `owner`, which has denied the ownership of `shard`, until the next entry for the
    /// shard is applied.
    void remove_owner(const std::string& shard, const std::string& owner);

    /// Waits for an owner of a shard, at most until `deadline`. Returns the owner, or an empty
    /// string if there is none.
    std::string wait_for_owner(const std::string& shard, time_point deadline);

    /// Returns the shards in `zones`, or all if `zones` is empty.
    [[nodiscard]] std::vector<std::string> shards_in(const std::vector<std::string>& zones) const;

    /// Returns the contract whose keys include `key`, or none if there is no such contract.
    [[nodiscard]] std::optional<contract> contract_for_key(const std::string& key) const;

    /// Returns a message with the contracts that are newer than `revision`.
    [[nodiscard]] exchange_message contracts_since(std::uint64_t revision) const;

    [[nodiscard]] std::uint64_t revision() const;

private:
    void rebuild_keys();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, shard_entry> shards_;
    contract_table contracts_;
    std::map<std::string, std::string> customer_by_key_hash_;
};

/// Sends requests to the owner of their shard. Retries a request that may have run only
/// there, so that it does not run twice.
class router {
public:
    router(cell_map& map, rpc_client& client) : map_(map), client_(client) {}

    /// Submits a request and returns its outcome, at the latest at `deadline`. A request with an id
    /// made by its caller, or of a job, goes to the one shard that the hash of its id chooses,
    /// whichever entry it arrives at. A call with an id made by an entry goes to the less loaded of
    /// two random shards, and to another one if it is refused for lack of capacity.
    outcome submit(work_request request, const contract& terms, time_point deadline);

    /// Looks a job up in the shards, first in the one that the hash of its id chooses.
    std::optional<std::string> find_job(const contract& terms, const std::string& request_id,
                                        time_point deadline);

    /// Cancels a job or call at the shard that has a record of it.
    outcome cancel(const contract& terms, const std::string& request_id, time_point deadline);

private:
    outcome submit_to(const std::string& shard, work_request& request, bool& sent,
                      time_point deadline);
    outcome no_answer_outcome(const work_request& request, bool first_attempt, bool sent) const;
    std::vector<std::string> shards_to_try(const work_request& request, const contract& terms);
    std::string less_loaded(const std::vector<std::string>& shards);
    void change_open_requests(const std::string& shard, int change);
    void push_contracts(const endpoint& owner);

    cell_map& map_;
    rpc_client& client_;
    std::mutex mutex_;
    std::map<std::string, int> open_requests_; ///< Number of open requests, by shard.
    std::mt19937_64 random_{std::random_device()()};
};

} // namespace flamingoseam
