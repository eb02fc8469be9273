#pragma once

#include "flamingoseam/log/log_event.hpp"
#include "flamingoseam/shard/worker_health.hpp"
#include "flamingoseam/workflow/admission.hpp"
#include "flamingoseam/workflow/change_log.hpp"
#include "flamingoseam/workflow/fleet.hpp"
#include "flamingoseam/workflow/free_capacity_index.hpp"
#include "flamingoseam/workflow/gang_reservations.hpp"
#include "flamingoseam/workflow/job_record.hpp"
#include "flamingoseam/workflow/order_window.hpp"
#include "flamingoseam/workflow/permission_budget.hpp"
#include "flamingoseam/workflow/permission_shares.hpp"
#include "flamingoseam/workflow/queue_load.hpp"
#include "flamingoseam/workflow/ready_queue.hpp"
#include "flamingoseam/workflow/stored_job.hpp"
#include "flamingoseam/workflow/work_order.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace flamingoseam::workflow {

/// Settings of the jobs' state.
struct workflow_options {
    std::uint64_t epoch = 1; ///< Grows with each owner; run numbers begin above earlier owners'.
    record_keys keys{.prefix = "fs/"};
    std::size_t most_open_jobs = 6'000;
    milliseconds ended_retention{150'000}; ///< How long the state of an ended job can be asked for.
    /// Transactions of different chains are under way at one time.
    std::size_t chains = 1;
    step_ranking order = rank_by_urgency;
    std::size_t most_records = 30; ///< That one transaction writes or removes.
    milliseconds slow_write{60};   ///< A chain that writes for so long lets the next one help.
};

/// What a caller is told.
struct caller_answer {
    enum class kind {
        stored,  ///< The job or its cancellation stands in the store.
        unknown, ///< No such job.
        refused, ///< Nothing was stored and nothing will run.
    };
    std::uint64_t token = 0;
    kind what = kind::stored;
    std::string reason;
    milliseconds retry_after{0};
};

/// A decision for the log.
struct decision_note {
    std::string event;
    std::string job;
    std::string detail;
    std::vector<log_field> fields = {}; ///< What was measured.
};

/// How long a job took to its first start or to its end.
struct job_timing {
    int priority = 0; ///< Of its queue.
    milliseconds length{0};
};

/// What is to be done after a step of the state.
struct workflow_actions {
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<forget_order> forgets;
    std::vector<std::pair<std::size_t, time_point>> reports_needed; ///< By worker, by when.
    std::vector<permission_request> permissions;
    std::vector<std::uint64_t> withdrawn_permissions; ///< Numbers of requests no longer wanted.
    std::vector<caller_answer> answers;
    std::vector<decision_note> notes;
    std::vector<job_timing> first_starts;
    std::vector<job_timing> ends;
};

/// Sums for metrics.
struct workflow_counts {
    std::int64_t accepted = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    std::int64_t cancelled = 0;
    std::int64_t starts = 0;
    std::int64_t doubtful_starts = 0;
    std::int64_t failed_runs = 0;
    std::int64_t lost_runs = 0;
    std::int64_t permission_requests = 0;
    std::int64_t repeated_permission_requests = 0; ///< For permitted workers without a ticket.
    std::int64_t passes = 0;                       ///< Over all waiting steps.
    std::int64_t stuck_runs = 0;
    std::int64_t preempted_runs = 0;
    std::int64_t examined = 0; ///< Steps, workers and runs looked at to place and stop runs.
};

/// All decisions about jobs of several steps, without clocks, threads or sockets: what happens is
/// told by calls, what is to be done is fetched by take_actions(). Not safe from two threads.
class workflow_state {
public:
    explicit workflow_state(workflow_options options);

    /// Takes in what an earlier owner has stored. Tasks that it may have started stay unplaced
    /// until every worker of its roster has reported or holds nothing for certain.
    void load(std::vector<job_record> jobs, const std::vector<worker_entry>& roster,
              time_point time, wall_time wall);

    /// Takes a job in; the answer comes under `token` once the job is stored. A repeat of a known
    /// id is the same job. Complexity: linear in its tasks.
    void submit(std::uint64_t token, const job_spec& spec, const queue_terms& terms,
                time_point time, wall_time wall);

    /// Cancels a job; the answer comes under `token` once that is stored.
    void cancel(std::uint64_t token, const std::string& job, wall_time wall);

