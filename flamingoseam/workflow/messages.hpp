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

/// Names one task of a job.
struct task_name {
    std::string job;
    int step = 0;
    int index = 0;

    auto operator<=>(const task_name&) const = default;
};

/// Names one run of a task. Run numbers of a task rise; all members of a gang's run share one.
struct run_name {
    task_name task;
    std::int64_t run = 0;

    auto operator<=>(const run_name&) const = default;
};

/// Returns "JOB/STEP/INDEX#RUN" for logs. Complexity: linear in the text.
std::string to_string(const run_name& name);

/// A worker as the platform's list shows it.
struct worker_entry {
    std::string id;
    std::int64_t life = 0; ///< Grows with each start of the worker; 0 when unknown.
    std::string service;
    endpoint address;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool leaving = false; ///< It ends soon; nothing new is started on it.
    /// In a roster: since when the owner has not renewed the worker's lease; 0 while it answers.
    wall_time silent_since{0};
};

/// A run that is present on a worker.
struct present_run {
    run_name name;
    std::string checkpoint;
    int percent = 0; ///< Of its work that is done.
};

/// How a run ended.
enum class run_end {
    done,
    failed,  ///< Through its own or the worker's fault; counts as an attempt.
    stopped, ///< By an order.
    lapsed,  ///< The worker's lease ran out.
    broken,  ///< Another member of the gang ended.
    alone,   ///< The other members of the gang did not come in time.
};

/// Returns the name of an end in lower case. Complexity: constant.
const char* to_string(run_end value);

/// A run that has ended on a worker.
struct ended_run {
    std::int64_t number = 0; ///< Grows by one per end in one life of the worker.
    run_name name;
    run_end how = run_end::done;
    std::string checkpoint; ///< Where another run can go on; empty for the beginning.
};

/// All that a worker holds at one moment.
struct worker_report {
    std::int64_t life = 0; ///< 0 when the worker does not tell.
    std::vector<present_run> present;
    std::vector<ended_run> ended;
    time_point asked{}; ///< When the report was asked for, so it shows a later moment.
};

/// What became of an order to start a run. A refusal does not say that nothing ran: the connection
/// may have delivered an earlier copy of the order, whose answer was lost.
enum class start_outcome {
    started,
    not_sent,   ///< The worker has not seen the order and never will.
    no_room,    ///< Refused: the worker counts more reservations than the owner.
    no_ticket,  ///< Refused: the permission has run out.
    superseded, ///< Refused: this or a later run was stopped or ended there.
    unhealthy,  ///< Refused: the worker takes no work.
    wrong_life, ///< Refused: the worker has started anew.
    fenced,     ///< Refused: the worker obeys a newer owner.
    rejected,   ///< Refused for any other reason.
    unknown,    ///< No answer; the order may be carried out, now or later.
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

/// An order to stop a run; the worker also refuses to start it later.
struct stop_order {
    std::size_t worker = 0;
    run_name name;
};

/// Tells a worker that it may forget its ends up to a number.
struct forget_order {
    std::size_t worker = 0;
    std::int64_t life = 0;
    std::int64_t up_to = 0;
    bool all_settled = false; ///< No end beyond `up_to` waits to be stored.
};

/// A permission that was granted for a worker.
struct ticket_grant {
    std::string worker;
    std::string ticket;
};

/// Asks which of some workers may run a step.
struct permission_request {
    std::uint64_t number = 0;
    std::string job;
    int step = 0;
    std::string queue; ///< Of the job; not passed on to other nodes.
    urgency order;
    std::vector<std::string> workers;
    milliseconds service_time{0}; ///< How long the permission service works on it.
    time_point asked{};           ///< When the owner decided to ask; not passed on to other nodes.
};

} // namespace flamingoseam::workflow
