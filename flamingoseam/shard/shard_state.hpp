#pragma once

#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/job/journal.hpp"
#include "flamingoseam/placement/placement_policy.hpp"
#include "flamingoseam/retry/retry_budget.hpp"
#include "flamingoseam/shard/estimator.hpp"
#include "flamingoseam/shard/records.hpp"
#include "flamingoseam/shard/share_ledger.hpp"
#include "flamingoseam/shard/worker_health.hpp"
#include "flamingoseam/worker/messages.hpp"
#include "flamingoseam/worker/vm_list.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingoseam {

/// Options of a shard_state.
struct shard_options {
    std::string shard;
    std::string owner;
    std::uint64_t epoch = 1;
    wall_time began{0};            ///< When this owner took over the shard.
    milliseconds clock_skew{2000}; ///< Maximum difference between the clocks of any two processes.
    milliseconds id_window = std::chrono::minutes(10); ///< Requests with an older id are refused.
    /// How long the output of an ended call is kept for repeats.
    milliseconds output_retention = std::chrono::seconds(30);
    /// How long an ended job stays in the journal.
    milliseconds job_retention = std::chrono::hours(1);
    /// Maximum duration of a gang's reservation, and the pause before the same gang gets another.
    milliseconds max_gang_reservation = std::chrono::seconds(20);
    std::size_t max_journal_bytes = 900'000; ///< Maximum estimated size of one journal record.
    int non_idempotent_task_window = 4;      ///< Value of `task_window` for non-idempotent jobs.
    int task_window = 64; ///< Maximum number of batch tasks that one journal write opens.
};

/// Placement policies by class of work: `packing` serves gangs and batch tasks.
struct shard_policies {
    std::unique_ptr<placement_policy> calls = make_least_loaded_policy();
    std::unique_ptr<placement_policy> services = make_spread_policy();
    std::unique_ptr<placement_policy> packing = make_best_fit_policy();
};

/// Counters for metrics and measurements.
struct shard_counts {
    std::int64_t starts = 0;
    std::int64_t refusals = 0;
    std::int64_t preemptions = 0;
    std::int64_t retries = 0;
    std::int64_t passes = 0; ///< Scheduling passes over all queues.
};

/// One worker in the list of a shard's workers.
struct worker_view {
    std::string address;
    std::string zone;
    std::string rack;
    std::string status;
    resources capacity;
    resources reserved;
};

/// Current state of a job or call.
struct request_view {
    std::string request_id;
    std::string cls;
    std::string state; ///< accepting, waiting, running or ended.
    std::string held_by;
    std::string held_text;            ///< The contract line or other reason, as a sentence.
    std::map<std::string, int> tasks; ///< Number of tasks by phase.
    outcome result;
};

void operator<<=(cxxtools::SerializationInfo& info, const worker_view& value);
void operator>>=(const cxxtools::SerializationInfo& info, worker_view& value);
void operator<<=(cxxtools::SerializationInfo& info, const request_view& value);
void operator>>=(const cxxtools::SerializationInfo& info, request_view& value);

/// Makes all decisions of one shard. It uses no clocks, threads or sockets: events are passed in by
/// function calls, and the resulting actions are fetched with take_actions(). Not thread-safe.
class shard_state {
public:
    /// Starts an ownership of the shard. `journal` is the stored record; `contracts` must outlive
    /// this object.
    shard_state(shard_options options, const contract_table& contracts,
                const journal_record& journal, time_point time);

    /// Submits a request. Its answer follows as an answer_action under `token`, at once or later.
    /// Complexity: one pass over the workers when the request can start at once.
    void submit(std::uint64_t token, const work_request& request, time_point time, wall_time wall);

    /// Cancels a request and answers under `token`: not_run when no task had started, ran when the
    /// request had ended, may_have_run otherwise. For a job, the answer follows after the store has
    /// the cancellation. Complexity: constant per task.
    void cancel(std::uint64_t token, const std::string& customer, const std::string& request_id,
                time_point time);

