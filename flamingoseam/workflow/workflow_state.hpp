#pragma once

#include "flamingoseam/shard/worker_health.hpp"
#include "flamingoseam/workflow/admission.hpp"
#include "flamingoseam/workflow/change_log.hpp"
#include "flamingoseam/workflow/fleet.hpp"
#include "flamingoseam/workflow/free_capacity_index.hpp"
#include "flamingoseam/workflow/gang_reservations.hpp"
#include "flamingoseam/workflow/job_record.hpp"
#include "flamingoseam/workflow/order_window.hpp"
#include "flamingoseam/workflow/overdue_share.hpp"
#include "flamingoseam/workflow/permission_budget.hpp"
#include "flamingoseam/workflow/permission_shares.hpp"
#include "flamingoseam/workflow/queue_catalog.hpp"
#include "flamingoseam/workflow/queue_load.hpp"
#include "flamingoseam/workflow/ready_queue.hpp"
#include "flamingoseam/workflow/recent_ids.hpp"
#include "flamingoseam/workflow/stop_reason.hpp"
#include "flamingoseam/workflow/stored_job.hpp"
#include "flamingoseam/workflow/work_order.hpp"
#include "flamingoseam/workflow/worker_assignment.hpp"
#include "flamingoseam/workflow/worker_lending.hpp"
#include "flamingoseam/workflow/workflow_actions.hpp"

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

/// Options of a workflow_state.
struct workflow_options {
    /// Increases with each owner; run numbers begin above those of earlier owners.
    std::uint64_t epoch = 1;
    record_keys keys{.prefix = "fs/"};
    std::size_t max_open_jobs = 6'000;
    milliseconds ended_retention{150'000}; ///< Time for which an ended job's state is kept.
    /// Number of commit streams. Each stream may have one transaction in flight.
    std::size_t streams = 1;
    step_ranking order = rank_by_urgency;
    std::size_t max_records = 30; ///< Maximum records written or removed by one transaction.
    milliseconds slow_write{60};  ///< After a write of this length the next stream may write, too.
};

/// The steps that have waited for long for one reason.
struct wait_summary {
    int steps = 0;
    milliseconds longest{0}; ///< The longest of their waits.
};

/// Makes all decisions about jobs of several steps, without clocks, threads or sockets. Events are
/// passed in by calls; take_actions() returns the resulting actions. Not thread-safe.
class workflow_state {
public:
    explicit workflow_state(workflow_options options);

    /// Loads the jobs and leased workers that an earlier owner has stored. Tasks that it may have
    /// started are not placed until each of its leased workers has reported or certainly holds no
    /// run.
    void load(std::vector<job_record> jobs, const std::vector<worker_entry>& leased_workers,
              time_point time, wall_time wall);

    /// Sets the accepted jobs whose stored records can't be read. Their ends are not acknowledged,
    /// unless so many follow on the same worker that it could not list all of them.
    void set_unreadable_jobs(std::set<std::string> jobs) { unreadable_jobs_ = std::move(jobs); }

    /// Checks whether the stored records of an accepted job can't be read. Complexity: logarithmic
    /// in the number of such jobs.
    [[nodiscard]] bool is_unreadable(const std::string& job) const
    {
        return unreadable_jobs_.contains(job);
    }

    /// Handles the submission of a job; the answer follows under `token` when the job is stored. A
    /// submission with a known id refers to the existing job. The newest known terms of its queue
    /// apply. Complexity: linear in the tasks.
    void submit(std::uint64_t token, const job_spec& spec, const queue_terms& submitted_terms,
                time_point time, wall_time wall);

    /// Handles a version of the operators' configuration; has no effect unless it is newer than the
    /// last one. The open jobs of its queues run where and in the order that it says; their targets
    /// and attempts stay those of their acceptance. Complexity: linear in the queues and in the
    /// open jobs, and if a queue has got another service, in the workers for each kind of task.
    void on_queue_configuration(const queue_configuration& configuration, time_point time);

