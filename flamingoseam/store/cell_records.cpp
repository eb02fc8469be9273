#include "flamingoseam/store/cell_records.hpp"

#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"

namespace flamingoseam {

void operator<<=(cxxtools::SerializationInfo& info, const shard_record& value)
{
    info.addMember("shard") <<= value.entry.shard;
    info.addMember("zone") <<= value.entry.zone;
    info.addMember("epoch") <<= value.entry.epoch;
    info.addMember("owner") <<= value.entry.owner;
    info.addMember("claim") <<= value.claim;
}

void operator>>=(const cxxtools::SerializationInfo& info, shard_record& value)
{
    info.getMember("shard") >>= value.entry.shard;
    info.getMember("zone") >>= value.entry.zone;
    info.getMember("epoch") >>= value.entry.epoch;
    info.getMember("owner") >>= value.entry.owner;
    info.getMember("claim", value.claim);
}

std::string name_in_key(const std::string& key, const std::string& prefix)
{
    return key.substr(prefix.size());
}

std::optional<shard_entry>
claim_shard(config_store& store, const shard_entry& proposed,
            const std::function<bool(const std::string& current_owner)>& may_claim,
            time_point deadline)
{
    const auto claim = make_request_id(wall_now());
    std::optional<shard_entry> claimed;
    const auto state = update_record(
        store, shard_prefix + proposed.shard,
        [&](const std::optional<store_record>& current) -> std::optional<std::string> {
            shard_record next{.entry = proposed, .claim = claim};
            next.entry.epoch = 1;
            claimed.reset();
            if (current) {
                const auto record = from_json<shard_record>(current->value);
                if (record.claim == claim) {
                    claimed = record.entry;
                    return std::nullopt;
                }
                if (!may_claim(record.entry.owner)) {
                    return std::nullopt;
                }
                next.entry.epoch = record.entry.epoch + 1;
            }
            claimed = next.entry;
            return to_json(next);
        },
        deadline);
    return state == update_state::unknown ? std::nullopt : claimed;
}

bool release_shard(config_store& store, const shard_entry& owned, time_point deadline)
{
    const auto state = update_record(
        store, shard_prefix + owned.shard,
        [&](const std::optional<store_record>& current) -> std::optional<std::string> {
            if (!current) {
                return std::nullopt;
            }
            auto record = from_json<shard_record>(current->value);
            if (record.entry.epoch != owned.epoch || record.entry.owner != owned.owner) {
                return std::nullopt;
            }
            record.entry.owner.clear();
            return to_json(record);
        },
        deadline);
    return state != update_state::unknown;
}

} // namespace flamingoseam