    /// Returns a job's phase as far as it is stored, none when the job is unknown.
    [[nodiscard]] std::optional<job_phase> find(const std::string& job) const;

    /// Returns the number of a queue's accepted jobs of which no task has started.
    [[nodiscard]] int count_pending(const std::string& queue) const;

    /// Takes in the platform's whole list of workers.
    void on_worker_list(const std::vector<worker_entry>& workers, time_point time);

    /// Takes in a worker's report, which it gave after accepting this owner's epoch.
    void on_report(std::size_t worker, const worker_report& report, time_point time,
                   wall_time wall);

    /// Takes in what became of a start.
    void on_start(std::size_t worker, const run_name& name, start_outcome outcome, time_point time);

    /// Takes in that a worker has accepted a stop.
    void on_stop(std::size_t worker, const run_name& name, time_point time);

    /// Tells whether a worker answers at present.
    void on_silence(std::size_t worker, bool silent, wall_time wall);

    /// Takes in that a worker certainly holds nothing any more.
    void on_emptied(std::size_t worker);

    /// Sets the number of call slots, which is the number of calls that the permission service
    /// processes at the same time.
    void set_permission_call_slots(std::size_t call_slots)
    {
        permission_budget_.set_call_slots(call_slots);
    }

    /// Handles the answer to a permission request; `grants` is none if the request failed.
    void on_permission(std::uint64_t number, const std::optional<std::vector<ticket_grant>>& grants,
                       time_point time);

    /// Tells whether a chain should write now. The first chain writes the most in one transaction;
    /// the others help while all before them are writing and a full transaction waits, or all have
    /// been writing for long, since the store is slow or an answer was lost. Complexity: linear in
    /// the chains.
    [[nodiscard]] bool has_changes(std::size_t chain, time_point time) const;

    /// Tells whether enough changes wait to fill a transaction, so that gathering more is of no
    /// use. Complexity: constant.
    [[nodiscard]] bool has_full_batch() const;

    /// Returns the next changes for a chain, at most `most` records; empty when it should not write
    /// now. New jobs and final states go before mere progress. One batch of a chain is under way at
    /// a time.
    record_batch take_batch(std::size_t chain, std::size_t most, time_point time, wall_time wall);

    /// Takes in that the batch last taken by a chain stands in the store.
    void on_stored(std::size_t chain);

    /// Tells whether the store answers. While it does not, new jobs are refused, and so are those
    /// that no transaction has tried to store yet. Complexity: linear in the open jobs.
    void set_store_available(bool available);

    /// Repeats orders that were not answered, looks for runs that stand still and places what
    /// waits. To be called at least every 50 ms and after each group of events.
    void tick(time_point time);

    /// Returns what is to be done and forgets it.
    workflow_actions take_actions();

    [[nodiscard]] const fleet& workers() const { return fleet_; }
    [[nodiscard]] const workflow_counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t open_jobs() const { return open_.size(); }
    [[nodiscard]] bool is_recovering() const { return !unreported_.empty(); }

    /// Returns the number of steps that were ready to run at the last scheduling pass.
    [[nodiscard]] std::size_t waiting_steps() const { return waiting_steps_; }

    /// Returns the number of open jobs that should have ended by `time`. Complexity: linear in
    /// them.
    [[nodiscard]] std::size_t count_overdue(time_point time) const;

    /// Returns the load of each queue that had any since the last call, and resets the counters.
    /// Complexity: linear in the number of open jobs.
    std::vector<queue_load> take_queue_loads(time_point time);

    [[nodiscard]] const change_log& changes() const { return changes_; }

    /// Returns the number of unanswered starts that are not ruled out. Complexity: linear in runs.
    [[nodiscard]] std::size_t count_doubtful() const;

    /// Returns the worker's index. Complexity: constant.
    [[nodiscard]] std::optional<std::size_t> find_worker(const std::string& id) const
    {
        return fleet_.find(id);
    }

private:
    struct open_end {
        std::size_t worker;
        std::int64_t life;
        std::int64_t number;
    };
    struct waiting_answer {
        std::uint64_t change;
        std::uint64_t token;
    };
    /// What waits until a job's changes are stored.
    struct waiters {
        std::vector<waiting_answer> answers;
        std::vector<std::pair<std::uint64_t, open_end>> ends;
    };
    struct batch_job {
        job_record* job;
        std::uint64_t change;
        bool writes_specification;
    };