    /// Cancels a job; the answer follows under `token` when the cancellation is stored. A job that
    /// is not known is refused if its submission arrives soon after this.
    void cancel(std::uint64_t token, const std::string& job, time_point time, wall_time wall);

    /// Returns the phase of a job, none if the job is unknown. A final phase is returned only when
    /// it is stored; until then the phase is `running`.
    [[nodiscard]] std::optional<job_phase> find(const std::string& job) const;

    /// Returns the number of a queue's accepted jobs of which no task has started.
    [[nodiscard]] int count_pending(const std::string& queue) const;

    /// Handles a new version of the platform's complete list of workers.
    void on_worker_list(const std::vector<worker_entry>& workers, time_point time);

    /// Sets the own shard and the sizes of the cell, which limit the lending of workers.
    void set_lending_limits(const lending_limits& limits) { lending_limits_ = limits; }

    /// Returns a request for workers of other shards, or none if the own ones suffice. Services
    /// that lack workers take turns. Complexity: linear in the workers and the waiting steps, for
    /// each service.
    [[nodiscard]] std::optional<worker_request> find_worker_request(time_point time);

    /// Decides on a request of another shard for workers. Returns how many it gets at once; more
    /// may follow when they are idle. The other owner may use a worker once its assignment is
    /// stored. Complexity: linear in the workers and the waiting steps.
    std::size_t lend_workers(const worker_request& request, time_point time);

    /// Records that the platform confirmed at `time` that the list of workers was current.
    void confirm_worker_list(time_point time) { worker_list_confirmed_ = time; }

    /// Returns the time since the last confirmation of the list of workers; zero before the first.
    [[nodiscard]] time_point::duration worker_list_age(time_point time) const;

    /// Handles a report of a worker that has accepted this owner's epoch.
    void on_report(std::size_t worker, const worker_report& report, time_point time,
                   wall_time wall);

    /// Handles the result of a start order.
    void on_start(std::size_t worker, const run_name& name, start_outcome outcome, time_point time);

    /// Handles a worker's acceptance of a stop order.
    void on_stop(std::size_t worker, const run_name& name, time_point time);

    /// Records whether a worker is unreachable at present. Its lease has not been extended since
    /// `silent_since` and must not be until a renewal permit for that time is among the actions,
    /// since the stored list of leased workers may say that it is not.
    void on_unreachable_changed(std::size_t worker, bool unreachable, time_point silent_since,
                                time_point time);

    /// Records that a worker certainly holds no run any more.
    void on_emptied(std::size_t worker, emptied_reason reason, time_point time, wall_time wall);

    /// Sets the number of call slots, which is the number of calls that the permission service
    /// processes at the same time.
    void set_permission_call_slots(std::size_t call_slots)
    {
        permission_budget_.set_call_slots(call_slots);
    }

    /// Handles the answer to a permission request; `grants` is none if the request failed.
    void on_permission(std::uint64_t number, const std::optional<std::vector<ticket_grant>>& grants,
                       time_point time);

    /// Checks whether a commit stream should write now. The first stream writes whenever there are
    /// changes, so that few large transactions are written. Each other stream writes only while all
    /// streams before it are writing and either a full transaction is pending, or their writes take
    /// long because the store is slow or an answer was lost. Complexity: linear in the streams.
    [[nodiscard]] bool should_write(std::size_t stream, time_point time) const;

    /// Checks whether enough changes are pending to fill a transaction, so that there is no use in
    /// waiting for more. Complexity: constant.
    [[nodiscard]] bool has_full_batch() const;

    /// Returns the next changes for a commit stream, at most `max_records` records; empty if the
    /// stream should not write now. New jobs and final states precede progress. Each stream has at
    /// most one batch in flight.
    record_batch take_batch(std::size_t stream, std::size_t max_records, time_point time);

    /// Records that the batch in flight of a commit stream is stored.
    void on_stored(std::size_t stream);

    /// Sets whether the store is available. While it is not, new jobs are refused, and so are jobs
    /// that no transaction has tried to store yet. Complexity: linear in the open jobs.
    void set_store_available(bool available);

