#pragma once

#include "flamingoseam/workflow/job_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// Keys of the records that a service's owner keeps in the platform's store, all below one prefix.
struct record_keys {
    std::string prefix; ///< For example "fs/"; ends with a slash.
    /// Prefix of the records that all shards of a cell share; ends with a slash.
    std::string cell_prefix = "fs/";

    [[nodiscard]] std::string specification(const std::string& job) const
    {
        return prefix + "job/" + job;
    }
    [[nodiscard]] std::string progress(const std::string& job) const
    {
        return prefix + "progress/" + job;
    }
    [[nodiscard]] std::string leased_workers() const { return prefix + "roster"; }
    [[nodiscard]] std::string assignment(const std::string& worker) const
    {
        return assignment_prefix() + worker;
    }
    [[nodiscard]] std::string assignment_prefix() const { return cell_prefix + "assigned/"; }
    [[nodiscard]] std::string specification_prefix() const { return prefix + "job/"; }
    [[nodiscard]] std::string progress_prefix() const { return prefix + "progress/"; }
};

/// Returns the job, the terms of its queue and its time of acceptance as JSON text.
std::string write_specification(const job_record& job);

/// Reads a job from its stored specification; all its tasks are `unlocated`. Throws parse_error
/// (id 126).
job_record read_specification(const std::string& text);

/// Returns the phase, finished tasks, failures and checkpoints of a job as JSON text.
std::string write_progress(const job_record& job);

/// Applies stored progress to a job that was read from its specification. Throws parse_error
/// (id 126).
void read_progress(const std::string& text, job_record& job);

/// Reads the phase, queue and end of a job whose specification was removed. Throws parse_error
/// (id 126).
job_record read_final_progress(const std::string& id, const std::string& text);

/// A job of which a stored record can't be read.
struct unreadable_job {
    std::string id;
    std::string reason;
};

/// The jobs that earlier owners have stored.
struct stored_jobs {
    std::vector<job_record> jobs;
    std::vector<unreadable_job> unreadable;
};

/// Reads all stored jobs from the values below specification_prefix() and progress_prefix(), both
/// by job id.
stored_jobs read_jobs(const std::map<std::string, std::string>& specifications,
                      const std::map<std::string, std::string>& progress_records);

/// Returns the leased workers, which may hold runs, as JSON text.
std::string write_leased_workers(const std::vector<worker_entry>& workers);

/// Reads the leased workers. Throws parse_error (id 126).
std::vector<worker_entry> read_leased_workers(const std::string& text);

} // namespace flamingoseam::workflow
