#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/job/work.hpp"
#include "flamingoseam/worker/messages.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace flamingoseam {

/// State of one task of a request. The letters are the ones stored in the journal.
enum class task_phase : char {
    waiting = 'w',
    started = 's', ///< Sent to a worker; it may be running.
    done = 'd',
    failed = 'f',
    unknown = 'u',      ///< It may have run, and it is not started again.
    cancelled = 'c',    ///< Cancelled before it was started.
    checkpointed = 'p', ///< Only in the journal: waiting, with a checkpoint to resume from.
};

/// One task of a request.
struct task_slot {
    task_phase phase = task_phase::waiting;
    int attempt = 0;        ///< Starts so far that were not refused. Above 0 the task may have run.
    std::string task_id;    ///< Task id of the newest attempt.
    std::size_t worker = 0; ///< Index of the worker; valid in phase started.
    resources reserved;     ///< Reserved on the worker; valid in phase started.
    time_point started_at{};
    bool preempting = false; ///< Preemption was requested; the task still occupies its worker.
    time_point preemption_deadline{};
    bool cancelling = false;
    bool checkpointed = false; ///< It has a checkpoint and has certainly not been resumed since.
    /// Sequence number of the journal write after which the task may be resumed; 0 when no such
    /// write is requested.
    std::uint64_t resume_sequence = 0;
};

/// A request in the shard's memory: waiting, running or recently ended.
struct request_record {
    work_request request;
    std::vector<task_slot> tasks;
    std::deque<int> waiting; ///< Indices of the tasks to place, in order.
    /// Tasks with a lower index may be started. For jobs, the store has this value.
    int opened = 0;
    int opening = 0;      ///< Value of `opened` that the next journal write stores.
    bool accepted = true; ///< False for a job that is not in the stored journal yet.
    /// Distinguishes a repeat from a different request with the same id.
    std::uint64_t content_hash = 0;
    std::vector<std::uint64_t> waiters; ///< Tokens of the callers that wait for the outcome.
    outcome result;
    bool ended = false;
    bool cancelled = false;
    bool queued = false;
    /// An earlier owner may have run the request, so a refusal reports may_have_run.
    bool unconfirmed = false;
    int unfinished = 0; ///< Number of tasks in phase waiting or started.
    time_point submitted{};
    wall_time submitted_wall{0};
    time_point ended_at{};
    wall_time ended_wall{0};
    std::string held_by; ///< Why the request waits: a stable identifier, see explain_held_by().
    time_point not_before{};
};

/// Resources that one customer uses in a shard.
struct customer_usage {
    resources total;
    resources non_preemptible; ///< Used by classes that can't be preempted.
    resources preempting;      ///< Used by tasks whose preemption was requested.
    resources calls;           ///< Used by calls now.
    resources call_peak;       ///< Recent maximum of `calls`; it decays over time.

    // This customer's contribution to the shard's sums over all customers. It is kept so that a
    // decision need not add up all customers.
    resources headroom;         ///< Kept free for calls that the guarantee covers.
    resources unused_guarantee; ///< Guaranteed but not in use.
    resources borrowed;         ///< Used beyond the guarantee by classes that can be preempted.
};

/// Requests of one customer and class of work that have tasks to place.
struct work_queue {
    std::list<request_record*> items;
    int waiting_tasks = 0;
    double mean_wait_ms = 0;
};

/// A task start to send to a worker.
struct start_action {
    std::string worker;
    task_start task;
};

/// A stop, checkpoint or throttle command to send to a worker.
struct control_action {
    std::string worker;
    task_control_request stop;
};

/// An answer to the caller that waits under `token`.
struct answer_action {
    std::uint64_t token = 0;
    outcome result;
};

/// A request for a larger share of a customer's ceiling.
struct share_request {
    std::string customer;
    std::int64_t parts = 0;
};

/// Actions for the caller of shard_state to carry out.
struct shard_actions {
    std::vector<start_action> starts;
    std::vector<control_action> controls;
    std::vector<answer_action> answers;
    std::vector<share_request> share_requests;
    bool journal = false; ///< A new journal record must be written.
};

} // namespace flamingoseam
