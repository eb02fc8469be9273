#include "flamingoseam/job/journal_store.hpp"

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/store/cell_records.hpp"

#include <glog/logging.h>

namespace flamingoseam {

std::optional<stored_journal> fence_journal(config_store& store, const std::string& shard,
                                            std::uint64_t epoch, const std::string& owner,
                                            std::int64_t initial_share, time_point deadline)
{
    stored_journal fenced;
    bool newer = false;
    const auto key = journal_prefix + shard;
    const auto state = update_record(
        store, key,
        [&](const std::optional<store_record>& current) -> std::optional<std::string> {
            fenced = {};
            fenced.record.shares = share_ledger(initial_share);
            newer = false;
            if (current) {
                fenced.record = from_json<journal_record>(current->value);
                fenced.version = current->version;
                newer = fenced.record.epoch > epoch;
                if (fenced.record.epoch >= epoch) {
                    return std::nullopt;
                }
            }
            fenced.record.epoch = epoch;
            fenced.record.owner = owner;
            fenced.record.sequence = 0;
            ++fenced.version;
            return to_json(fenced.record);
        },
        deadline);
    if (newer || state == update_state::unknown) {
        return std::nullopt;
    }
    return fenced;
}

journal_write write_journal(config_store& store, const std::string& shard,
                            const journal_record& record, std::uint64_t& version)
{
    try {
        const auto result = store.compare_and_swap({.key = journal_prefix + shard,
                                                    .value = to_json(record),
                                                    .expected_version = version,
                                                    .lease = {}});
        if (result.swapped) {
            version = result.current.version;
            return journal_write::written;
        }
        const auto current = from_json<journal_record>(result.current.value);
        if (current.epoch > record.epoch) {
            return journal_write::lost;
        }
        version = result.current.version;
        return current.sequence == record.sequence ? journal_write::written : journal_write::failed;
    } catch (...) { // It may have been written, which the next attempt finds out.
        LOG_EVERY_N(WARNING, 50) << "the journal of shard " << shard
                                 << " could not be written: " << describe_current_exception();
        return journal_write::failed;
    }
}

} // namespace flamingoseam