    /// Ends this ownership after another owner has taken over the shard: answers every waiting
    /// caller.
    void abandon();

    /// Returns the state of a request, none when the shard does not know it.
    [[nodiscard]] std::optional<request_view> find(const std::string& customer,
                                                   const std::string& request_id) const;

    /// Applies the part of the platform's VM list that belongs to this shard.
    void on_vm_list(const std::vector<vm_entry>& vms, time_point time);

    /// Marks a worker as leaving at an operator's request. Returns false when the worker is
    /// unknown.
    bool drain(const std::string& address, time_point time);

    /// Handles the report of a worker that has accepted this owner's epoch. The report is the
    /// complete list of the worker's tasks.
    void on_report(const std::string& address, const command_response& report, time_point time);

    /// Handles a worker's answer to a start.
    void on_start_result(const std::string& address, const start_result& result, time_point time);

    /// Handles a worker's event about a task.
    void on_event(const std::string& address, const task_event& event, time_point time);

    /// Handles the loss of a worker: it did not answer until its lease had certainly expired.
    void on_worker_lost(const std::string& address, time_point time);

    /// Applies changed contracts. Preempts preemptible tasks of customers that use more than this
    /// shard's share of their ceiling.
    void on_contracts_changed(time_point time);

    /// Handles the completed write of the journal record with this sequence number.
    void on_journal_written(std::uint64_t sequence, time_point time);

    /// Sets whether the store answers. While it does not, no job is accepted.
    void set_store_available(bool available) { store_available_ = available; }

    /// Sets whether this process is certain to be the only owner now, because its membership was
    /// renewed in the store less than one lease ago. Otherwise the caller of a request with its own
    /// id may have repeated it to another owner, so a refusal reports may_have_run.
    void set_ownership_confirmed(bool confirmed) { ownership_confirmed_ = confirmed; }

    /// Sets whether all new work is refused. Waiting and running work continues.
    void set_draining(bool draining) { draining_ = draining; }

    /// Expires waiting requests, enforces preemptions, sends probes and places waiting tasks. Must
    /// be called at least ten times a second.
    void tick(time_point time);

    /// Returns the pending actions and clears them.
    shard_actions take_actions();

    /// Returns the journal record to write. Its sequence number is passed to on_journal_written()
    /// once the record is in the store.
    journal_record make_journal(wall_time wall);

    /// Transfers part of this shard's share to another shard and returns how many millionths of the
    /// ceiling it gave. The transfer takes effect after the next journal write.
    std::int64_t give_share(const share_transfer& request);

    /// Adds a share that another shard has given. It counts after the next journal write.
    void receive_share(const share_transfer& transfer, time_point time);

