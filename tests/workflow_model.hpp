#pragma once

#include "flamingoseam/node/worker_session.hpp"
#include "flamingoseam/workflow/permission_queue.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam::model {

/// Load and faults of one simulation, and protections that can be switched off to show that each
/// is needed.
struct workflow_model_options {
    std::uint64_t seed = 1;
    int workers = 6;
    int shards = 1; ///< Shards of the cell; each has an owner, a third of its jobs wide gangs.
    int jobs = 30;
    milliseconds load_time{6'000};   ///< Jobs arrive and faults occur within this time.
    double lost_answer_share = 0.05; ///< Share of orders whose answer is lost.
    double late_order_share = 0.02;  ///< Share of orders executed seconds later, without an answer.
    double repeated_order_share =
        0.05; ///< Share of starts delivered twice; only the second is answered.
    double failing_run_share = 0.1;
    int owner_crashes = 2;
    int worker_restarts = 2;
    int worker_drains = 0; ///< Times that a worker leaves and is replaced by a new incarnation.
    int worker_disconnections = 2; ///< Times that a worker becomes unreachable but keeps running.
    int store_outages = 1;
    std::size_t records_per_write = 6;
    milliseconds fault_time{0}; ///< Faults begin within this time; 0 for the load time.
    /// Whether the queues need permission, which a worker's new incarnation may lose or gain.
    bool needs_permission = false;
    std::size_t permission_call_slots = 6; ///< Calls of a shard processed at the same time.
    double lost_permission_share = 0.05;   ///< Share of permission calls that fail.
    bool has_long_jobs = false;            ///< Jobs have three steps, some limited by worker.
    /// Checks after the load that no job waits that has room twice over on permitted workers.
    bool check_waits = false;
    std::string traced_job = {}; ///< Job whose events are printed; "*" for all events.
    bool check_fence = true;     ///< Workers reject lower epochs.
    bool raise_token = true; ///< The fencing token of a worker that changes its shard increases.
    bool check_run_numbers = true;    ///< Workers reject runs that were stopped or ended there.
    bool forget_after_storing = true; ///< Workers drop run ends only after their effect is stored.

    /// Owners use workers by the rules of node::worker_session and judge by those of
    /// node::job_owner whether they may start runs and renew leases. Their control threads handle
    /// events in batches, calls in flight reach the next life of a worker, and owners that were
    /// replaced go on until they notice. The options below have an effect only with this.
    bool has_sessions = false;
    int nodes = 4; ///< Machines on which owners run.
    /// Times that a worker restarts under its id two to four times in quick succession.
    int restart_bursts = 0;
    /// A session's call reaches the next life of a worker on a new connection only.
    bool keeps_connections = true;
    /// Times that two workers restart, each at the other's address.
    int address_swaps = 0;
    /// Share of restarts that break no connection, so that calls in flight time out.
    double silent_restart_share = 0.3;
    double slow_call_share = 0.02; ///< Share of calls and answers that take up to 600 ms.
    /// Share of restarts after which the time of day is earlier than in the life before.
    double clock_step_share = 0;
    /// Share of ends that are listed later than ends with higher numbers.
    double late_end_share = 0;
    bool sort_ends = true; ///< Workers list ends in the order of their numbers.
    std::size_t max_listed_ends = 500;
    int owner_replacements = 0; ///< Times that an owner is replaced that reaches the store.
    /// Times that an owner is cut off from the store for long, and replaced.
    int store_cuts = 0;
    /// How many further owners follow in quick succession after such a replacement.
    int chain_length = 2;
    /// Times that an owner's node and many workers are cut off from the store and the other nodes,
    /// so that the owner is replaced while it still reaches those workers.
    int partitions = 0;
    int pair_cuts = 0;     ///< Times that some nodes don't reach some workers for long.
    int owner_pauses = 0;  ///< Times that an owner's control thread stands still for long.
    int owner_freezes = 0; ///< Times that an owner's whole process stands still for long.
    /// Share of new owners whose control thread stands still for long at first.
    double slow_takeover_share = 0;
    milliseconds max_list_delay{300}; ///< Age at which the platform's list arrives, at most.
    /// Orders in flight reach the next life of a worker also if nobody awaits their answer any
    /// more, or if they are the second copy of an order, or of an earlier owner. The present owner
    /// can't know of them.
    bool late_orders_reach_next_life = false;

    // Rules of owners and sessions that can be switched off, to show that they are needed.
    /// A replaced owner tells besides whether earlier ones renew leases no more.
    bool tells_of_earlier_renewals = true;
    bool stop_withdraws_start = true; ///< A stop takes back the start of its run that waits.
    /// Acknowledgements are ignored from the notice of a restart on until a report.
    bool forgets_after_report = true;
};

/// Simulates successive owners, their workers, the store and the messages between them, in virtual
/// time. Violations are recorded when they occur.
class workflow_model {
public:
    explicit workflow_model(workflow_model_options options);
    ~workflow_model();

