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

/// What an entry knows of the cell: who owns which shard, and the contracts. Safe from many
/// threads.
class cell_map {
public:
    /// Takes in what a scheduler has told; older epochs and versions are passed over.
    void apply(const exchange_message& message);

    /// Returns the newest known owner of a shard, an empty text when there is none.
    [[nodiscard]] std::string owner_of(const std::string& shard) const;

    /// Forgets an owner that says that it is none, until a newer entry comes.
    void forget_owner(const std::string& shard, const std::string& owner);

    /// Waits until a shard has an owner or `until`; returns the owner, empty when there is none.
    std::string wait_for_owner(const std::string& shard, time_point until);

    /// Returns the shards in `zones`, all when `zones` is empty.
    [[nodiscard]] std::vector<std::string> shards_in(const std::vector<std::string>& zones) const;

    /// Returns the contract whose keys include `key`, none when no contract has it.
    [[nodiscard]] std::optional<contract> contract_for_key(const std::string& key) const;

    /// Returns what a scheduler at `revision` lacks.
    [[nodiscard]] exchange_message newer_than(std::uint64_t revision) const;

    [[nodiscard]] std::uint64_t revision() const;

private:
    void rebuild_keys();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, shard_entry> shards_;
    contract_table contracts_;
    std::map<std::string, std::string> customer_of_hash_;
};

/// Brings requests to the owner of their shard and repeats them there without running them twice.
class router {
public:
    router(cell_map& map, rpc_client& client) : map_(map), client_(client) {}

    /// Brings one request to its outcome, at the latest at `deadline`. A request with a caller's id
    /// goes to the one shard that its id names, wherever it enters; one with an entry's id goes to
    /// the less loaded of two shards and on to another when it is refused for lack of room.
    outcome submit(work_request request, const contract& terms, time_point deadline);

    /// Asks the shards for a job, the one that its id names first.
    std::optional<std::string> find_job(const contract& terms, const std::string& request_id,
                                        time_point deadline);

    /// Cancels a job or call at the shard that knows it.
    outcome cancel(const contract& terms, const std::string& request_id, time_point deadline);

private:
    outcome submit_to(const std::string& shard, work_request& request, bool& sent,
                      time_point deadline);
    outcome no_answer(const work_request& request, bool first_attempt, bool sent) const;
    std::vector<std::string> order_for(const work_request& request, const contract& terms);
    std::string less_loaded(const std::vector<std::string>& shards);
    void count(const std::string& shard, int change);
    void push_contracts(const endpoint& owner);

    cell_map& map_;
    rpc_client& client_;
    std::mutex mutex_;
    std::map<std::string, int> open_; ///< Requests under way, by shard.
    std::mt19937_64 random_{std::random_device()()};
};

} // namespace flamingoseam