    /// Declares that an earlier owner may still start the tasks of the jobs that are about to be
    /// loaded. Until on_earlier_owner_ended(), none of them is started that isn't known to run.
    void await_earlier_owner() { awaits_earlier_owner_ = true; }

    /// Records that no earlier owner has started runs since `time`. The tasks that are not known to
    /// run may be started once each worker has shown after that which runs it holds: one that had
    /// done so may have restarted since, and have accepted a run from the earlier owner.
    void on_earlier_owner_ended(time_point time);

    /// Sets whether it is certain that no later owner exists. While it is not, no run is started:
    /// a later owner may have started the same task on another worker.
    void set_certain(bool certain);

    /// Returns since when more than half of the leased workers have answered this owner, as far as
    /// they have not restarted after `proven_at`, when there was no later owner; none if so many
    /// have never answered. A restarted worker does not count, since it may have forgotten a later
    /// owner. Complexity: linear in the workers.
    [[nodiscard]] std::optional<time_point> majority_answered_at(time_point proven_at) const;

    /// Records that no earlier owner extends leases any more. Until then the store must not say of
    /// a worker that its lease is not extended, unless an earlier owner has stored that. Has no
    /// effect when it is repeated.
    void on_earlier_renewals_ended();

    /// Checks whether so many of the loaded leased workers have accepted this owner's epoch that no
    /// majority of them can answer an earlier owner any more. Complexity: constant.
    [[nodiscard]] bool has_majority_accepted() const
    {
        return 2 * not_accepting_.size() <= loaded_quorum_.size();
    }

    /// Repeats unanswered orders, stops stalled runs and places waiting tasks. To be called at
    /// least every 50 ms and after each group of events.
    void tick(time_point time);

    /// Returns the pending actions and clears them.
    workflow_actions take_actions();

    [[nodiscard]] const fleet& workers() const { return fleet_; }
    [[nodiscard]] const workflow_counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t open_jobs() const { return open_.size(); }
    [[nodiscard]] bool is_recovering() const { return !unreported_.empty(); }

    /// Returns the number of steps that were ready to run at the last scheduling pass.
    [[nodiscard]] std::size_t waiting_steps() const { return waiting_steps_; }

    /// Returns the steps that had waited for long at the last report on them, by the reason of the
    /// wait. Complexity: constant.
    [[nodiscard]] const std::map<std::string, wait_summary>& long_waits() const
    {
        return long_waits_;
    }

    /// Returns the number of open jobs that should have ended by `time`. Complexity: linear in
    /// the open jobs.
    [[nodiscard]] std::size_t count_overdue(time_point time) const;

    /// Returns the load of each queue that had any since the last call, and resets the counters.
    /// Complexity: linear in the number of open jobs.
    std::vector<queue_load> take_queue_loads(time_point time);

    [[nodiscard]] const change_log& changes() const { return changes_; }

    /// Returns the number of unconfirmed runs, whose start orders were not answered and are not
    /// ruled out. Complexity: linear in the runs.
    [[nodiscard]] std::size_t count_unconfirmed() const;

    /// Returns the worker's index. Complexity: constant.
    [[nodiscard]] std::optional<std::size_t> find_worker(const std::string& id) const
    {
        return fleet_.find(id);
    }

private:
    struct end_key {
        std::size_t worker;
        std::int64_t incarnation;
        std::int64_t number;
    };
    struct pending_answer {
        std::uint64_t change;
        std::uint64_t token;
    };
    /// The answers and ended runs that wait until a job's changes are stored, each with the number
    /// of the change.
    struct waiters {
        std::vector<pending_answer> answers;
        std::vector<std::pair<std::uint64_t, end_key>> ends;
    };
    struct batch_job {
        job_record* job;
        std::uint64_t change;
        bool writes_specification;
    };

    // jobs of queues whose terms change
    void follow_terms(job_record& job, const queue_terms& newest);
    void update_moved_jobs(time_point time);
    void move_job(job_record& job, const std::string& service);
    void drop_reservations(const job_record& job);

