#pragma once

#include "flamingoseam/workflow/job_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// One record to be written, or to be removed if it has no value.
struct record_change {
    std::string key;
    std::optional<std::string> value;
};

/// The changes that are written in one transaction.
struct record_batch {
    std::vector<record_change> changes;
};

/// Tracks the jobs whose changes are not stored yet. A job is in at most one batch at a time, so
/// that its changes reach the store in order. The record of a new job and a final state are urgent,
/// since a client waits for them; progress can wait.
class change_log {
public:
    /// Records a change of a job. Complexity: logarithmic.
    void record(job_record& job);

    /// Returns the job with the oldest pending urgent change and marks the job as being written;
    /// null if there is none. Complexity: logarithmic.
    [[nodiscard]] job_record* take_urgent() { return take_oldest(urgent_); }

    /// Returns the job with the oldest pending change among the jobs with progress only, and marks
    /// it as being written; null if there is none. Complexity: logarithmic.
    [[nodiscard]] job_record* take_progress() { return take_oldest(progress_); }

    /// Records that the store has the state of a job up to change number `up_to`.
    void mark_stored(job_record& job, std::uint64_t up_to);

    /// Removes a pending job from the log. Complexity: logarithmic.
    void drop(const job_record& job);

    [[nodiscard]] bool is_being_written(const job_record& job) const
    {
        return being_written_.contains(&job);
    }

    /// Checks whether no job is pending, apart from those that are being written.
    [[nodiscard]] bool empty() const { return pending_since_.empty(); }
    [[nodiscard]] std::size_t size() const { return pending_since_.size(); }

    /// Returns the number of the newest change; numbers increase by one.
    [[nodiscard]] std::uint64_t last_change() const { return last_change_; }

    /// Returns the number of the oldest pending change, none if no job is pending.
    [[nodiscard]] std::optional<std::uint64_t> oldest_change() const;

private:
    /// Jobs by the number of their oldest pending change.
    using queue = std::map<std::uint64_t, job_record*>;

    [[nodiscard]] queue& queue_of(const job_record& job);
    [[nodiscard]] job_record* take_oldest(queue& from);

    std::uint64_t last_change_ = 0;
    queue urgent_;
    queue progress_;
    std::map<const job_record*, std::uint64_t> pending_since_; ///< Oldest pending change per job.
    std::set<const job_record*> being_written_; ///< Jobs in batches that are in flight.
};

} // namespace flamingoseam::workflow