    [[nodiscard]] share_ledger& shares() { return shares_; }
    [[nodiscard]] const shard_options& options() const { return options_; }
    [[nodiscard]] const worker_pool& pool() const { return pool_; }
    [[nodiscard]] const shard_counts& counts() const { return counts_; }
    [[nodiscard]] bool is_recovering() const { return unfenced_count_ > 0; }
    [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
    [[nodiscard]] std::size_t open_calls() const { return open_calls_; }
    [[nodiscard]] std::vector<worker_view> worker_views() const;
    [[nodiscard]] customer_usage usage_of(const std::string& customer) const;

    /// Returns the waiting times of the tasks first started since the last call, by class of work.
    std::array<std::vector<milliseconds>, work_class_count> take_waits();

private:
    struct queue_key {
        std::string customer;
        work_class cls;
        auto operator<=>(const queue_key&) const = default;
    };

    struct task_ref {
        request_record* record;
        int index;
        auto operator<=>(const task_ref&) const = default;
    };

    /// Capacity on a worker that preempted tasks free for one waiting task.
    struct capacity_claim {
        std::size_t worker = 0;
        resources size;
        time_point expires{};
    };

    /// Workers reserved for one gang until all its tasks fit.
    struct gang_reservation {
        request_record* record = nullptr;
        std::set<std::size_t> workers;
        time_point expires{};
    };

    struct active_queue {
        queue_key key;
        work_queue* queue;
        int rank = 0;
        double share = 0;
        bool blocked = false;
    };

    /// An action to carry out once a journal write has completed.
    struct pending_write {
        enum class write_kind {
            accept, ///< A job is accepted and its callers are answered.
            open,   ///< Tasks of a job may be started or resumed.
            answer  ///< A caller is answered.
        } kind;
        std::uint64_t sequence;
        std::string key;
        std::uint64_t token = 0;
        outcome result;
    };

    enum class placement_result { placed, blocked, retry_later };

    // submit
    std::optional<outcome> refuse_submit(const work_request& request, wall_time wall) const;
    std::optional<outcome> check_id(const work_request& request, wall_time wall) const;
    bool may_have_run_under_earlier_owner(const work_request& request) const;
    std::optional<outcome> check_feasibility(const work_request& request,
                                             const contract& terms) const;
    std::optional<outcome> check_queue(const work_request& request, const contract& terms);
    bool join_existing_request(std::uint64_t token, const work_request& request);
    request_record& make_record(const work_request& request, time_point time, wall_time wall);
    milliseconds wait_limit(const request_record& record) const;
    milliseconds expected_wait(const work_request& request, const contract& terms);
    void answer_all(request_record& record, const outcome& result);
    void answer(std::uint64_t token, const outcome& result);
    outcome downgrade_if_unconfirmed(outcome result, const std::string& request_id) const;

    // scheduling
    void schedule(time_point time);
    std::vector<active_queue> active_queues(time_point time);
    bool place_round(std::vector<active_queue>& active, int rank, time_point time);
    bool place_next(active_queue& active, time_point time);
    placement_result place_task(request_record& record, const contract& terms, time_point time);
    bool is_ready(request_record& record, std::size_t count, time_point time);
    std::optional<placement_result> place_claimed(request_record& record, const contract& terms,
                                                  const resources& size, time_point time);
    placement_result place_gang(request_record& record, const contract& terms, time_point time);
    bool is_within_ceiling(const contract& terms, const resources& size) const;
    bool is_guaranteed(const contract& terms, work_class cls, const resources& size) const;
    bool leaves_headroom(const contract& terms, work_class cls, const resources& size,
                         bool guaranteed) const;
    bool leaves_guarantees(const contract& terms, const resources& size) const;
    std::string blocking_reason(const contract& terms, const request_record& record,
                                const resources& size) const;
    void update_usage_sums(const std::string& customer);
    bool is_overdue(const request_record& record, time_point time) const;
    placement_policy& policy_for(work_class cls);
    placement_query make_query(const request_record& record, const contract& terms) const;
    job_spread spread_of(const request_record& record) const;
    void start_task(request_record& record, int index, std::size_t worker, time_point time);
    bool is_open(request_record& record, int index);
    void open_window(request_record& record);
    void resume_checkpointed(request_record& record, std::uint64_t sequence);
    void enqueue(request_record& record);
    void dequeue(request_record& record);
    void request_share(const contract& terms, const resources& missing);
    resources task_size(const work_request& request) const;
    resources share_limit(const contract& terms) const;
    resources guarantee(const contract& terms) const;
    resources potential_unfenced_usage() const;

    // preemption
    bool preempt_for(request_record& record, const contract& terms, bool own_only, time_point time);
    std::optional<std::vector<task_ref>> victims_on(std::size_t worker,
                                                    const request_record& claimant,
                                                    const resources& size, bool own_only) const;
    bool may_preempt(const task_ref& task, const request_record& claimant, bool own_only) const;
    void preempt(const task_ref& task, time_point time);
    void enforce_preemptions(time_point time);
    void drop_claim(request_record& record);
    void reserve_for_gang(request_record& record, const contract& terms, time_point time);
    void preempt_on_reserved_workers(const request_record& record, time_point time);

    // workers and tasks
    void adopt_task(std::size_t worker, const task_report& report, time_point time);
    void stop_unexpected_task(std::size_t worker, const task_report& report);
    void attach_running_task(request_record& record, std::size_t worker, const task_start& task,
                             time_point time);
    void record_earlier_attempt(request_record& record, const task_report& report, time_point time);
    request_record& find_or_make_record(const task_start& task, time_point time);
    void handle_task_end(request_record& record, int index, task_state state,
                         const std::string& output, time_point time);
    void handle_lost_task(request_record& record, int index, const std::string& reason,
                          time_point time);
    void requeue_task(request_record& record, int index, time_point time);
    void finish_task(request_record& record, int index, task_phase phase, time_point time);
    void finish_request(request_record& record, time_point time);
    void release_task(request_record& record, int index);
    void handle_lost_tasks(std::size_t worker, const std::set<std::string>& except,
                           time_point time);
    void evacuate_jobs(std::size_t worker, time_point time);
    void set_status(std::size_t worker, worker_status status);
    void record_health(const request_record& record, std::size_t worker, bool failed,
                       time_point time);
    void expire_waits(time_point time);
    void send_probes(time_point time);
    void decay_call_peaks(time_point time);
    void change_usage(const request_record& record, const resources& size, int sign);
    void request_journal_write(pending_write write);
    void resolve_unreported_tasks(time_point time);
    void load_journal(const journal_record& journal, time_point time);
    void purge_expired_requests(time_point time);
    bool may_retry(const request_record& record, int attempt);
    std::string key_of(const std::string& customer, const std::string& request_id) const;
    std::string task_id_of(const request_record& record, int index) const;
    const contract* terms_of(const request_record& record) const;
    bool is_job(const request_record& record) const
    {
        return record.request.cls != work_class::call;
    }

    shard_options options_;
    const contract_table& contracts_;
    shard_policies policies_;
    worker_pool pool_;
    share_ledger shares_;
    estimator estimates_;
    worker_health health_;
    std::unordered_map<std::string, std::unique_ptr<request_record>> requests_;
    std::map<queue_key, work_queue> queues_;
    std::set<queue_key> nonempty_queues_; ///< Keys of the queues that are not empty.
    std::map<std::string, customer_usage> usage_;
    /// Headroom, unused guarantees and borrowed resources over all customers.
    customer_usage usage_sums_;
    std::map<std::string, retry_budget> budgets_;
    std::unordered_map<std::string, task_ref> running_; ///< Started tasks by task id.
    std::vector<std::set<std::string>> running_on_;     ///< Ids of started tasks by worker index.
    std::map<std::string, capacity_claim> claims_;      ///< By request key.
    gang_reservation gang_reservation_;
    std::set<std::string> preempting_; ///< Ids of tasks whose preemption was requested.
    std::set<std::size_t> probing_;    ///< Quarantined workers that may get one task each.
    std::vector<pending_write> pending_writes_;
    /// When waiting calls expire, with the request key.
    std::set<std::pair<time_point, std::string>> deadlines_;
    /// Ended calls in the order of their end, by request key.
    std::deque<std::pair<time_point, std::string>> ended_;
    /// Ended calls whose output is kept, in the same order.
    std::deque<std::pair<time_point, std::string>> outputs_;
    /// Capacity by address, first read from the earlier owner's journal.
    std::map<std::string, resources> leased_workers_;
    std::set<std::string> drained_;
    std::set<std::string> leaving_;
    std::size_t unfenced_count_ = 0; ///< Workers that have not accepted this owner's epoch.
    std::size_t open_requests_ = 0;
    std::size_t open_calls_ = 0;
    std::uint64_t journal_sequence_ = 0;
    std::size_t journal_bytes_ = 0;
    bool store_available_ = true;
    bool draining_ = false;
    bool ownership_confirmed_ = true;
    /// Since this owner began, every worker was fenced or lost at least once.
    bool recovered_ = false;
    time_point started_at_{};
    wall_time fenced_at_{0}; ///< No earlier owner can have started a task from this time on.
    time_point last_decay_{};
    shard_actions actions_;
    shard_counts counts_;
    std::array<std::vector<milliseconds>, work_class_count> start_waits_;
};

} // namespace flamingoseam