    // jobs and their tasks
    job_record* find_job(const std::string& id);
    void change(job_record& job) { changes_.note(job); }
    void refuse(std::uint64_t token, const std::string& job, const std::string& reason,
                milliseconds retry_after);
    void refuse_unwritten();
    void set_task_phase(job_record& job, int step, int index, task_phase phase);
    void finish_task(job_record& job, int step, int index, wall_time wall);
    void finish_gang(job_record& job, int step, wall_time wall);
    void close_job(job_record& job, job_phase phase, wall_time wall);
    void check_completed(job_record& job, wall_time wall);
    void stop_runs_of(const job_record& job);
    void return_task(job_record& job, int step, int index);
    void break_gang(job_record& job, int step);
    void clear_broken_gang(job_record& job, int step);
    void note_failure(job_record& job, const run_name& name, time_point time, wall_time wall);
    void keep_checkpoint(job_record& job, const ended_run& end);
    void note(std::string event, const std::string& job, std::string detail,
              std::vector<log_field> fields = {});

    // workers' reports
    void begin_life(std::size_t worker, std::int64_t life, time_point time);
    void take_end(std::size_t worker, const ended_run& end, time_point time, wall_time wall);
    void apply_end(job_record& job, std::size_t worker, const ended_run& end, time_point time,
                   wall_time wall);
    void interrupt(std::size_t worker, const run_name& name);
    void take_present(std::size_t worker, const present_run& run, time_point time);
    void adopt(std::size_t worker, const present_run& run, time_point time);
    void take_missing(std::size_t worker, const worker_report& report);
    void apply_refusal(job_record& job, std::size_t worker, const run_name& name,
                       start_outcome outcome, time_point time);
    void rule_out(std::size_t worker, const run_name& name, held_run& run, time_point time);
    void want_stop(std::size_t worker, const run_name& name, held_run& run);
    void lose_run(std::size_t worker, const run_name& name);
    void settle(std::size_t worker, std::int64_t life, std::int64_t number);
    void note_located(std::size_t worker);
    void release_unlocated();
    void note_health(std::size_t worker, const std::string& job, bool failed, time_point time);

    // load of queues
    queue_load& load_of(const job_record& job);
    void record_run_time(std::size_t worker, const ended_run& end, time_point time);

    // placing
    bool schedule(time_point time);
    void place_step(const ready_step& step, time_point time);
    bool can_progress(const ready_step& step, time_point time) const;
    [[nodiscard]] milliseconds search_pause() const;
    struct candidate {
        std::size_t worker = 0;
        int fits = 0;
        const permission_record::ticket* ticket = nullptr;
        bool is_reserved = false;
    };
    /// A worker and the number of tasks to start on it.
    struct task_allocation {
        std::size_t worker = 0;
        int tasks = 0;
    };
    std::vector<candidate> find_candidates(const ready_step& step, time_point time);
    bool may_use(const ready_step& step, std::size_t worker, bool& is_reserved, time_point time);
    std::optional<candidate> find_candidate(const ready_step& step,
                                            const free_capacity_index::worker_capacity& capacity,
                                            time_point time);
    [[nodiscard]] bool can_run(const ready_step& step, std::size_t worker, time_point time) const;
    [[nodiscard]] bool is_permitted(const ready_step& step, std::size_t worker) const;
    void place_tasks(const ready_step& step, time_point time);
    /// Whether the worker is reserved for a gang, whether it is outside the preferred rack, the
    /// free processors left, and the worker's index. The lowest cost is used first.
    using task_cost = std::tuple<bool, bool, std::int64_t, std::size_t>;
    [[nodiscard]] task_cost cost_of(const ready_step& step, const candidate& option) const;
    void start_on_best(const ready_step& step, std::vector<candidate>& candidates, time_point time);
    void request_more_permissions(const ready_step& step, const std::vector<candidate>& candidates,
                                  time_point time);
    void place_gang(const ready_step& step, time_point time);
    std::optional<std::vector<task_allocation>>
    choose_for_gang(const ready_step& step, const std::vector<candidate>& candidates,
                    time_point time) const;
    void start_gang(const ready_step& step, const std::vector<task_allocation>& allocations,
                    time_point time);
    void start_task(const ready_step& step, int index, std::size_t worker, std::int64_t run,
                    time_point time);
    void record_placed(const ready_step& step, int tasks, time_point time);
    [[nodiscard]] std::optional<milliseconds> shortest_ticket(const ready_step& step, int tasks,
                                                              time_point time) const;
    void reserve_for_gang(const ready_step& step, time_point time);
    std::optional<gang_reservation> plan_reservation(const ready_step& step, time_point time);
    bool may_preempt(const run_name& name, const held_run& run, const ready_step& gang,
                     time_point time);
    void preempt_runs(const ready_step& gang, const gang_reservation& reservation, time_point time);
    bool may_request_permission(const ready_step& step, time_point time);
    bool has_call_slot(const ready_step& step, milliseconds service_time, time_point time);
    void begin_call(const permission_request& request, time_point time);
    void end_call(const permission_request& request);
    [[nodiscard]] milliseconds lead_time() const;
    admission_decision may_admit(const job_spec& spec, const queue_terms& terms, time_point time);
    void record_waiting_work(time_point time);
    void record_accepted_start(const job_record& job, int step, time_point time);
    bool request_permission(const ready_step& step, std::vector<std::size_t> workers,
                            time_point time);
    void request_for_unknown_workers(const ready_step& step, time_point time);
    void withdraw_requests();
    std::vector<std::size_t> find_unknown_workers(const ready_step& step, time_point time);
    /// How many tasks of a step fit on its permitted workers.
    struct step_capacity {
        int now = 0;
        int when_empty = 0; ///< If no other tasks run there.
    };
    int fits_now(const ready_step& step, std::size_t worker, time_point time);
    step_capacity permitted_capacity(const ready_step& step, time_point time);
    std::size_t max_workers_to_request(const ready_step& step) const;
    [[nodiscard]] std::int64_t next_run(const step_record& step, int index) const;

