#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/workflow/urgency.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// Identifies one task of a job.
struct task_name {
    std::string job;
    int step = 0;
    int index = 0;

    auto operator<=>(const task_name&) const = default;
};

/// Identifies one run of a task. The run numbers of a task increase; all members of a gang's run
/// have the same number.
struct run_name {
    task_name task;
    std::int64_t run = 0;

    auto operator<=>(const run_name&) const = default;
};

/// Returns "JOB/STEP/INDEX#RUN" for logs. Complexity: linear in the length of the text.
std::string to_string(const run_name& name);

/// What the store says of the lease of a leased worker. It names no time, since two owners share no
/// clock.
enum class lease_renewal {
    renewed,  ///< The owner extends the lease, or an earlier one may still do so.
    withheld, ///< No owner extends the lease before the store says something else.
    expired,  ///< As withheld; besides, the lease has expired and the worker holds no run.
};

/// A worker in the platform's list.
struct worker_entry {
    std::string id;
    std::int64_t incarnation = 0; ///< Increases with each start of the worker; 0 if unknown.
    std::string service;
    endpoint address;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool leaving = false; ///< The worker ends soon; no new run is started on it.
    lease_renewal renewal = lease_renewal::renewed; ///< Known in a record of leased workers.
    /// Known in a record of leased workers: the worker is one of those of which a majority keeps
    /// earlier owners from extending leases. Its lease is renewed: an owner must not need the
    /// answers of workers that it has stored to be silent, nor may it count them.
    bool in_quorum = true;
    /// The fencing tokens of an owner for this worker are counted from this number plus the owner's
    /// epoch. It increases whenever the worker is transferred to another shard.
    std::uint64_t token_base = 0;
};

/// A run that is present on a worker.
struct present_run {
    run_name name;
    std::string checkpoint;
    int percent = 0; ///< Share of its work that is done, in percent.
};

/// How a run ended.
enum class run_end {
    done,
    failed,  ///< The task or the worker failed; counts as an attempt.
    stopped, ///< A stop order ended the run.
    lapsed,  ///< The worker's lease expired.
    broken,  ///< Another member of the gang ended.
    alone,   ///< The other members of the gang did not start in time.
};

/// Returns the name of an end in lower case. Complexity: constant.
const char* to_string(run_end value);

/// Why it is certain that a worker holds no run any more.
enum class emptied_reason {
    lease_expired, ///< The worker has not answered for longer than its lease.
    replaced,      ///< Another incarnation answers at the worker's address.
};

/// A run that has ended on a worker.
struct ended_run {
    std::int64_t number = 0; ///< Increases by one per end within an incarnation of the worker.
    run_name name;
    run_end how = run_end::done;
    std::string checkpoint; ///< Where another run can resume; empty for the beginning.
};

/// The present and ended runs of a worker at one moment.
struct worker_report {
    std::int64_t incarnation = 0; ///< 0 if the worker does not report it.
    std::vector<present_run> present;
    std::vector<ended_run> ended;
    bool has_more_ends = false; ///< The worker lists further ends once these are acknowledged.
    time_point asked{};         ///< When the report was requested; its content is at least as new.
};

/// This many reports must agree that a run is neither present nor ended: a worker may list neither
/// while the run ends.
inline constexpr int reports_until_certain = 2;

/// Result of an order to start a run. A refusal does not mean that nothing ran: the connection may
/// have delivered an earlier copy of the order, whose answer was lost.
enum class start_outcome {
    started,
    not_sent,          ///< The worker has not received the order and never will.
    no_room,           ///< Refused: the worker has more capacity reserved than the owner recorded.
    no_ticket,         ///< Refused: the permission has expired.
    superseded,        ///< Refused: this or a later run was stopped or has ended on the worker.
    unhealthy,         ///< Refused: the worker accepts no work.
    wrong_incarnation, ///< Refused: the worker has restarted.
    fenced,            ///< Refused: the worker has accepted the epoch of a newer owner.
    rejected,          ///< Refused for any other reason.
    unknown,           ///< No answer; the worker may execute the order now or later.
};

/// Returns the name of an outcome in lower case. Complexity: constant.
const char* to_string(start_outcome value);

/// An order to start a run.
struct start_order {
    std::size_t worker = 0;
    run_name name;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
};

/// An order to stop a run; the worker also refuses a later order to start that run.
struct stop_order {
    std::size_t worker = 0;
    run_name name;
};

/// Allows a worker to discard its ended runs up to a number.
struct forget_order {
    std::size_t worker = 0;
    std::int64_t incarnation = 0;
    std::int64_t up_to = 0;
    bool all_stored = false; ///< No end after `up_to` is waiting to be stored.
};

/// Allows the lease of a worker to be extended again that was silent since `silent_since`.
struct renewal_permit {
    std::size_t worker = 0;
    time_point silent_since{};
};

/// A permission that was granted for a worker.
struct ticket_grant {
    std::string worker;
    std::string ticket;
};

/// A request to the permission service: which of the workers may run a step.
struct permission_request {
    std::uint64_t number = 0;
    std::string job;
    int step = 0;
    std::string queue; ///< The job's queue; not sent to other nodes.
    urgency order;
    std::vector<std::string> workers;
    milliseconds service_time{0}; ///< Expected service time of the permission service.
    time_point asked{};           ///< When the owner made the request; not sent to other nodes.
};

} // namespace flamingoseam::workflow
