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

/// Settings of one shard's state.
struct shard_options {
    std::string shard;
    std::string owner;
    std::uint64_t epoch = 1;
    wall_time began{0};                                ///< When this owner took the shard over.
    milliseconds clock_skew{2000};                     ///< Between any two processes' clocks.
    milliseconds id_window = std::chrono::minutes(10); ///< Older request ids are refused.
    milliseconds output_retention = std::chrono::seconds(30); ///< For repeats of ended calls.
    milliseconds job_retention = std::chrono::hours(1);       ///< Of ended jobs, in the journal.
    milliseconds gang_hold = std::chrono::seconds(20);        ///< Longest hold for one gang.
    std::size_t most_journal_bytes = 900'000;                 ///< Of one journal record.
    int once_window = 4;                                      ///< The same for non-idempotent jobs.
    int task_window = 64;                                     ///< Batch tasks opened in one write.
};

/// Policies by class of work.
struct shard_policies {
    std::unique_ptr<placement_policy> calls = make_least_loaded_policy();
    std::unique_ptr<placement_policy> services = make_spread_policy();
    std::unique_ptr<placement_policy> packing = make_best_fit_policy();
};

/// Counts and sums for metrics and measurements.
struct shard_counts {
    std::int64_t starts = 0;
    std::int64_t refusals = 0;
    std::int64_t yields = 0;
    std::int64_t retries = 0;
    std::int64_t passes = 0;
};

/// One line of the list of a shard's workers.
struct worker_view {
    std::string address;
    std::string zone;
    std::string rack;
    std::string status;
    resources capacity;
    resources reserved;
};

/// What a job or call has come to.
struct request_view {
    std::string request_id;
    std::string cls;
    std::string state; ///< accepting, waiting, running or ended.
    std::string held_by;
    std::string held_text;            ///< The line of the contract, or the reason, in words.
    std::map<std::string, int> tasks; ///< Number of tasks by phase.
    outcome result;
};

void operator<<=(cxxtools::SerializationInfo& info, const worker_view& value);
void operator>>=(const cxxtools::SerializationInfo& info, worker_view& value);
void operator<<=(cxxtools::SerializationInfo& info, const request_view& value);
void operator>>=(const cxxtools::SerializationInfo& info, request_view& value);

/// All decisions of one shard, without clocks, threads or sockets: what happens is told by calls,
/// what is to be done is fetched by take_actions(). Not safe for use from two threads.
class shard_state {
public:
    /// Begins an ownership. `journal` is the store's record; `contracts` must outlive the state.
    shard_state(shard_options options, const contract_table& contracts,
                const journal_record& journal, time_point time);

    /// Takes a request in. The answer comes as an answer_action under `token`, now or later.
    /// Complexity: one pass over the workers when the request can start at once.
    void submit(std::uint64_t token, const work_request& request, time_point time, wall_time wall);

    /// Cancels a request and says what is known: not_run when no task had started, ran when it had
    /// ended, may_have_run otherwise. Complexity: constant per task. The answer comes under
    /// `token`, for a job after the store has the cancellation.
    void cancel(std::uint64_t token, const std::string& customer, const std::string& request_id,
                time_point time);

    /// Gives the shard up after another owner has taken it: answers every caller that waits.
    void abandon();

    /// Says where a request stands, none when the shard does not know it.
    [[nodiscard]] std::optional<request_view> find(const std::string& customer,
                                                   const std::string& request_id) const;

    /// Takes in the platform's list, as far as it concerns this shard.
    void on_vm_list(const std::vector<vm_entry>& vms, time_point time);

    /// Sets a worker aside as leaving, as an operator's drain does.
    bool drain(const std::string& address, time_point time);

    /// Takes in a worker's report: it has accepted this owner's epoch, and this is all it holds.
    void on_report(const std::string& address, const command_response& report, time_point time);

    /// Takes in what became of a start.
    void on_start_result(const std::string& address, const start_result& result, time_point time);

    /// Takes in what happened to a task.
    void on_event(const std::string& address, const task_event& event, time_point time);

    /// Takes in that a worker has not answered until its lease had certainly lapsed.
    void on_worker_lost(const std::string& address, time_point time);

    /// Takes in that contracts have changed.
    void on_contracts_changed(time_point time);

    /// Takes in that the journal record with this sequence number stands in the store.
    void on_journal_written(std::uint64_t sequence, time_point time);