    // jobs and their tasks
    job_record* find_job(const std::string& id);
    void change(job_record& job) { changes_.record(job); }
    void refuse(std::uint64_t token, const std::string& job, const std::string& reason,
                milliseconds retry_after, std::vector<log_field> inputs = {});
    void refuse_unwritten();
    void set_task_phase(job_record& job, int step, int index, task_phase phase);
    void finish_task(job_record& job, int step, int index, wall_time wall);
    void finish_gang(job_record& job, int step, wall_time wall);
    void close_job(job_record& job, job_phase phase, wall_time wall);
    void close_if_completed(job_record& job, wall_time wall);
    void close_completed_jobs(wall_time wall);
    static void record_loaded_turns(job_record& job, time_point accepted);
    void stop_runs_of(const job_record& job);
    void requeue_task(job_record& job, int step, int index);
    void break_gang(job_record& job, int step);
    void clear_broken_gang(job_record& job, int step);
    void record_failure(job_record& job, const run_name& name, time_point time, wall_time wall);
    void record_checkpoint(job_record& job, const ended_run& end);
    void log_decision(std::string event, const std::string& job, std::string detail,
                      std::vector<log_field> fields = {});

    // workers' reports
    void log_first_report(std::size_t worker, const worker_report& report);
    [[nodiscard]] std::optional<time_point>
    majority_answered_at(const std::set<std::size_t>& workers, time_point proven_at) const;
    void begin_incarnation(std::size_t worker, std::int64_t incarnation, bool after_crash,
                           time_point time);
    void settle_ends(std::size_t worker, const worker_report& report);
    void repeat_forget(std::size_t worker, const worker_report& report);
    void handle_end(std::size_t worker, const ended_run& end, time_point time, wall_time wall);
    void acknowledge_kept_ends();
    void drop_kept_end(std::size_t worker);
    void log_unknown_job(const std::string& event, std::size_t worker, const run_name& name,
                         const std::string& what, std::vector<log_field> fields = {});
    void apply_end(job_record& job, std::size_t worker, const ended_run& end, time_point time,
                   wall_time wall);
    void interrupt(std::size_t worker, const run_name& name);
    void handle_present_run(std::size_t worker, const present_run& run, time_point asked,
                            time_point time);
    void adopt(std::size_t worker, const present_run& run, time_point time);
    void handle_missing_runs(std::size_t worker, const worker_report& report, time_point time,
                             wall_time wall);
    void apply_refusal(job_record& job, std::size_t worker, const run_name& name,
                       start_outcome outcome, time_point time);
    void mark_unconfirmed(std::size_t worker, const run_name& name, assigned_run& run,
                          time_point time);
    void rule_out(std::size_t worker, const run_name& name, assigned_run& run, time_point time);
    void request_stop(std::size_t worker, const run_name& name, assigned_run& run,
                      stop_reason reason);
    void mark_run_lost(std::size_t worker, const run_name& name);
    [[nodiscard]] bool awaits_start(std::size_t worker, const assigned_run& run,
                                    time_point time) const;
    void keep_ruled_out(std::size_t worker, const run_name& name, assigned_run run,
                        time_point time);
    void release_undelivered_runs(time_point time);
    void record_crash(std::size_t worker, const run_name& name, time_point time, wall_time wall);
    void acknowledge_end(std::size_t worker, std::int64_t incarnation, std::int64_t number);
    void order_forget(std::size_t worker);
    void mark_located_if_confirmed(std::size_t worker);
    [[nodiscard]] bool has_reported_since_earlier_owner(std::size_t worker) const;
    [[nodiscard]] bool is_located(std::size_t worker) const;
    void mark_located(std::size_t worker);
    void release_unlocated();
    void release_unlocated(job_record& job, int step);
    [[nodiscard]] bool awaits_earlier_owner(const job_record& job) const;
    void record_health(std::size_t worker, const std::string& job, bool failed, time_point time);

    // load of queues
    queue_load& load_of(const job_record& job);
    void record_run_time(std::size_t worker, const ended_run& end, time_point time);