    /// Runs the simulation until the accepted jobs have finished or a time limit has passed.
    /// Returns the first violation, or an empty string if there was none.
    std::string run();

    /// Returns how many workers were given to other shards.
    [[nodiscard]] int lent_workers() const { return lent_workers_; }

private:
    struct run_record;
    struct worker;
    struct job_history;
    struct owner;
    struct session;
    struct issued_ticket;

    using action = std::function<void()>;
    using owner_ptr = std::shared_ptr<owner>;
    using session_ptr = std::shared_ptr<session>;

    void at(milliseconds delay, action event);
    void schedule_events();
    void submit_job(int number);
    [[nodiscard]] std::map<std::string, std::string> records_below(const std::string& prefix) const;
    void start_owner(std::size_t shard);
    void crash_owner(std::size_t shard);
    void lend_workers();
    void send_worker_list(std::size_t shard);
    void send_worker_lists();
    [[nodiscard]] std::size_t shard_of(const std::string& job) const;
    [[nodiscard]] workflow::record_keys keys_of(std::size_t shard) const;
    worker& worker_of(const owner& sender, std::size_t index) const;
    std::uint64_t token_of(const owner& sender, std::size_t index) const;
    [[nodiscard]] workflow::queue_terms terms_for(int number) const;
    workflow::job_spec make_job(int number);
    workflow::job_spec make_long_job(int number);
    [[nodiscard]] bool is_permitted(const workflow::task_name& task, const worker& target) const;
    void make_permission_calls(const std::shared_ptr<owner>& sender);
    void answer_permission(const std::shared_ptr<owner>& sender,
                           const workflow::permission_request& request);
    [[nodiscard]] bool has_valid_ticket(const worker& target,
                                        const workflow::start_order& order) const;
    [[nodiscard]] bool has_run(const std::string& job) const;
    [[nodiscard]] int count_done(const job_history& history, int step) const;
    [[nodiscard]] int count_permitted_places(const job_history& history, int step) const;
    [[nodiscard]] int count_places_when_empty(const job_history& history, int step) const;
    [[nodiscard]] bool is_next(const job_history& history, int step) const;
    [[nodiscard]] bool waits_for_impossible_gangs(const job_history& history) const;
    [[nodiscard]] std::optional<int> find_startable_step(const job_history& history) const;
    [[nodiscard]] bool is_half_used() const;
    void check_waits();
    void tick_owner(const std::shared_ptr<owner>& sender);
    void process_actions(const std::shared_ptr<owner>& sender, workflow::workflow_actions actions);
    void send_start(const std::shared_ptr<owner>& sender, const workflow::start_order& order);
    void send_stop(const std::shared_ptr<owner>& sender, const workflow::stop_order& order);
    void poll(const std::shared_ptr<owner>& sender, std::size_t index);
    void record_failed_poll(const std::shared_ptr<owner>& sender, std::size_t index);
    void write_store(const std::shared_ptr<owner>& sender);
    void write_stream(const std::shared_ptr<owner>& sender, std::size_t stream);
    void receive_stored(const owner_ptr& sender, std::size_t stream, time_point sent);
    void apply(const workflow::record_batch& batch);
    workflow::start_outcome accept_start(worker& target, std::uint64_t epoch,
                                         const workflow::start_order& order,
                                         milliseconds lease_until);
    bool accept_stop(worker& target, std::uint64_t epoch, const workflow::run_name& name);
    std::optional<workflow::worker_report>
    accept_poll(worker& target, const owner& sender, std::uint64_t token, std::int64_t incarnation,
                std::int64_t forget_up_to, milliseconds lease_until);
    void drop_ends(worker& target, std::int64_t up_to, const std::string& acknowledged_by);
    workflow::worker_report make_report(const worker& target);
    void end_run(worker& target, const workflow::run_name& name, workflow::run_end how);
    void check_not_started_again(const workflow::ended_run& end, const worker& target,
                                 const std::string& acknowledged_by);
    void check_stored(const workflow::ended_run& end, const worker& target,
                      const std::string& acknowledged_by);
    [[nodiscard]] bool is_result_stored(const workflow::ended_run& end) const;
    void restart_worker(worker& target);
    void drain_worker(worker& target);
    void expire_leases();
    void check_start(const worker& target, const workflow::start_order& order);
    void check_finished();
    void record_violation(const std::string& message);
    void trace(const std::string& job, const std::string& message) const;
    bool chance(double share);
    milliseconds between(int min, int max);
    std::vector<workflow::worker_entry> list_of_workers(std::size_t shard) const;
    time_point clock() const { return time_point(now_); }

