#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/job/work.hpp"

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingoseam {

/// Where a task stands on its worker.
enum class task_state {
    running,
    finished,
    failed,
    stopped,      ///< By the owner's command or because the worker's lease lapsed.
    checkpointed, ///< Stopped after its progress was saved; it may go on elsewhere.
};

/// Returns the state's name in lower case. Complexity: constant.
std::string_view to_string(task_state value);

/// Reads a state's name. Throws parse_error (id 106) that names the text.
task_state task_state_from_string(std::string_view text);

/// How a running task is acted on.
enum class task_control { stop, checkpoint, throttle };

/// Returns "stop", "checkpoint" or "throttle". Complexity: constant.
std::string_view to_string(task_control value);

/// Reads a control's name. Throws parse_error (id 107) that names the text.
task_control task_control_from_string(std::string_view text);

/// A task as it is sent to a worker. A worker starts a task id at most once per incarnation.
struct task_start {
    std::string task_id; ///< Unique per attempt: "CUSTOMER/REQUEST/INDEX/ATTEMPT".
    std::string customer;
    std::string request_id;
    int index = 0;
    work_class cls = work_class::call;
    std::string kind;
    std::string payload;
    std::string traceparent;
    resources size;
    bool idempotent = false;
};

/// A change to a running task.
struct task_stop {
    std::string task_id;
    task_control control = task_control::stop;
};

/// What the owner of a shard sends to one of its workers. A worker refuses a command whose epoch is
/// below the highest it has seen for its shard, or that names another incarnation.
struct worker_command {
    std::string shard;
    std::string owner;
    std::uint64_t epoch = 0;
    std::string incarnation; ///< Empty in the first command after take-over.
    /// Opened by a command that asks for a report, with a number above the last one; void once the
    /// worker's lease has lapsed. A worker refuses starts of any other session, so one that was on
    /// its way for longer than the lease does nothing.
    std::uint64_t session = 0;
    /// Tasks are stopped that long after the worker sent the newest answer that the owner has had;
    /// so the owner knows the latest end, however late its own messages arrive.
    milliseconds lease{0};
    std::uint64_t answered = 0; ///< Number of the newest answer that the owner has had.
    std::vector<task_start> starts;
    std::vector<task_stop> stops;
    bool report = false; ///< Asks for every task that the worker remembers.
};

/// What became of one start.
struct start_result {
    std::string task_id;
    bool started = false; ///< Also true for a task that this start or an earlier copy of it began.
    std::string reason;
};

/// A task as its worker reports it.
struct task_report {
    task_start task;
    task_state state = task_state::running;
    std::string output;
};

/// A worker's answer to a command.
struct command_answer {
    bool accepted = false;
    std::string reason;
    std::uint64_t epoch = 0; ///< The highest that the worker has seen.
    std::string incarnation; ///< New after each start of the worker's process.
    resources capacity;
    std::vector<start_result> results;
    std::vector<task_report> tasks;
    std::uint64_t last_event = 0; ///< The newest event at the time of a report.
    std::uint64_t contact = 0;    ///< Number of this answer, for `answered`.
};

/// Something that happened to a task.
struct task_event {
    std::uint64_t sequence = 0; ///< Grows by one per event of an incarnation.
    std::string task_id;
    task_state state = task_state::running;
    std::string output;
    resources usage; ///< The most that the task was seen to use.
    milliseconds run_time{0};
};

/// The answer to a poll for events. The poll renews the worker's lease.
struct event_batch {
    bool accepted = false; ///< False when the poll's epoch is no longer the highest.
    std::string incarnation;
    std::uint64_t contact = 0; ///< Number of this answer, for `answered`.
    std::vector<task_event> events;
};

void operator<<=(cxxtools::SerializationInfo& info, const task_start& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_start& value);
void operator<<=(cxxtools::SerializationInfo& info, const task_stop& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_stop& value);
void operator<<=(cxxtools::SerializationInfo& info, const worker_command& value);
void operator>>=(const cxxtools::SerializationInfo& info, worker_command& value);
void operator<<=(cxxtools::SerializationInfo& info, const start_result& value);
void operator>>=(const cxxtools::SerializationInfo& info, start_result& value);
void operator<<=(cxxtools::SerializationInfo& info, const task_report& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_report& value);
void operator<<=(cxxtools::SerializationInfo& info, const command_answer& value);
void operator>>=(const cxxtools::SerializationInfo& info, command_answer& value);
void operator<<=(cxxtools::SerializationInfo& info, const task_event& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_event& value);
void operator<<=(cxxtools::SerializationInfo& info, const event_batch& value);
void operator>>=(const cxxtools::SerializationInfo& info, event_batch& value);

} // namespace flamingoseam