    /// Tells whether the store answers; without it no job is accepted.
    void set_store_available(bool available) { store_available_ = available; }

    /// Tells whether this process is certain to be the only owner now: its membership was renewed
    /// in the store less than a lease ago. Without that, a request under a caller's id may have
    /// been repeated to another owner, so its refusal says may_have_run.
    void set_authority(bool certain) { authority_ = certain; }

    /// Refuses all new work while it is set; what waits and runs goes on.
    void set_draining(bool draining) { draining_ = draining; }

    /// Expires waits, enforces yields, sends probes and places what waits. To be called at least
    /// ten times a second.
    void tick(time_point time);

    /// Returns what is to be done and forgets it.
    shard_actions take_actions();

    /// Returns the journal record to write; its sequence number is for on_journal_written.
    journal_record make_journal(wall_time wall);

    /// Gives parts of this shard's share away; they count after the next journal write.
    std::int64_t give_share(const share_transfer& request);

    /// Adds parts that another shard has given; they count after the next journal write.
    void receive_share(const share_transfer& transfer, time_point time);

    [[nodiscard]] share_ledger& shares() { return shares_; }
    [[nodiscard]] const shard_options& options() const { return options_; }
    [[nodiscard]] const worker_pool& pool() const { return pool_; }
    [[nodiscard]] const shard_counts& counts() const { return counts_; }
    [[nodiscard]] bool is_recovering() const { return unfenced_ > 0; }
    [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
    [[nodiscard]] std::size_t open_calls() const { return open_calls_; }
    [[nodiscard]] std::vector<worker_view> worker_views() const;
    [[nodiscard]] customer_usage usage_of(const std::string& customer) const;

    /// Returns the waiting times of the work started since the last call, by class.
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

    /// Room on a worker that others are asked to make for one waiting task.
    struct room_claim {
        std::size_t worker = 0;
        resources size;
        time_point expires{};
    };

    /// Workers kept free for one gang while it collects its places.
    struct gang_hold {
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

    /// Something that waits for a journal write.
    struct pending_write {
        enum class purpose { accept, open, answer } what;
        std::uint64_t sequence;
        std::string key;
        std::uint64_t token = 0;
        outcome result;
    };

    enum class placing { placed, blocked, retry_later };

    // submit
    std::optional<outcome> refuse_submit(const work_request& request, wall_time wall) const;
    std::optional<outcome> check_id(const work_request& request, wall_time wall) const;
    bool may_be_of_earlier_owner(const work_request& request) const;
    std::optional<outcome> check_possible(const work_request& request, const contract& terms) const;
    std::optional<outcome> check_queue(const work_request& request, const contract& terms);
    bool join_known(std::uint64_t token, const work_request& request);
    request_record& make_record(const work_request& request, time_point time, wall_time wall);
    milliseconds wait_limit(const request_record& record) const;
    milliseconds expected_wait(const work_request& request, const contract& terms);
    void answer_all(request_record& record, const outcome& result);
    void answer(std::uint64_t token, const outcome& result);
    outcome as_certain(outcome result, const std::string& request_id) const;

    // scheduling
    void schedule(time_point time);
    std::vector<active_queue> active_queues(time_point time);
    bool place_round(std::vector<active_queue>& active, int rank, time_point time);
    bool place_some(active_queue& active, time_point time);
    placing place_one(request_record& record, const contract& terms, time_point time);
    bool is_ready(request_record& record, std::size_t count, time_point time);
    std::optional<placing> place_claimed(request_record& record, const contract& terms,
                                         const resources& size, time_point time);
    placing place_gang(request_record& record, const contract& terms, time_point time);
    bool has_ceiling_room(const contract& terms, const resources& size) const;
    bool is_guaranteed(const contract& terms, work_class cls, const resources& size) const;
    bool leaves_headroom(const contract& terms, work_class cls, const resources& size,
                         bool guaranteed) const;
    bool leaves_guarantees(const contract& terms, const resources& size) const;
    std::string hold_reason(const contract& terms, const request_record& record,
                            const resources& size) const;
    void refresh_sums(const std::string& customer);
    bool is_overdue(const request_record& record, time_point time) const;
    placement_policy& policy_for(work_class cls);
    placement_query make_query(const request_record& record, const contract& terms) const;
    job_spread spread_of(const request_record& record) const;
    void start_task(request_record& record, int index, std::size_t worker, time_point time);
    bool is_open(request_record& record, int index);
    void open_window(request_record& record);
    void resume_parked(request_record& record, std::uint64_t sequence);
    void enqueue(request_record& record);
    void dequeue(request_record& record);
    void wish_for_share(const contract& terms, const resources& missing);
    resources task_size(const work_request& request) const;
    resources share_limit(const contract& terms) const;
    resources guarantee(const contract& terms) const;
    resources unfenced_potential() const;

    // yielding
    bool make_room(request_record& record, const contract& terms, bool own_only, time_point time);
    std::optional<std::vector<task_ref>> victims_on(std::size_t worker,
                                                    const request_record& claimant,
                                                    const resources& size, bool own_only) const;
    bool may_yield(const task_ref& task, const request_record& claimant, bool own_only) const;
    void yield(const task_ref& task, time_point time);
    void enforce_yields(time_point time);
    void drop_claim(request_record& record);
    void hold_for_gang(request_record& record, const contract& terms, time_point time);
    void yield_on_held(const request_record& record, time_point time);

    // workers and tasks
    void adopt(std::size_t worker, const task_report& report, time_point time);
    void stop_extra(std::size_t worker, const task_report& report);
    void take_running(request_record& record, std::size_t worker, const task_start& task,
                      time_point time);
    void note_earlier_attempt(request_record& record, const task_report& report, time_point time);
    request_record& record_for(const task_start& task, time_point time);
    void end_started(request_record& record, int index, task_state state, const std::string& output,
                     time_point time);
    void task_lost(request_record& record, int index, const std::string& why, time_point time);
    void run_again(request_record& record, int index, time_point time);
    void finish_task(request_record& record, int index, task_phase phase, time_point time);
    void finish_request(request_record& record, time_point time);
    void release_task(request_record& record, int index);
    void lose_all(std::size_t worker, const std::set<std::string>& except, time_point time);
    void move_away(std::size_t worker, time_point time);
    void set_status(std::size_t worker, worker_status status);
    void note_health(const request_record& record, std::size_t worker, bool failed,
                     time_point time);
    void expire_waits(time_point time);
    void send_probes(time_point time);
    void decay_call_peaks(time_point time);
    void change_usage(const request_record& record, const resources& size, int sign);
    void request_journal(pending_write write);
    void settle_unseen(time_point time);
    void load_journal(const journal_record& journal, time_point time);
    void forget_old(time_point time);
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
    std::set<queue_key> active_; ///< Queues that are not empty.
    std::map<std::string, customer_usage> usage_;
    customer_usage sums_; ///< Headroom, promised and borrowed over all customers.
    std::map<std::string, retry_budget> budgets_;
    std::unordered_map<std::string, task_ref> running_; ///< By task id.
    std::vector<std::set<std::string>> running_on_;     ///< Task ids by worker.
    std::map<std::string, room_claim> claims_;          ///< By request key.
    gang_hold hold_;
    std::set<std::string> yielding_; ///< Task ids.
    std::set<std::size_t> probing_;  ///< Quarantined workers that may get one task.
    std::vector<pending_write> pending_;
    std::set<std::pair<time_point, std::string>> deadlines_; ///< Of waiting calls.
    std::deque<std::pair<time_point, std::string>> ended_;   ///< In the order of ending.
    std::deque<std::pair<time_point, std::string>> outputs_; ///< Outputs kept, in the same order.
    std::map<std::string, resources> roster_;                ///< Of earlier owners, by address.
    std::set<std::string> drained_;
    std::set<std::string> leaving_;
    std::size_t unfenced_ = 0;
    std::size_t open_requests_ = 0;
    std::size_t open_calls_ = 0;
    std::uint64_t journal_sequence_ = 0;
    std::size_t journal_bytes_ = 0;
    bool store_available_ = true;
    bool draining_ = false;
    bool authority_ = true;
    bool recovered_ = false; ///< Every worker was fenced or lost once.
    time_point began_{};
    wall_time fenced_at_{0}; ///< From then on no earlier owner can have started anything.
    time_point last_decay_{};
    shard_actions actions_;
    shard_counts counts_;
    std::array<std::vector<milliseconds>, work_class_count> waits_;
};

} // namespace flamingoseam
