#pragma once

#include "flamingoseam/workflow/job_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
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

/// Which jobs have changes that the store does not have yet, oldest change first.
class change_log {
public:
    /// Notes a change of a job. Complexity: logarithmic.
    void note(job_record& job);

    /// Returns up to `most` jobs with the oldest changes. Complexity: linear in `most`.
    [[nodiscard]] std::vector<job_record*> oldest(std::size_t most) const;

    /// Takes in that the store has a job as it was at change number `up_to`.
    void note_stored(job_record& job, std::uint64_t up_to);

    [[nodiscard]] bool empty() const { return waiting_.empty(); }
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

private:
    std::uint64_t last_change_ = 0;
    std::map<std::uint64_t, job_record*> waiting_; ///< By the change that waits longest.
    std::map<const job_record*, std::uint64_t> since_;
};

} // namespace flamingoseam::workflow