    // placing
    bool schedule(time_point time);
    void place_step(const ready_step& step, time_point time);
    void begin_wait(const ready_step& step, time_point time);
    void end_wait(const ready_step& step, time_point time);
    /// A step that has waited for too long and goes first in each pass.
    struct overdue_turn {
        std::string job;
        int step = 0;
        time_point until{}; ///< Zero until the step might send a request.
    };
    void place_overdue_steps(time_point time);
    std::vector<ready_step> find_overdue_steps(time_point time);
    void begin_turns(time_point time);
    void end_turns(time_point time);
    [[nodiscard]] time_point end_of_turn(const overdue_turn& turn, const step_record& step) const;
    [[nodiscard]] bool has_turn(const ready_step& step) const;
    void record_overdue_starts(const ready_step& step, int tasks, time_point time);
    void record_overdue_call(milliseconds service_time, time_point time);
    [[nodiscard]] urgency request_urgency(const ready_step& step) const;
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
    [[nodiscard]] bool is_service_idle(const ready_step& step) const;
    bool may_use(const ready_step& step, std::size_t worker, bool& is_reserved, time_point time);
    std::optional<candidate> find_candidate(const ready_step& step,
                                            const free_capacity_index::worker_capacity& capacity,
                                            time_point time);
    [[nodiscard]] bool can_run(const ready_step& step, std::size_t worker, time_point time) const;
    [[nodiscard]] bool is_permitted(const ready_step& step, std::size_t worker) const;
    void place_tasks(const ready_step& step, time_point time);
    time_point::duration rack_wait_left(const ready_step& step, time_point time);
    bool is_waiting_for_rack(const ready_step& step, time_point time)
    {
        return rack_wait_left(step, time) > time_point::duration::zero();
    }
    bool has_suitable_rack(const ready_step& step, time_point time);
    int places_if_empty(const ready_step& step, const std::vector<std::size_t>& workers,
                        time_point time);
    std::vector<candidate> take_other_racks(const ready_step& step,
                                            std::vector<candidate>& candidates) const;
    [[nodiscard]] bool is_rack_wait_ending(const ready_step& step, time_point::duration left) const;
    /// Whether the worker is reserved for a gang, whether it is outside the preferred rack, the
    /// free processors left, and the worker's index. The lowest cost is used first.
    using task_cost = std::tuple<bool, bool, std::int64_t, std::size_t>;
    [[nodiscard]] task_cost cost_of(const ready_step& step, const candidate& option) const;
    void start_on_best(const ready_step& step, std::vector<candidate>& candidates, time_point time);
    void start_suspects(const ready_step& step, std::vector<candidate>& candidates,
                        time_point time);
    [[nodiscard]] bool can_isolate(const ready_step& step, const candidate& option) const;
    void isolate_loaded_suspects(job_record& job, time_point time);
    void request_more_permissions(const ready_step& step, const std::vector<candidate>& candidates,
                                  time_point time);
    void place_gang(const ready_step& step, time_point time);
    std::optional<std::vector<task_allocation>>
    allocate_gang(const ready_step& step, const std::vector<candidate>& candidates,
                  const std::string* rack) const;
    std::optional<std::vector<task_allocation>>
    allocate_gang_to_any_rack(const ready_step& step,
                              const std::vector<candidate>& candidates) const;
    std::optional<std::vector<task_allocation>>
    choose_for_gang(const ready_step& step, const std::vector<candidate>& candidates,
                    time_point time);
    void start_gang(const ready_step& step, const std::vector<task_allocation>& allocations,
                    time_point time);
    /// How a started task uses its worker.
    enum class placement { shared, isolated };
    void start_task(const ready_step& step, int index, std::size_t worker, std::int64_t run,
                    placement use, time_point time);
    void record_placed(const ready_step& step, int tasks, time_point time);
    [[nodiscard]] std::optional<milliseconds> shortest_ticket(const ready_step& step, int tasks,
                                                              time_point time) const;
    void reserve_for_gang(const ready_step& step, time_point time);
    void place_gang_with_tickets(const ready_step& step, const std::vector<candidate>& candidates,
                                 time_point time);
    void renew_for_gang(const ready_step& step, const std::vector<task_allocation>& allocations,
                        const std::vector<candidate>& candidates, time_point time);
    static void add_spare_workers(gang_reservation& reservation,
                                  const std::vector<candidate>& candidates);
    static std::vector<std::size_t> workers_without_ticket(const ready_step& step,
                                                           const gang_reservation& reservation,
                                                           time_point needed);
    [[nodiscard]] bool is_service_busy(const ready_step& step) const;
    [[nodiscard]] bool has_claim(const ready_step& step) const;
    void update_claims(time_point time);
    void end_claims(time_point time);
    void give_claims(time_point time);
    bool may_claim(const ready_step& step, time_point time);
    void hold_permitted_workers(const ready_step& step, time_point time);
    void request_tickets_for_hold(const ready_step& step, time_point time);
    void drop_expired_reservations(time_point time);
    std::optional<gang_reservation> plan_reservation(const ready_step& step, time_point time);
    bool may_preempt(const run_name& name, const assigned_run& run, const ready_step& gang,
                     time_point time);
    void preempt_runs(const ready_step& gang, const gang_reservation& reservation, time_point time);
    bool may_request_permission(const ready_step& step, time_point time);
    bool has_call_slot(const ready_step& step, milliseconds service_time, time_point time);
    void begin_call(const permission_request& request, time_point time);
    void end_call(const permission_request& request);
    [[nodiscard]] milliseconds lead_time() const;
    admission_decision may_admit(const job_spec& spec, const queue_terms& terms, time_point time);
    void refuse_unservable(std::uint64_t token, const job_spec& spec, const queue_terms& terms,
                           const admission_decision& decision);
    void record_waiting_work(time_point time);
    void record_obsolete_gangs(time_point time);
    [[nodiscard]] double empty_workers_needed(const step_spec& step) const;
    void record_accepted_start(const job_record& job, int step, time_point time);
    bool request_permission(const ready_step& step, std::vector<std::size_t> workers,
                            time_point time);
    void request_for_unknown_workers(const ready_step& step, time_point time);
    void withdraw_requests();
    void end_overdue_requests(time_point time);
    [[nodiscard]] bool may_explore(std::size_t unknown_workers, time_point time) const;
    void add_workers_to_renew(const ready_step& step, std::vector<std::size_t>& workers,
                              time_point time);
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