    // owners with sessions, and their processes
    void schedule_process_faults(int span);
    void begin_owner(std::size_t shard);
    void load_owner(const owner_ptr& started);
    void cut_store(std::size_t shard, milliseconds length);
    void cut_partition(std::size_t shard);
    void replace_owner(std::size_t shard, int followers);
    void cut_pairs();
    void pause_owner();
    void freeze_owner();
    bool defer_if_frozen(const owner_ptr& sender, const action& step);
    void ask_earlier_to_stop(const owner_ptr& later, time_point end);
    bool stop_earlier(const owner_ptr& earlier);
    void report_superseded(const owner_ptr& superseded);
    void drop_owner(const owner_ptr& dropped);
    void prove_ownership(const owner_ptr& sender);
    [[nodiscard]] bool reaches_store(const owner& sender) const;
    [[nodiscard]] bool is_cut_off(const std::map<std::size_t, milliseconds>& cuts,
                                  std::size_t node) const;
    [[nodiscard]] bool is_certain(const owner& sender) const;
    [[nodiscard]] bool may_start(const owner& sender) const;
    [[nodiscard]] bool may_renew(const owner& sender) const;
    void post(const owner_ptr& sender, action step);
    void wake(const owner_ptr& sender);
    void run_batch(const owner_ptr& sender);
    void after_batch(const owner_ptr& sender);
    void update_renewals_end(owner& sender);
    void update_earlier_owner(owner& sender);
    void bound_earlier_renewals(owner& sender);
    void set_earlier_renewals_end(owner& sender, time_point end);
    void dispatch_to_sessions(const owner_ptr& sender, const workflow::workflow_actions& actions);
    void open_sessions(const owner_ptr& sender);
    void open_session(const owner_ptr& sender, std::size_t index);
    void retire_session(owner& sender, std::size_t index);

