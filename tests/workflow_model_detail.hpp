#pragma once

#include "tests/workflow_model.hpp"

#include "flamingoseam/node/worker_session.hpp"

#include <deque>

namespace flamingoseam::model {

namespace detail {

constexpr milliseconds lease{6'000};
constexpr milliseconds order_timeout{600};
constexpr wall_time simulation_start{1'000'000'000};
constexpr std::size_t streams = 3;

} // namespace detail

using namespace workflow;

struct workflow_model::run_record {
    resources size;
    milliseconds started_at{0};
    milliseconds duration{0};
};

/// A poll that a worker has accepted and answers when it has news.
struct workflow_model::held_poll {
    std::shared_ptr<owner> sender;
    std::shared_ptr<session> used;
    std::uint64_t number = 0;
    milliseconds until{0};
};

struct workflow_model::worker {
    worker_entry entry;
    bool disconnected = false;
    std::uint64_t epoch = 0;
    milliseconds lease_until{0};
    milliseconds started_at{0};
    std::map<run_name, run_record> runs;
    std::map<task_name, std::int64_t> refused_up_to; ///< Runs up to this number are rejected.
    std::vector<ended_run> ended;
    std::int64_t next_end = 1;
    milliseconds lapsed_at{-1}; ///< When the worker last had no lease.

    // With sessions only.
    worker_entry listed;    ///< What the platform's list says.
    std::uint64_t life = 1; ///< Number of the life.
    milliseconds down_until{0};
    milliseconds time_of_day{0}; ///< Its difference from the simulated time.
    std::vector<held_poll> held;
    std::map<std::int64_t, milliseconds> hidden_until; ///< When an end is listed, by its number.
    std::set<std::int64_t> incarnations;               ///< Of all lives.

    resources used() const
    {
        resources sum;
        for (const auto& [name, run] : runs) {
            sum += run.size;
        }
        return sum;
    }
};

/// A ticket of the permission service.
struct workflow_model::issued_ticket {
    std::string worker;
    std::int64_t incarnation = 0;
    std::string job;
    int step = 0;
    milliseconds valid_until{0};
};

struct workflow_model::job_history {
    job_spec spec;
    milliseconds could_run_since{-1}; ///< Since when a job with nothing running has room.
    bool accepted = false;
    bool cancelled = false;
    /// When and by whom an end as done was acknowledged first.
    std::map<task_name, std::pair<milliseconds, std::string>> acknowledged_successes;
    std::map<task_name, int> acknowledged_failures;
    std::map<task_name, std::set<std::int64_t>> failed_runs;
    std::set<task_name> done;
    std::map<run_name, milliseconds> done_at;
    std::map<task_name, milliseconds> last_started_at;
    std::map<task_name, int> crashes; ///< Lives of workers that ended under a task's runs.
};

struct workflow_model::owner {
    explicit owner(const workflow_options& options) : state(options) {}

    workflow_state state;
    std::size_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t newest_list = 0; ///< Number of the newest worker list received.
    bool active = true;
    std::set<std::size_t> streams_in_flight; ///< Streams with a transaction in flight.
    std::map<std::size_t, forget_order> forget_orders;
    std::map<std::size_t, milliseconds> leased_until; ///< Lease ends by worker, in simulated time.
    /// Since when workers are silent whose lease may not be renewed, by worker.
    std::map<std::size_t, time_point> silences;
    std::map<std::uint64_t, std::string> tokens;
    std::uint64_t next_token = 1;
    permission_queue permission_calls;
    std::size_t calls_in_flight = 0;

    // With sessions only.
    std::size_t node = 0;
    std::shared_ptr<owner> earlier; ///< Null if there was none, or its process has ended.
    std::map<std::size_t, std::shared_ptr<session>> sessions;
    std::map<std::size_t, std::uint64_t> met_incarnations;
    std::uint64_t last_session = 0;
    std::deque<action> steps; ///< Not handled by the control thread yet.
    bool is_batch_due = false;
    time_point next_batch{};
    time_point paused_until{}; ///< The control thread stands still until then.
    time_point frozen_until{}; ///< The whole process stands still until then.
    bool is_killed = false;
    bool is_dropped = false;
    bool acts_no_more = false;
    bool stopped = false; ///< Its answer, once it is dropped, to the question whether it has ended.
    time_point proof{};   ///< When the call was sent that gave the newest proof of ownership.
    bool reads_head = false;
    bool store_silent = false;
    std::optional<time_point> uncertain_since;
    time_point certain_at{};
    time_point renewals_end{};
    milliseconds earlier_certainty{0};
    time_point earlier_starts_end{};
    bool earlier_ended = true;
    bool earlier_stopped = false;
    bool earlier_renew_no_more = false; ///< The earlier owner has said so of all before it.
    time_point earlier_renewals_limit{};
    time_point earlier_renewals_end{};
};

/// The state of a node::worker_session.
struct workflow_model::session {
    explicit session(const node::worker_session_options& initial, const worker_entry& entry,
                     time_point time)
        : options(initial), id(entry.id), address(entry.address), clock(initial.lease),
          incarnation(entry.incarnation), incarnations(initial.earlier_incarnations),
          unreachable(initial.is_renewal_withheld), silent_since(time), may_renew(!unreachable),
          earlier_renewals_end(initial.earlier_renewals_end)
    {
    }

    struct queued_start {
        start_order order;
        time_point queued_at{};
    };

    node::worker_session_options options;
    std::string id;
    endpoint address;
    std::deque<queued_start> starts;
    std::deque<run_name> stops;
    node::lease_clock clock;
    std::int64_t incarnation;
    std::int64_t listed_incarnation = 0;
    std::uint64_t incarnations;
    std::int64_t forget_up_to = 0;
    std::int64_t awaited_end = 0;
    bool awaits_report = false; ///< A restart was noticed, and no report has come since.
    bool unreachable;
    time_point silent_since;
    bool may_renew;
    std::optional<time_point> report_expected;
    bool has_runs = true;
    time_point earlier_renewals_end;
    bool ending = false;
    bool released = false;
    bool is_stop_next = true;
    std::optional<node::detail::sent_order> sent_order;
    std::uint64_t order_number = 0;
    bool is_poll_sent = false;
    std::uint64_t poll_number = 0;
    /// The life of the worker that has answered on the connection; 0 for a new one.
    std::uint64_t poll_life = 0;
    std::uint64_t order_life = 0;
    time_point asked{};
    time_point answer_due{};
    std::uint64_t asked_token = 0;
    bool is_poll_repeated = false;
    time_point answered_asked{};
    time_point next_poll{};
    time_point storage_wait_end{};
    milliseconds retry_delay{50};
    bool emptied = false;
};

} // namespace flamingoseam::model