    // maintenance and storing
    void run_pass(time_point time);
    void repeat_stops(time_point time);
    void doubt_overdue_starts(time_point time);
    void request_reports(time_point time);
    void stop_stalled_runs(time_point time);
    void remove_idle_leaving_workers();
    /// What is known of a step that might start tasks.
    struct wait_facts {
        int usable = 0;             ///< Usable workers that may run the step.
        int usable_permitted = 0;   ///< Those of them that are permitted.
        int unknown = 0;            ///< Those that the permission service has not answered about.
        int places = 0;             ///< Tasks that fit on permitted workers now.
        int places_with_ticket = 0; ///< Tasks that may start there at once.
    };
    /// Why a step waits.
    struct wait_reason {
        std::string text;
        std::string name = {}; ///< Of the service, label or rack that the text speaks of, if any.
    };
    wait_facts facts_of(const ready_step& step, time_point time);
    wait_reason reason_for_waiting(const ready_step& step, const wait_facts& facts,
                                   time_point time);
    [[nodiscard]] wait_reason reason_without_workers(const ready_step& step, time_point time) const;
    /// A step that has waited for long.
    struct long_wait {
        ready_step step;
        time_point since{};
    };
    std::optional<wait_reason> reason_without_search(const ready_step& step, time_point time) const;
    [[nodiscard]] wait_reason presumed_reason(const ready_step& step, time_point time) const;
    bool has_present_run(const job_record& job, std::size_t step);
    std::vector<long_wait> find_long_waits(time_point time);
    void report_waiting_step(const long_wait& wait, const wait_facts& facts,
                             const wait_reason& reason, time_point time);
    void report_waiting_steps(time_point time);
    [[nodiscard]] static std::set<std::size_t> waits_to_name(const std::vector<long_wait>& waits,
                                                             time_point time);
    void report_long_waits(const std::vector<long_wait>& waits, time_point time);
    void report_late_start(const ready_step& step, int tasks, time_point time);
    void forget_ended(time_point time);
    void release_waiters(job_record& job);
    struct stream_state;
    void add_job_changes(stream_state& stream, job_record& job, record_batch& batch);
    void add_changes(stream_state& stream, std::size_t max_records, record_batch& batch);
    [[nodiscard]] bool may_write(std::size_t stream, time_point time) const;
    void add_leased_workers(record_batch& batch);
    [[nodiscard]] bool may_join_quorum(std::size_t worker) const;
    [[nodiscard]] lease_renewal renewal_to_store(const fleet_worker& worker) const;
    void on_leased_workers_stored();
    void add_assignments(record_batch& batch);
    void on_assignments_stored();

