#pragma once

#include "flamingoseam/worker/messages.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam::standin {

/// How a stand-in worker is built.
struct worker_options {
    std::string address;
    resources capacity;
    milliseconds usage_lag{1000}; ///< Usage is reported this late.
    bool check_epoch = true;      ///< False shows what happens without the check.
};

/// What a task's payload asks of the stand-in. Payloads that are not JSON get the defaults.
struct task_behaviour {
    milliseconds run_time{10};
    bool fail = false;
    std::string text;
    resources usage; ///< Zero means exactly what was reserved.
};

/// Counts that tests read.
struct worker_counts {
    std::int64_t started = 0;
    std::int64_t refused_epoch = 0;
    std::int64_t refused_capacity = 0;
    std::int64_t lapsed_leases = 0;
};

/// One start in the ledger of everything that this process ever started.
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

/// A worker VM that runs no real work: tasks take the time that their payload names, then answer.
class worker_model {
public:
    explicit worker_model(worker_options options);
    ~worker_model();
    worker_model(const worker_model&) = delete;
    worker_model& operator=(const worker_model&) = delete;

    command_answer command(const worker_command& request);

    /// Returns events after `after`, waiting for one up to `wait`; renews the lease.
    event_batch poll(std::uint64_t epoch, std::uint64_t after, milliseconds wait,
                     milliseconds lease);

    /// Makes every task that starts from now on fail, or ends that.
    void set_fail_every_task(bool fail);

    [[nodiscard]] worker_counts counts();
    [[nodiscard]] std::vector<ledger_entry> ledger();

private:
    struct held_task {
        task_report report;
        task_behaviour behaviour;
        time_point began;
        time_point ends;
        std::size_t ledger_index = 0;
    };

    start_result start(const task_start& task);
    void stop(const task_stop& request);
    void end(held_task& task, task_state state, const std::string& output);
    void run();
    void end_due(time_point time);
    void renew_lease(milliseconds lease);
    void check_lease(time_point time);

    worker_options options_;
    std::string incarnation_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t epoch_ = 0;
    time_point lease_until_{};
    bool stopping_ = false;
    bool fail_every_task_ = false;
    resources used_;
    std::map<std::string, held_task> tasks_;
    std::deque<task_event> events_;
    std::uint64_t next_event_ = 1;
    std::vector<ledger_entry> ledger_;
    worker_counts counts_;
    std::thread thread_;
};

} // namespace flamingoseam::standin
