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

/// Where one task of a request stands. The letters are those of the journal.
enum class task_phase : char {
    waiting = 'w',
    started = 's', ///< Sent to a worker; it may be running.
    done = 'd',
    failed = 'f',
    unknown = 'u',   ///< It may have run; it is not started again.
    cancelled = 'c', ///< It was not started.
    parked = 'p',    ///< In the journal only: it waits and has a checkpoint to go on from.
};

/// One task of a request.
struct task_slot {
    task_phase phase = task_phase::waiting;
    int attempt = 0;        ///< Starts so far that were not refused; above 0 it may have run.
    std::string task_id;    ///< Of the newest attempt.
    std::size_t worker = 0; ///< Valid while started.
    resources reserved;     ///< Valid while started.
    time_point began{};
    bool yielding = false; ///< Asked to give its worker back.
    time_point yield_deadline{};
    bool cancelling = false;
    bool parked = false;               ///< Checkpointed, and certainly not resumed since.
    std::uint64_t resume_sequence = 0; ///< Of the journal write after which it may be resumed.
};

/// A request that the shard knows: waiting, running, or ended a short while ago.
struct request_record {
    work_request request;
    std::vector<task_slot> tasks;
    std::deque<int> waiting;            ///< Indices of tasks to place, in order.
    int opened = 0;                     ///< Tasks below it may be started; in the store for jobs.
    int opening = 0;                    ///< Value of `opened` in the next journal write.
    bool accepted = true;               ///< False for a job that is not in the store's journal yet.
    std::uint64_t content_hash = 0;     ///< Tells a repeat from another request under the same id.
    std::vector<std::uint64_t> waiters; ///< Tokens of callers who wait for the outcome.
    outcome result;
    bool ended = false;
    bool cancelled = false;
    bool queued = false;
    bool doubtful = false; ///< An earlier owner may have run it, so a refusal says may_have_run.
    int unfinished = 0;    ///< Tasks in phase waiting or started.
    time_point submitted{};
    wall_time submitted_wall{0};
    time_point ended_at{};
    wall_time ended_wall{0};
    std::string held_by; ///< Why the request waits; a stable word for `explain`.
    time_point not_before{};
};

/// What one customer holds in a shard.
struct customer_usage {
    resources total;
    resources firm;      ///< Held by classes that do not yield.
    resources yielding;  ///< Held by tasks that were asked to yield.
    resources calls;     ///< Held by calls now.
    resources call_peak; ///< The most that calls held lately.

    // Parts of the shard's sums over all customers, kept so that a decision need not add them up.
    resources headroom; ///< Kept free for calls that the guarantee covers.
    resources promised; ///< Guaranteed and not held.
    resources borrowed; ///< Held beyond the guarantee by classes that yield.
};

/// Requests of one customer and class that have tasks to place.
struct work_queue {
    std::list<request_record*> items;
    int waiting_tasks = 0;
    double mean_wait_ms = 0;
};

/// A start to send to a worker.
struct start_action {
    std::string worker;
    task_start task;
};

/// A stop, checkpoint or throttle to send to a worker.
struct control_action {
    std::string worker;
    task_control_request stop;
};

/// An answer to a caller who waits under `token`.
struct answer_action {
    std::uint64_t token = 0;
    outcome result;
};

/// A wish for more of a customer's ceiling.
struct share_wish {
    std::string customer;
    std::int64_t parts = 0;
};

/// What the outside has to do after a step of a shard's state.
struct shard_actions {
    std::vector<start_action> starts;
    std::vector<control_action> controls;
    std::vector<answer_action> answers;
    std::vector<share_wish> wishes;
    bool journal = false; ///< A new journal record is to be written.
};

} // namespace flamingoseam