    // lending of workers to other shards
    [[nodiscard]] worker_stock stock_of(const std::string& service, time_point time) const;
    [[nodiscard]] bool is_idle(std::size_t worker) const;
    [[nodiscard]] bool can_release(std::size_t worker, time_point time) const;
    void release_worker(std::size_t worker, std::size_t shard);
    [[nodiscard]] double labelled_share(const ready_step& step, time_point time) const;
    [[nodiscard]] int stranded_tasks(const ready_step& step, time_point time) const;
    [[nodiscard]] int tasks_per_worker(const ready_step& step) const;
    [[nodiscard]] std::vector<waiting_step> find_unlocated(const std::string& service,
                                                           time_point time) const;
    [[nodiscard]] waiting_step as_waiting(const ready_step& step, time_point time) const;
    std::optional<worker_request> worker_request_for(const std::string& service, time_point time);
    worker_demand demand_for(const std::string& service, const worker_stock& stock,
                             time_point time);
    [[nodiscard]] const ready_step* find_oldest_waiting(const std::string& service,
                                                        time_point time) const;
    std::vector<std::size_t> find_lendable(const worker_request& request, time_point time);
    [[nodiscard]] bool may_need(const ready_step& step, std::size_t worker) const;
    [[nodiscard]] std::size_t held_workers(const worker_request& request, std::size_t workers,
                                           time_point time) const;
    std::size_t drain_workers(const worker_request& request, std::size_t count, time_point time);
    void release_drained(time_point time);
    void add_removals(std::size_t max_records, record_batch& batch);

