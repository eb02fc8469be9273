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

/// Who owns a shard, as the store's record or a peer tells it.
struct shard_entry {
    std::string shard;
    std::string zone;
    std::uint64_t epoch = 0;
    std::string owner; ///< ADDRESS:PORT of the owner's RPC interface; empty when nobody owns it.

    bool operator==(const shard_entry&) const = default;
};

/// What two processes tell each other about contracts and owners.
struct exchange_message {
    std::uint64_t revision = 0;             ///< The newest contract revision that the sender has.
    std::vector<contract_record> contracts; ///< Those that the other end lacked.
    std::vector<shard_entry> shards;
};

/// What a scheduler answers to entries and to other schedulers. Calls come from the RPC thread and
/// must not block; replies may come from any thread, each exactly once.
class scheduler_service {
public:
    using reply_outcome = std::function<void(outcome)>;
    using reply_job = std::function<void(std::optional<std::string>)>;
    using reply_exchange = std::function<void(exchange_message)>;
    using reply_parts = std::function<void(std::int64_t)>;
    using reply_confirmed = std::function<void(bool)>;

    virtual ~scheduler_service() = default;

    virtual void submit(const std::string& shard, const work_request& request,
                        reply_outcome reply) = 0;
    virtual void find_job(const std::string& shard, const std::string& customer,
                          const std::string& request_id, reply_job reply) = 0;
    virtual void cancel(const std::string& shard, const std::string& customer,
                        const std::string& request_id, reply_outcome reply) = 0;
    virtual void exchange(const exchange_message& theirs, reply_exchange reply) = 0;

    /// Asks `wish.from_shard` for parts; what it gives is offered once the giver's journal has it.
    virtual void request_share(const share_transfer& wish, reply_parts reply) = 0;

    /// Hands parts to `grant.to_shard`; the reply is true once that shard's journal has them.
    virtual void offer_share(const share_transfer& grant, reply_confirmed reply) = 0;
};

} // namespace flamingoseam
