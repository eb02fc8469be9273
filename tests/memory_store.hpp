#pragma once

#include "flamingoseam/core/error.hpp"
#include "tests/commit_only_store.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace flamingoseam {

/// The records of a store in memory, which several memory_store objects share.
struct memory_records {
    std::mutex mutex;
    std::map<std::string, shared_record> records;
    std::uint64_t revision = 1;
    std::atomic<int> single_reads{0}; ///< Reads of one record.
};

/// A connection to a store in memory with reads and conditional transactions. It gets no answer
/// while `reachable` is false.
class memory_store final : public commit_only_store {
public:
    memory_store(memory_records& store, const std::atomic<bool>& reachable)
        : store_(store), reachable_(reachable)
    {
    }

    std::optional<shared_record> get(const std::string& key) override
    {
        ++store_.single_reads;
        throw_if_unreachable();
        const std::lock_guard lock(store_.mutex);
        const auto found = store_.records.find(key);
        return found == store_.records.end() ? std::nullopt : std::optional(found->second);
    }

    shared_page list(const std::string& prefix, const std::string& /*after*/) override
    {
        throw_if_unreachable();
        const std::lock_guard lock(store_.mutex);
        shared_page page{.revision = store_.revision};
        for (const auto& [key, record] : store_.records) {
            if (key.starts_with(prefix)) {
                page.records.push_back(record);
            }
        }
        return page;
    }

    /// Reports no changes.
    shared_changes watch(const std::string& /*prefix*/, std::uint64_t revision,
                         watch_times times) override
    {
        std::this_thread::sleep_for(times.wait);
        throw_if_unreachable();
        return {.revision = revision};
    }

    shared_result commit(const shared_transaction& changes, milliseconds /*timeout*/) override
    {
        throw_if_unreachable();
        const std::lock_guard lock(store_.mutex);
        shared_result result;
        for (const auto& condition : changes.conditions) {
            const auto found = store_.records.find(condition.key);
            const bool exists = found != store_.records.end();
            if ((exists ? found->second.revision : 0) != condition.revision) {
                result.conflicting.push_back(
                    exists ? found->second
                           : shared_record{.key = condition.key, .value = {}, .removed = true});
            }
        }
        if (!result.conflicting.empty()) {
            return result;
        }
        ++store_.revision;
        for (const auto& write : changes.writes) {
            store_.records[write.key] = {
                .key = write.key, .value = write.value, .revision = store_.revision};
        }
        for (const auto& key : changes.removals) {
            store_.records.erase(key);
        }
        return {.applied = true, .revision = store_.revision};
    }

private:
    void throw_if_unreachable() const
    {
        if (!reachable_) {
            std::this_thread::sleep_for(milliseconds(5));
            throw transport_error(304, "no answer", true);
        }
    }

    memory_records& store_;
    const std::atomic<bool>& reachable_;
};

} // namespace flamingoseam