    // sessions: by the rules of node::worker_session
    [[nodiscard]] std::uint64_t token_of(const session& used) const;
    [[nodiscard]] bool is_current(const owner& sender, const session& used) const;
    static void begin_incarnation(session& used);
    void expect_incarnation(const owner_ptr& sender, const session_ptr& used,
                            std::int64_t incarnation);
    void forget(const owner_ptr& sender, const session_ptr& used,
                const workflow::forget_order& order);
    milliseconds extend_lease(const owner& sender, session& used);
    void record_clock(session& used, milliseconds time);
    void run_polls(const owner_ptr& sender, const session_ptr& used);
    bool is_waiting_for_storage(const owner_ptr& sender, const session_ptr& used);
    void send_poll(const owner_ptr& sender, const session_ptr& used);
    milliseconds next_wait(const owner& sender, session& used) const;
    void handle_poll(const owner_ptr& sender, const session_ptr& used, std::uint64_t number,
                     std::optional<node::renew_answer> answer, std::uint64_t life = 0);
    [[nodiscard]] bool is_refused(const worker& target, std::uint64_t connected_life) const;
    void handle_renewal(const owner_ptr& sender, const session_ptr& used,
                        node::renew_answer answer);
    void handle_lost_poll(const owner_ptr& sender, const session_ptr& used);
    void fail_poll(const owner_ptr& sender, const session_ptr& used);
    void post_emptied(const owner_ptr& sender, const session_ptr& used,
                      workflow::emptied_reason reason);
    void set_unreachable(const owner_ptr& sender, const session_ptr& used, bool unreachable);
    void report_fenced(const owner_ptr& sender, const session& used, std::uint64_t sent_token);
    void run_orders(const owner_ptr& sender, const session_ptr& used);
    bool send_next_order(const owner_ptr& sender, const session_ptr& used);
    void prepare_start(const owner_ptr& sender, const session_ptr& used);
    void send_order(const owner_ptr& sender, const session_ptr& used);
    node::order_answer accept_order(const owner& sender, const session& used, worker& target,
                                    const node::detail::sent_order& order, std::uint64_t number,
                                    std::uint64_t life);
    void handle_order(const owner_ptr& sender, const session_ptr& used, std::uint64_t number,
                      std::optional<node::order_answer> answer, std::uint64_t life = 0);
    void post_start_result(const owner_ptr& sender, const session_ptr& used,
                           const workflow::run_name& name, workflow::start_outcome outcome);

    // workers that are processes, and the network
    struct held_poll;
    [[nodiscard]] bool is_cut(const owner& sender, const worker& target) const;
    milliseconds call_delay();
    void answer_poll(worker& target, const held_poll& held);
    void answer_held_polls(worker& target);
    void accept_session_poll(const owner_ptr& sender, const session_ptr& used, worker& target,
                             const node::renew_call& call, std::uint64_t number);
    void restart_process(worker& target, int times);
    void swap_addresses();
    void begin_life(worker& target);
    [[nodiscard]] milliseconds worker_clock(const worker& target) const;
    worker& worker_at(const session& used) const;
    [[nodiscard]] std::string name_of(const owner& sender) const;

    workflow_model_options options_;
    std::mt19937_64 random_;
    milliseconds now_{0};
    std::multimap<milliseconds, action> events_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::map<std::string, std::unique_ptr<job_history>> jobs_;
    std::map<std::string, std::string> records_;    ///< Contents of the store.
    std::vector<std::shared_ptr<owner>> owners_;    ///< By shard; null while there is none.
    std::vector<std::uint64_t> epochs_;             ///< By shard.
    std::vector<std::shared_ptr<owner>> processes_; ///< All owners with sessions that still act.
    std::vector<std::shared_ptr<owner>> newest_;    ///< By shard, with sessions: the last to begin.
    /// Until when a node doesn't reach a worker.
    std::map<std::pair<std::size_t, std::string>, milliseconds> cuts_;
    std::map<std::size_t, milliseconds> store_cuts_; ///< Until when a node doesn't reach the store.
    std::map<std::size_t, milliseconds> node_cuts_;  ///< Until when it doesn't reach other nodes.
    std::uint64_t lives_ = 0;                        ///< Number of lives of all workers.
    int lent_workers_ = 0;                           ///< Workers given to other shards.
    std::uint64_t lists_ = 0;                        ///< Number of worker lists sent so far.
    std::vector<issued_ticket> tickets_;
    std::map<std::string, std::string> waits_; ///< Newest report of a waiting step, by job.
    bool store_unreachable_ = false;
    std::string violation_;
};

} // namespace flamingoseam::model
