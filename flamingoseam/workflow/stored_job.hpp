#pragma once

#include "flamingoseam/workflow/job_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// Keys of what a service's owner keeps in the platform's store, all below one prefix.
struct record_keys {
    std::string prefix; ///< For example "fs/"; ends with a slash.

    [[nodiscard]] std::string specification(const std::string& job) const
    {
        return prefix + "job/" + job;
    }
    [[nodiscard]] std::string progress(const std::string& job) const
    {
        return prefix + "progress/" + job;
    }
    [[nodiscard]] std::string roster() const { return prefix + "roster"; }
    [[nodiscard]] std::string specifications() const { return prefix + "job/"; }
    [[nodiscard]] std::string progresses() const { return prefix + "progress/"; }
};

/// Returns the job, its queue's terms and its time of acceptance as JSON text.
std::string write_specification(const job_record& job);

/// Reads a job back; its tasks are all `unlocated`. Throws parse_error (id 126).
job_record read_specification(const std::string& text);

/// Returns phase, finished tasks, failures and checkpoints as JSON text.
std::string write_progress(const job_record& job);

/// Adds progress to a job that was read back. Throws parse_error (id 126).
void read_progress(const std::string& text, job_record& job);

/// Returns the phase, queue and end of a job whose specification is gone. Throws parse_error
/// (id 126).
job_record read_final_progress(const std::string& id, const std::string& text);

/// Returns all jobs of a store, from the values under specifications() and progresses() by job id.
/// Throws parse_error (id 126).
std::vector<job_record> read_jobs(const std::map<std::string, std::string>& specifications,
                                  const std::map<std::string, std::string>& progresses);

/// Returns the workers that may hold runs, as JSON text.
std::string write_roster(const std::vector<worker_entry>& workers);

/// Reads a roster. Throws parse_error (id 126).
std::vector<worker_entry> read_roster(const std::string& text);

} // namespace flamingoseam::workflow
