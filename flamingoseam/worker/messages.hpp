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

/// The state of a task on its worker.
enum class task_state {
    running,
    finished,
    failed,
    stopped,      ///< Stopped by the owner's command or because the worker's lease expired.
    checkpointed, ///< Stopped after saving its progress; another worker may continue it.
};

/// Returns the name of a state in lower case. Complexity: constant.
std::string_view to_string(task_state value);

/// Parses the name of a state. Throws parse_error (id 106) with the text if it is not a state.
task_state task_state_from_string(std::string_view text);

/// The action that the owner requests for a running task.
enum class task_control { stop, checkpoint, throttle };

/// Returns "stop", "checkpoint" or "throttle". Complexity: constant.
std::string_view to_string(task_control value);

/// Parses the name of an action. Throws parse_error (id 107) with the text if it is not an action.
task_control task_control_from_string(std::string_view text);

/// The request to start a task. A worker starts each task id at most once per incarnation.
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

/// The request to stop, checkpoint or throttle a running task.
struct task_control_request {
    std::string task_id;
    task_control control = task_control::stop;
};

/// A command from the owner of a shard to one of its workers. A worker refuses a command whose
/// epoch is below the highest epoch it has seen for its shard, or that names another incarnation.
struct worker_command {
    std::string shard;
    std::string owner;
    std::uint64_t epoch = 0;
    std::string incarnation; ///< Empty in the first command after the owner took over the shard.
    /// Number of the session. A command that requests a report opens a session with a number above
    /// the previous one; the session ends when the worker's lease expires. A worker refuses starts
    /// of any other session, so a start that was in flight for longer than the lease has no effect.
    std::uint64_t session = 0;
    /// Duration of the worker's lease, counted from the time when the worker sent the newest
    /// response that the owner has received. The worker stops its tasks when the lease expires, so
    /// the owner knows the latest time at which they end, however late its own messages arrive.
    milliseconds lease{0};
    std::uint64_t answered = 0; ///< Number of the newest response that the owner has received.
    std::vector<task_start> starts;
    std::vector<task_control_request> stops;
    bool report = false; ///< Requests a report of every task in the worker's records.
};

/// The result of a request to start a task.
struct start_result {
    std::string task_id;
    bool started = false; ///< True if this request or an earlier copy of it started the task.
    std::string reason;
};

/// A task and its state as reported by the worker.
struct task_report {
    task_start task;
    task_state state = task_state::running;
    std::string output;
};

/// A worker's response to a command.
struct command_response {
    bool accepted = false;
    std::string reason;
    std::uint64_t epoch = 0; ///< The highest epoch that the worker has seen for the shard.
    std::string incarnation; ///< Changes at each start of the worker process.
    resources capacity;
    std::vector<start_result> results;
    std::vector<task_report> tasks;
    std::uint64_t last_event = 0; ///< Sequence number of the newest event when a report is made.
    std::uint64_t contact = 0;    ///< Number of this response, to be returned in `answered`.
};

/// An event of a task: its state, output and resource usage.
struct task_event {
    std::uint64_t sequence = 0; ///< Increases by one with each event of an incarnation.
    std::string task_id;
    task_state state = task_state::running;
    std::string output;
    resources usage; ///< Maximum resource usage observed for the task.
    milliseconds run_time{0};
};

/// The response to a poll for events. The poll renews the worker's lease.
struct event_batch {
    bool accepted = false; ///< False if the poll's epoch is no longer the highest.
    std::string incarnation;
    std::uint64_t contact = 0; ///< Number of this response, to be returned in `answered`.
    std::vector<task_event> events;
};

void operator<<=(cxxtools::SerializationInfo& info, const task_start& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_start& value);
void operator<<=(cxxtools::SerializationInfo& info, const task_control_request& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_control_request& value);
void operator<<=(cxxtools::SerializationInfo& info, const worker_command& value);
void operator>>=(const cxxtools::SerializationInfo& info, worker_command& value);
void operator<<=(cxxtools::SerializationInfo& info, const start_result& value);
void operator>>=(const cxxtools::SerializationInfo& info, start_result& value);
void operator<<=(cxxtools::SerializationInfo& info, const task_report& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_report& value);
void operator<<=(cxxtools::SerializationInfo& info, const command_response& value);
void operator>>=(const cxxtools::SerializationInfo& info, command_response& value);
void operator<<=(cxxtools::SerializationInfo& info, const task_event& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_event& value);
void operator<<=(cxxtools::SerializationInfo& info, const event_batch& value);
void operator>>=(const cxxtools::SerializationInfo& info, event_batch& value);

} // namespace flamingoseam
