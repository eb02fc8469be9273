#pragma once

#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/job/work.hpp"
#include "flamingoseam/shard/share_ledger.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam {

/// The owner of a shard, as recorded in the store or reported by a peer.
struct shard_entry {
    std::string shard;
    std::string zone;
    std::uint64_t epoch = 0;
    std::string owner; ///< ADDRESS:PORT of the owner's RPC interface; empty if there is no owner.

    bool operator==(const shard_entry&) const = default;
};

/// Contracts and shard owners that two processes exchange.
struct exchange_message {
    std::uint64_t revision = 0;             ///< The newest contract revision known to the sender.
    std::vector<contract_record> contracts; ///< Contracts that the receiver lacks.
    std::vector<shard_entry> shards;
};

/// Calls that a scheduler handles for entries and for other schedulers. They are made on the RPC
/// thread and must not block; a reply callback may be called from any thread, exactly once.
class scheduler_service {
public:
    using reply_outcome = std::function<void(outcome)>;
    using reply_job = std::function<void(std::optional<std::string>)>;
    using reply_exchange = std::function<void(exchange_message)>;
    using reply_share = std::function<void(std::int64_t)>;
    using reply_confirmed = std::function<void(bool)>;

    virtual ~scheduler_service() = default;

    virtual void submit(const std::string& shard, const work_request& request,
                        reply_outcome reply) = 0;
    virtual void find_job(const std::string& shard, const std::string& customer,
                          const std::string& request_id, reply_job reply) = 0;
    virtual void cancel(const std::string& shard, const std::string& customer,
                        const std::string& request_id, reply_outcome reply) = 0;
    virtual void exchange(const exchange_message& request, reply_exchange reply) = 0;

    /// Asks `request.from_shard` to transfer part of a customer's share, in millionths; the reply
    /// is the granted part. That part is offered to `request.to_shard` once the journal of
    /// `request.from_shard` has recorded the transfer.
    virtual void request_share(const share_transfer& request, reply_share reply) = 0;

    /// Transfers part of a share to `grant.to_shard`; the reply is true once that shard's journal
    /// has recorded it.
    virtual void offer_share(const share_transfer& grant, reply_confirmed reply) = 0;
};

} // namespace flamingoseam