    workflow_options options_;
    fleet fleet_;
    worker_health health_;
    admission admission_;
    order_window orders_;
    /// The write of one commit stream.
    struct stream_state {
        std::vector<batch_job> batch;
        std::optional<time_point> writes_since; ///< None if no transaction is in flight.
    };
    change_log changes_;
    std::vector<stream_state> streams_;
    gang_reservations gang_reservations_;
    ready_queue ready_;
    free_capacity_index free_capacity_;
    /// Where the next pass continues after the most urgent steps.
    std::optional<ready_queue::entry> resume_at_;
    std::vector<overdue_turn> turns_; ///< Those with the fewest tasks first.
    time_point next_turns_{};         ///< Earliest next search for overdue steps.
    overdue_share overdue_starts_;    ///< Of the workers.
    overdue_share overdue_calls_;     ///< Of the call slots for long calls.
    bool places_overdue_steps_ = false;
    /// A late gang that needs permission. Workers are held for it, and its permission requests go
    /// first.
    struct gang_claim {
        std::string service;
        std::string job;
        int step = 0;
        bool is_obsolete = false; ///< Its result was too late to be of use when it was given.
        time_point until{};
    };
    std::vector<gang_claim> claims_; ///< A few for each service.
    time_point next_claim_search_{};
    /// Requested stops that the worker has not accepted yet.
    std::set<std::pair<std::size_t, run_name>> unaccepted_stops_;
    std::unordered_map<std::string, std::unique_ptr<job_record>> jobs_;
    std::set<std::string> unreadable_jobs_;
    std::map<std::uint64_t, job_record*> open_; ///< By the order in which they were received.
    queue_catalog queues_;
    /// A submission may be on its way for as long as a node that forwards it is suspended.
    static constexpr milliseconds unknown_cancelled_retention{60'000};
    static constexpr std::size_t max_unknown_cancelled = 20'000;
    recent_ids unknown_cancelled_{unknown_cancelled_retention, max_unknown_cancelled};
    /// Open jobs whose queue has got another service since they were accepted.
    std::set<std::uint64_t> moved_jobs_;
    std::map<const job_record*, waiters> waiters_;
    std::map<std::uint64_t, permission_request> requests_; ///< Requests in flight, by number.
    permission_budget permission_budget_;
    permission_shares permission_shares_; ///< Divides the call slots for long calls.
    /// Ended jobs by the end of their retention, which a new owner begins anew.
    std::multimap<time_point, std::string> ended_;
    std::vector<std::string> newly_ended_; ///< Their retention begins with the next batch.
    std::vector<std::string> removals_;    ///< Keys to be removed from the store.
    /// Leased workers of the batch, with the addresses that it names.
    std::map<std::size_t, endpoint> batch_leased_workers_;
    std::set<std::size_t> batch_quorum_; ///< Those of them that count for a majority.
    /// Workers of the batch whose lease, it says, is not renewed.
    std::set<std::size_t> batch_silent_workers_;
    bool leased_workers_in_batch_ = false;
    std::set<std::size_t> leased_workers_; ///< Workers that may hold runs.
    /// Those that the store is known to contain as members of the quorum. An owner that is accepted
    /// by a majority of them is the only one that is.
    std::set<std::size_t> stored_quorum_;
    std::set<std::size_t> unreported_;    ///< Earlier owner's workers that may hold unknown runs.
    std::set<std::size_t> loaded_quorum_; ///< The quorum in the earlier owner's list.
    std::set<std::size_t> not_accepting_; ///< Those of them that have not reported to this owner.
    lending_limits lending_limits_;
    std::map<std::string, lending_turns> lending_turns_; ///< By service.
    std::map<std::string, unused_time> unused_times_;    ///< By service.
    /// When a worker was last given to a shard.
    std::map<std::pair<std::size_t, std::size_t>, time_point> lent_at_;
    std::uint64_t borrowings_ = 0; ///< Number of requests for workers of other shards.
    std::map<std::string, std::uint64_t> borrowed_at_;     ///< Number of the last one, by service.
    std::map<std::string, worker_assignment> assignments_; ///< To be stored, by worker.
    std::vector<std::string> batch_assignments_; ///< Workers whose assignment is being stored.
    workflow_actions actions_;
    workflow_counts counts_;
    std::map<std::string, queue_load> queue_loads_; ///< Load since the last take_queue_loads().
    std::uint64_t last_request_ = 0;
    std::uint64_t last_sequence_ = 0;
    bool earlier_renewals_ended_ = false; ///< No earlier owner extends leases any more.
    bool leased_workers_changed_ = false;
    bool store_available_ = true;
    bool certain_ = true; ///< No later owner can exist.
    /// An earlier owner may still start tasks of the loaded jobs.
    bool awaits_earlier_owner_ = false;
    time_point earlier_owner_ended_{}; ///< When that was over; zero if there was no such owner.
    std::uint64_t last_loaded_sequence_ = 0; ///< Of the jobs that were loaded.
    time_point worker_list_confirmed_{};
    bool pass_requested_ = false;
    std::size_t waiting_steps_ = 0;
    time_point last_pass_{};
    time_point next_pass_{}; ///< Earliest next pass; passes leave time for other work.
    time_point last_sample_{};
    time_point last_maintenance_{};
    time_point next_waiting_report_{};
    std::map<std::string, wait_summary> long_waits_; ///< Of the last report, by reason.
    std::int64_t idle_jobs_ = 0; ///< Of the last report: jobs that have had no run for long.
};

} // namespace flamingoseam::workflow