    // upkeep
    void run_pass(time_point time);
    void repeat_stops(time_point time);
    void ask_for_reports(time_point time);
    void stop_stuck_runs(time_point time);
    void drop_idle_leavers();
    void forget_ended(wall_time wall);
    void release_waiters(job_record& job);
    struct chain_state;
    void add_job_changes(chain_state& chain, job_record& job, record_batch& batch);
    void add_changes(chain_state& chain, std::size_t most, record_batch& batch);
    [[nodiscard]] bool may_write(std::size_t chain, time_point time) const;
    void add_roster(record_batch& batch);
    void add_removals(std::size_t most, record_batch& batch);

    workflow_options options_;
    fleet fleet_;
    worker_health health_;
    admission admission_;
    order_window orders_;
    /// What one chain of transactions is writing.
    struct chain_state {
        std::vector<batch_job> batch;
        std::optional<time_point> writes_since; ///< None when no transaction is under way.
    };
    change_log changes_;
    std::vector<chain_state> chains_;
    gang_reservations gang_reservations_;
    ready_queue ready_;
    free_capacity_index free_capacity_;
    /// Where the next pass continues after the most urgent steps.
    std::optional<ready_queue::entry> resume_at_;
    std::set<std::pair<std::size_t, run_name>> unsent_stops_; ///< Wanted and not answered.
    std::unordered_map<std::string, std::unique_ptr<job_record>> jobs_;
    std::map<std::uint64_t, job_record*> open_; ///< By the order in which they were taken in.
    std::map<const job_record*, waiters> waiters_;
    std::map<std::uint64_t, permission_request> requests_; ///< Requests in flight, by number.
    permission_budget permission_budget_;
    permission_shares permission_shares_;         ///< Divides the call slots for long calls.
    std::multimap<wall_time, std::string> ended_; ///< For the end of their retention.
    std::vector<std::string> removals_;           ///< Keys that the store may drop.
    std::set<std::size_t> batch_roster_;
    bool roster_in_batch_ = false;
    std::set<std::size_t> roster_;     ///< Workers that may hold runs.
    std::set<std::size_t> unreported_; ///< Of an earlier owner's roster.
    workflow_actions actions_;
    workflow_counts counts_;
    std::map<std::string, queue_load> queue_loads_; ///< Load since the last take_queue_loads().
    std::uint64_t last_request_ = 0;
    std::uint64_t last_sequence_ = 0;
    bool roster_changed_ = false;
    bool store_available_ = true;
    bool pass_wanted_ = false;
    std::size_t waiting_steps_ = 0;
    time_point last_pass_{};
    time_point next_pass_{}; ///< Not before this, so that passes leave time for other things.
    time_point last_sample_{};
    time_point last_upkeep_{};
};

} // namespace flamingoseam::workflow
