#pragma once

#include "flamingoseam/log/log_event.hpp"
#include "flamingoseam/store/shared_store.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingoseam {

/// Options of a record_watch.
struct record_watch_options {
    std::string name;   ///< Names the records in log events, for example "workers".
    std::string prefix; ///< Prefix of the keys of the records.
    watch_times times;  ///< They limit how long a cut watch stays unnoticed.

    /// Called, if set, for each event that a log should contain.
    std::function<void(const log_event&)> report = nullptr;
};

/// The records that a call of record_watch::next() has received.
struct record_update {
    bool is_complete = false; ///< All records; otherwise only those that have changed.
    std::vector<shared_record> records;
};

/// Follows all records with one prefix: reads them once, then watches for changes, and reads them
/// again when the store has discarded changes that were not returned yet. After an interruption it
/// asks for the changes since the last answer. Reports each reading and each interruption. Not
/// thread-safe.
class record_watch {
public:
    record_watch(record_watch_options options, std::unique_ptr<shared_store> store);

    /// Returns all records on the first call and whenever changes were discarded, and otherwise the
    /// records that have changed since the last call, after waiting for a change. Throws
    /// transport_error when the store does not answer; the next call tries again. After any other
    /// exception the next call returns all records.
    /// Complexity: one store call, or one for each page when all records are read.
    record_update next();

    /// Makes the next call return all records, since its caller has lost some that were returned.
    void read_again() noexcept { revision_ = 0; }

    /// Returns when the store last confirmed that no change is missing from the records returned so
    /// far; zero if it never did.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }

    /// Returns when the call began that the store answered last: the records returned so far
    /// contain every change of an earlier time. Zero if there was no answer.
    [[nodiscard]] time_point asked_at() const { return asked_at_; }

private:
    record_update read_all();
    record_update wait_for_changes();
    void record_answer(time_point asked);
    void record_failure(const std::string& cause, time_point asked);
    void report(const std::string& event, const std::string& detail,
                std::vector<log_field> fields = {}) const;
    [[nodiscard]] log_field age_field() const;

    record_watch_options options_;
    std::unique_ptr<shared_store> store_;
    std::uint64_t revision_ = 0; ///< All changes up to it were returned; 0 to read all records.
    time_point confirmed_at_{};
    time_point asked_at_{};
    std::size_t failures_ = 0; ///< Calls that have failed since the last answer.
};

} // namespace flamingoseam
