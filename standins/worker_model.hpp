#pragma once

#include "flamingoseam/worker/messages.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace flamingoseam::standin {

/// The identity, the capacity and the checks of a stand-in worker.
struct worker_options {
    std::string incarnation;
    resources capacity;
    bool check_epoch = true;   ///< Tests disable it to show that it is necessary.
    bool check_session = true; ///< Tests disable it to show that it is necessary.
};

/// The behaviour of a task, read from its payload. Payloads that are not JSON get the defaults.
struct task_behaviour {
    milliseconds run_time{10};
    bool fail = false;
    std::string text;
    resources usage; ///< Reported usage; zero reports nothing.
};

/// Event counts that tests read.
struct worker_counts {
    std::int64_t started = 0;
    std::int64_t refused_epoch = 0;
    std::int64_t refused_session = 0;
    std::int64_t refused_capacity = 0;
    std::int64_t lapsed_leases = 0; ///< Tasks that were stopped because the lease expired.
};

/// A task start, as recorded in the ledger of all starts of this worker.
struct ledger_entry {
    std::string customer;
    std::string request_id;
    int index = 0;
    std::int64_t began_ms = 0; ///< Wall clock time.
    std::int64_t ended_ms = 0; ///< Wall clock time; 0 while the task runs.
    std::string state;
};

void operator<<=(cxxtools::SerializationInfo& info, const worker_counts& value);
void operator<<=(cxxtools::SerializationInfo& info, const ledger_entry& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_behaviour& value);

/// A request of an owner for events.
struct event_poll {
    std::uint64_t epoch = 0;
    std::uint64_t session = 0;
    std::uint64_t after = 0; ///< The owner has received the events up to this one.
    milliseconds lease{0};
    std::uint64_t answered = 0; ///< Number of the newest answer that the owner has received.
};

/// A simulated worker VM. Tasks do no work: they run for the time that their payload states and
/// then return an answer. Uses no clock and no threads; callers pass the time, which must not
/// decrease.
class worker_model {
public:
    explicit worker_model(worker_options options);

    /// Handles a command: renews the lease, stops and starts tasks, and reports all tasks if the
    /// command asks for a report, which opens a session. Refuses commands with an older epoch, for
    /// another incarnation or outside the open session.
    command_response command(const worker_command& request, time_point time, wall_time wall);

    /// Returns the events after `request.after` and renews the lease.
    event_batch poll(const event_poll& request, time_point time, wall_time wall);

    /// Ends the tasks whose run time is over, and all running tasks when the lease has expired.
    void advance(time_point time, wall_time wall);

    /// Returns the time at which the next running task ends, at most `none`.
    [[nodiscard]] time_point next_due(time_point none) const;

    /// Sets whether every task that ends from now on fails.
    void set_fail_every_task(bool fail) { fail_every_task_ = fail; }

    [[nodiscard]] const worker_counts& counts() const { return counts_; }
    [[nodiscard]] const std::vector<ledger_entry>& ledger() const { return ledger_; }
    [[nodiscard]] const resources& used() const { return used_; }
    [[nodiscard]] const resources& capacity() const { return options_.capacity; }

    /// Returns the running tasks.
    [[nodiscard]] std::vector<task_start> running() const;

private:
    struct stored_task {
        task_report report;
        task_behaviour behaviour;
        time_point began;
        time_point ends;
        std::size_t ledger_index = 0;
    };

    std::string refusal(const worker_command& request) const;
    start_result start(const task_start& task, time_point time, wall_time wall);
    void stop(const task_control_request& request, time_point time, wall_time wall);
    void end(stored_task& task, task_state state, const std::string& output, time_point time,
             wall_time wall);
    void renew_lease(milliseconds lease, std::uint64_t answered);
    std::uint64_t next_contact(time_point time);
    void check_lease(time_point time, wall_time wall);

    worker_options options_;
    std::uint64_t epoch_ = 0;
    std::uint64_t session_ = 0;
    bool session_open_ = false;
    time_point lease_until_{};
    time_point last_lease_check_{};   ///< When the lease was last checked.
    std::deque<time_point> contacts_; ///< Send times of the newest answers.
    std::uint64_t last_contact_ = 0;  ///< Number of the newest answer.
    bool fail_every_task_ = false;
    resources used_;
    std::map<std::string, stored_task> tasks_;
    std::deque<task_event> events_;
    std::uint64_t next_event_ = 1;
    std::vector<ledger_entry> ledger_;
    worker_counts counts_;
};

} // namespace flamingoseam::standin
