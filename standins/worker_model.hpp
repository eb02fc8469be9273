#pragma once

#include "flamingoseam/worker/messages.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace flamingoseam::standin {

/// How a stand-in worker is built.
struct worker_options {
    std::string incarnation;
    resources capacity;
    bool check_epoch = true;   ///< False shows what happens without the check.
    bool check_session = true; ///< False shows what happens without the check.
};

/// What a task's payload asks of the stand-in. Payloads that are not JSON get the defaults.
struct task_behaviour {
    milliseconds run_time{10};
    bool fail = false;
    std::string text;
    resources usage; ///< Zero reports nothing.
};

/// Counts that tests read.
struct worker_counts {
    std::int64_t started = 0;
    std::int64_t refused_epoch = 0;
    std::int64_t refused_session = 0;
    std::int64_t refused_capacity = 0;
    std::int64_t lapsed_leases = 0;
};

/// One start in the ledger of everything that this worker ever started.
struct ledger_entry {
    std::string customer;
    std::string request_id;
    int index = 0;
    std::int64_t began_ms = 0; ///< Wall clock.
    std::int64_t ended_ms = 0; ///< 0 while it runs.
    std::string state;
};

void operator<<=(cxxtools::SerializationInfo& info, const worker_counts& value);
void operator<<=(cxxtools::SerializationInfo& info, const ledger_entry& value);
void operator>>=(const cxxtools::SerializationInfo& info, task_behaviour& value);

/// What an owner's poll for events carries.
struct event_poll {
    std::uint64_t epoch = 0;
    std::uint64_t session = 0;
    std::uint64_t after = 0; ///< Events up to this one are known.
    milliseconds lease{0};
    std::uint64_t answered = 0; ///< Number of the newest answer that the owner has had.
};

/// A worker VM that runs no real work: tasks take the time that their payload names, then answer.
/// Without clocks and threads; time is passed in and must not go back.
class worker_model {
public:
    explicit worker_model(worker_options options);

    command_response command(const worker_command& request, time_point time, wall_time wall);

    /// Returns events after the poll's and renews the lease.
    event_batch poll(const event_poll& request, time_point time, wall_time wall);

    /// Ends the tasks that are due and those whose lease has lapsed.
    void advance(time_point time, wall_time wall);

    /// Returns when the next running task is due, `none` when there is none.
    [[nodiscard]] time_point next_due(time_point none) const;

    /// Makes every task that ends from now on fail, or ends that.
    void set_fail_every_task(bool fail) { fail_every_task_ = fail; }

    [[nodiscard]] const worker_counts& counts() const { return counts_; }
    [[nodiscard]] const std::vector<ledger_entry>& ledger() const { return ledger_; }
    [[nodiscard]] const resources& used() const { return used_; }
    [[nodiscard]] const resources& capacity() const { return options_.capacity; }

    /// Returns the tasks that run now.
    [[nodiscard]] std::vector<task_start> running() const;

private:
    struct held_task {
        task_report report;
        task_behaviour behaviour;
        time_point began;
        time_point ends;
        std::size_t ledger_index = 0;
    };

    std::string refusal(const worker_command& request) const;
    start_result start(const task_start& task, time_point time, wall_time wall);
    void stop(const task_control_request& request, time_point time, wall_time wall);
    void end(held_task& task, task_state state, const std::string& output, time_point time,
             wall_time wall);
    void renew_lease(milliseconds lease, std::uint64_t answered);
    std::uint64_t next_contact(time_point time);
    void check_lease(time_point time, wall_time wall);

    worker_options options_;
    std::uint64_t epoch_ = 0;
    std::uint64_t session_ = 0;
    bool session_open_ = false;
    time_point lease_until_{};
    time_point last_seen_{};          ///< When the lease was last looked at.
    std::deque<time_point> contacts_; ///< When the newest answers were sent.
    std::uint64_t last_contact_ = 0;
    bool fail_every_task_ = false;
    resources used_;
    std::map<std::string, held_task> tasks_;
    std::deque<task_event> events_;
    std::uint64_t next_event_ = 1;
    std::vector<ledger_entry> ledger_;
    worker_counts counts_;
};

} // namespace flamingoseam::standin
