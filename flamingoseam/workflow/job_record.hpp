#pragma once

#include "flamingoseam/workflow/job_spec.hpp"
#include "flamingoseam/workflow/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingoseam::workflow {

/// The phases of a job.
enum class job_phase { queued, running, completed, failed, cancelled };

/// Returns the name of a phase in lower case. Complexity: constant.
const char* to_string(job_phase value);

/// Parses the name of a phase. Throws parse_error (id 125), whose message contains the text.
job_phase job_phase_from_string(const std::string& text);

/// Checks whether a phase is final, so that a job in this phase does not change any more.
inline bool is_final(job_phase phase)
{
    return phase == job_phase::completed || phase == job_phase::failed ||
           phase == job_phase::cancelled;
}

/// The phases of a task.
enum class task_phase {
    unlocated, ///< An earlier owner may have started it; not all workers have reported yet.
    waiting,   ///< No worker runs it.
    placed,    ///< It runs on a worker, or its start was ordered there.
    done,
};

/// One task of a step.
struct task_record {
    task_phase phase = task_phase::waiting;
    std::vector<std::int64_t> failed_runs; ///< Numbers of the runs reported as failed; no repeats.
    std::vector<std::int64_t>
        crashed_runs;           ///< Numbers of the runs whose worker crashed; no repeats.
    time_point isolate_until{}; ///< Until then a suspect waits for an idle worker.
    std::int64_t run = 0;       ///< Number of the newest run.
    std::size_t worker = 0;
    std::string checkpoint;
};

/// The answers of the permission service about the workers that may run a step.
class permission_record {
public:
    /// The ticket for a permitted worker; its text is empty after it was dropped.
    struct ticket {
        std::size_t worker = 0;
        std::string text;
        time_point valid_until{};
    };

    /// Records an answer of the permission service: `asked` are the workers named in the call,
    /// `granted` the tickets of the permitted ones. The others are not permitted any more.
    void record_answer(const std::vector<std::size_t>& asked,
                       const std::map<std::size_t, std::string>& granted, time_point valid_until);

    /// Drops the ticket for a worker, for example after a refusal.
    void drop_ticket(std::size_t worker);

    /// Forgets what depends on the incarnation of a worker, when a new one has begun: its ticket,
    /// and that it was not permitted.
    void forget_answer(std::size_t worker);

    /// Checks whether the service has permitted the worker. Complexity: logarithmic.
    [[nodiscard]] bool is_permitted(std::size_t worker) const;

    /// Returns the permitted workers, sorted by index, each with its newest ticket, valid or not.
    [[nodiscard]] const std::vector<ticket>& permitted() const { return permitted_; }

    /// Checks whether the service has answered about the worker's incarnation. A worker that was
    /// permitted in an earlier one counts as answered about. Complexity: constant.
    [[nodiscard]] bool has_answer_for(std::size_t worker) const
    {
        return worker < answered_.size() && answered_[worker];
    }

    /// Checks whether the service has answered about any worker. Complexity: constant.
    [[nodiscard]] bool has_answer() const { return !answered_.empty(); }

    /// Checks whether any ticket may be valid until `needed`. Complexity: constant.
    [[nodiscard]] bool has_ticket(time_point needed) const { return needed <= newest_until_; }

    /// Returns the share of the workers asked about that are permitted, 0 before any answer.
    /// Complexity: linear in the workers.
    [[nodiscard]] double permitted_share() const;

    /// Returns the ticket for the worker if it is valid until at least `needed`, null otherwise.
    /// Complexity: logarithmic.
    [[nodiscard]] const ticket* find_ticket(std::size_t worker, time_point needed) const;

    std::uint64_t outstanding = 0; ///< Number of the request in flight, 0 for none.
    time_point next_request{};     ///< Earliest time of the next request after a failed one.
    time_point next_search{};      ///< Earliest next search after all workers were asked about.
    int calls = 0;                 ///< Number of requests made so far.

private:
    void remove_permitted(std::size_t worker);
    [[nodiscard]] std::vector<ticket>::const_iterator find(std::size_t worker) const;

