#pragma once

#include "flamingoseam/job/work.hpp"
#include "flamingoseam/shard/share_ledger.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam {

/// One accepted job in the journal.
struct journal_job {
    work_request request;
    std::uint64_t content_hash = 0; ///< Hash of the request as it was submitted.
    int opened = 0;                 ///< Tasks below this index may have been started.
    std::string phases;             ///< One letter per task, see task_phase.
    wall_time submitted{0};
    wall_time ended{0}; ///< 0 while the job is open.
    bool cancelled = false;
};

/// A leased worker and its capacity when the journal was written.
struct leased_worker {
    std::string address;
    resources capacity;
};

/// The stored record of one shard: its owner and epoch, the accepted jobs, the shares of customers'
/// ceilings and the workers on which an owner may have started tasks. The record is written as a
/// whole by compare-and-swap; one write may contain several changes.
struct journal_record {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; ///< Increases by one with each write within an epoch.
    std::string owner;
    std::vector<journal_job> jobs;
    share_ledger shares;
    std::vector<leased_worker> leased_workers;
};

void operator<<=(cxxtools::SerializationInfo& info, const journal_job& value);
void operator>>=(const cxxtools::SerializationInfo& info, journal_job& value);
void operator<<=(cxxtools::SerializationInfo& info, const leased_worker& value);
void operator>>=(const cxxtools::SerializationInfo& info, leased_worker& value);
void operator<<=(cxxtools::SerializationInfo& info, const journal_record& value);
void operator>>=(const cxxtools::SerializationInfo& info, journal_record& value);

} // namespace flamingoseam
