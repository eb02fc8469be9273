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

/// One record to be written, or to be removed when it has no value.
struct record_change {
    std::string key;
    std::optional<std::string> value;
};

/// Changes that are written in one transaction.
struct record_batch {
    std::vector<record_change> changes;
};

/// Which jobs have changes that the store does not have yet. A job is in one batch at a time, so
/// that its changes reach the store in their order. Somebody waits for the record of a new job and
/// for a final state; mere progress can wait.
class change_log {
public:
    /// Notes a change of a job. Complexity: logarithmic.
    void note(job_record& job);

    /// Returns the job whose change waits longest among those that somebody waits for and marks it
    /// as being written; null when there is none. Complexity: logarithmic.
    [[nodiscard]] job_record* take_awaited() { return take_oldest(awaited_); }

    /// Does the same among the jobs that have only made progress.
    [[nodiscard]] job_record* take_progress() { return take_oldest(progress_); }

    /// Takes in that the store has a job as it was at change number `up_to`.
    void note_stored(job_record& job, std::uint64_t up_to);

    /// Forgets a job that waits. Complexity: logarithmic.
    void drop(const job_record& job);

    [[nodiscard]] bool is_being_written(const job_record& job) const
    {
        return written_.contains(&job);
    }

    /// Tells whether no job waits, apart from those that are being written.
    [[nodiscard]] bool empty() const { return since_.empty(); }
    [[nodiscard]] std::size_t size() const { return since_.size(); }

    /// Returns the number of the newest change; numbers grow by one.
    [[nodiscard]] std::uint64_t last_change() const { return last_change_; }

    /// Returns the number of the change that waits longest, none when no job waits.
    [[nodiscard]] std::optional<std::uint64_t> oldest_change() const;

private:
    /// Jobs by the change that waits longest.
    using queue = std::map<std::uint64_t, job_record*>;

    [[nodiscard]] queue& queue_of(const job_record& job);
    [[nodiscard]] job_record* take_oldest(queue& from);

    std::uint64_t last_change_ = 0;
    queue awaited_;
    queue progress_;
    std::map<const job_record*, std::uint64_t> since_; ///< Of the jobs in either queue.
    std::set<const job_record*> written_;              ///< In batches that are under way.
};

} // namespace flamingoseam::workflow