    std::vector<bool> answered_;    ///< By worker index: whether the service has answered about it.
    std::vector<ticket> permitted_; ///< Sorted by worker index.
    time_point newest_until_{};     ///< No ticket is valid after this time.
};

/// The state of one step of a job.
struct step_record {
    std::vector<task_record> tasks;
    int done = 0;
    int placed = 0;
    int unlocated = 0;
    std::vector<std::int64_t> gang_failed_runs; ///< Numbers of the gang's runs that failed.
    std::int64_t gang_run = 0;                  ///< Number of the gang's current run, 0 for none.
    bool gang_broken = false; ///< The current run has ended; its members are being removed.
    time_point not_before{};  ///< Earliest start of the next run after a failure.
    time_point turn_since{};  ///< Since when all predecessors have finished; zero if unknown.
    time_point waits_since{}; ///< Since when tasks are ready to run and wait; zero if none wait.
    time_point turn_ended{};  ///< When the step's last turn to go first has ended.
    time_point last_start{};  ///< When a start of one of its tasks was ordered last.
    /// Since when tasks could run and no worker runs them, as a report on waiting steps has noticed
    /// it, whether or not a pass examines the step; zero if none wait.
    time_point wait_noticed{};
    time_point wait_named{};      ///< When a report has named the step last since then.
    time_point examined_at{};     ///< When a scheduling pass has examined the step last.
    time_point call_refused_at{}; ///< When the step needed a call slot and got none last.
    /// The same as `waits_since`, but earlier by what earlier steps of the job have waited.
    time_point waits_in_effect_since{};
    /// Earliest next attempt to reserve capacity for a gang after none was found.
    time_point next_reservation_attempt{};
    bool reservation_expired = false; ///< Capacity reserved for the gang did not become free.
    time_point claim_ended{}; ///< When the gang's last claim to room has ended without a start.
    permission_record permission;

    [[nodiscard]] int waiting() const
    {
        return static_cast<int>(tasks.size()) - done - placed - unlocated;
    }
    [[nodiscard]] bool is_done() const { return done == static_cast<int>(tasks.size()); }
};

/// A job and its state.
struct job_record {
    job_spec spec;
    /// Those of the queue at the job's acceptance, except for the service, the priority and the
    /// permission, which follow the newest version of the configuration.
    queue_terms terms;
    std::string accepted_service; ///< The queue's service when the job was accepted.
    std::string newest_service;   ///< The queue's service in the newest version.
    wall_time accepted{0};        ///< Stored with the job; the same for every owner.
    time_point due{};             ///< Target time of completion, by this owner's clock.
    time_point received{};
    /// Longest wait of its steps, each including the waits of the steps before it.
    time_point::duration waited{};
    job_phase phase = job_phase::queued;
    bool has_begun = false;  ///< A task was started.
    time_point idle_since{}; ///< Since when no run is confirmed, as noticed; zero if any is.
    std::vector<step_record> steps;
    std::uint64_t sequence = 0;   ///< Order in which this owner received the jobs.
    std::uint64_t changed_at = 0; ///< Number of the newest change.
    std::uint64_t stored_at = 0;  ///< Number of the newest change that is stored.
    bool spec_stored = false;     ///< The store has the specification.
    wall_time ended{0};

    [[nodiscard]] bool is_stored() const { return stored_at >= changed_at; }

    /// Checks whether the job has this task and still keeps it. A worker may report runs of others.
    /// Complexity: constant.
    [[nodiscard]] bool has_task(const task_name& task) const;

    /// Checks whether all predecessors of `step` have finished. Complexity: linear in the
    /// predecessors.
    [[nodiscard]] bool are_predecessors_done(std::size_t step) const;

    /// Checks whether the turn of `step` has come and no worker runs some of its tasks. Complexity:
    /// linear in the predecessors.
    [[nodiscard]] bool has_waiting_tasks(std::size_t step) const
    {
        return steps[step].waiting() > 0 && are_predecessors_done(step);
    }
};

/// Creates the records of the steps, with every task in `phase`.
void fill_steps(job_record& job, task_phase phase);

/// Returns the estimated length of the critical path through the steps that have not finished.
milliseconds remaining_critical_path(const job_record& job);

} // namespace flamingoseam::workflow
