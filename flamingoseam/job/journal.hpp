#pragma once

#include "flamingoseam/job/work.hpp"
#include "flamingoseam/shard/share_ledger.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// One accepted job as the journal keeps it.
struct journal_job {
    work_request request;
    std::uint64_t content_hash = 0; ///< Of the request as it was submitted.
    int opened = 0;                 ///< Tasks below this index may have been started.
    std::string phases;             ///< One letter per task, see task_phase.
    wall_time submitted{0};
    wall_time ended{0}; ///< 0 while the job is open.
    bool cancelled = false;
};

/// What one worker had when the journal was written.
struct roster_entry {
    std::string address;
    resources capacity;
};

/// The store's record of one shard: who owns it since which epoch, the accepted jobs, the shares of
/// customers' ceilings and the workers that an owner may have started tasks on. It is written as a
/// whole by compare-and-swap, several changes in one write.
struct journal_record {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; ///< Grows by one per write of an epoch.
    std::string owner;
    std::vector<journal_job> jobs;
    share_ledger shares;
    std::vector<roster_entry> roster;
};

void operator<<=(cxxtools::SerializationInfo& info, const journal_job& value);
void operator>>=(const cxxtools::SerializationInfo& info, journal_job& value);
void operator<<=(cxxtools::SerializationInfo& info, const roster_entry& value);
void operator>>=(const cxxtools::SerializationInfo& info, roster_entry& value);
void operator<<=(cxxtools::SerializationInfo& info, const journal_record& value);
void operator>>=(const cxxtools::SerializationInfo& info, journal_record& value);

} // namespace flamingoseam
