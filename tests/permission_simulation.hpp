#pragma once

#include "flamingoseam/workflow/permission_queue.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// Size of the simulated deployment.
struct permission_simulation_options {
    std::size_t workers = 48;
    std::size_t call_slots = 8;
    std::int64_t milli_cpus = 64'000; ///< Capacity of one worker.
    double permitted_share = 0.3;     ///< Share of the workers that may run a step.
};

/// Simulates an owner with its workers and its calls to the permission service, in virtual time.
class permission_simulation {
public:
    explicit permission_simulation(permission_simulation_options options = {});

    /// Submits a job whose tasks each run for `length`.
    void submit(const job_spec& spec, const queue_terms& terms, milliseconds length);

    /// A job that an earlier owner has accepted and not started.
    struct accepted_job {
        job_spec spec;
        queue_terms terms;
        milliseconds length{0}; ///< Run time of each task.
        milliseconds age{0};    ///< Time since its acceptance.
    };

    /// Loads the jobs of an earlier owner.
    void load(const std::vector<accepted_job>& jobs);

    void cancel(const std::string& id);

    /// Adds workers to the fleet.
    void add_workers(std::size_t count);

    /// Advances the virtual time by `length` and processes all events that become due.
    void advance(milliseconds length);

    /// Checks whether a job was refused.
    [[nodiscard]] bool refused(const std::string& id) const { return submitted_.at(id).refused; }

    [[nodiscard]] time_point time() const { return time_; }
    [[nodiscard]] std::size_t workers() const { return options_.workers; }
    [[nodiscard]] int pending_requests() const { return pending_requests_; }
    [[nodiscard]] int answered_calls() const { return answered_calls_; }

    /// Checks whether a worker has no active runs.
    [[nodiscard]] bool is_idle(std::size_t worker) const;

    /// Returns the processors that the active runs use, by worker.
    [[nodiscard]] std::vector<std::int64_t> used_processors() const;

    /// Returns how many tasks of a job's first step fit on its permitted workers beside runs that
    /// use these processors. The job needs permission.
    [[nodiscard]] int places(const std::string& id, const std::vector<std::int64_t>& used) const;

    /// Checks whether the permission service allows the steps of a job on a worker.
    [[nodiscard]] bool is_permitted(const std::string& id, std::size_t worker) const;

    /// Returns the number of answered permission calls of a job.
    [[nodiscard]] int answered_calls(const std::string& id) const;

    /// Returns the start time of the first task of a job, or nothing if none has started.
    [[nodiscard]] std::optional<time_point> first_start(const std::string& id) const;

    /// Returns the start time of the first task of a step, or nothing if none has started.
    [[nodiscard]] std::optional<time_point> first_start(const std::string& id, int step) const;

    /// Returns the time from submission to the first start, or to now if no task has started.
    [[nodiscard]] milliseconds start_wait(const std::string& id) const;

    /// Returns the time from submission to the first answer of the permission service, or
    /// to now if there is none.
    [[nodiscard]] milliseconds permission_wait(const std::string& id) const;

private:
    struct call {
        time_point end;
        permission_request request;
    };
    struct submitted_job {
        time_point time{};
        milliseconds length{0};             ///< Run time of each task.
        std::int64_t milli_cpus = 0;        ///< Processors of each task.
        std::vector<std::size_t> permitted; ///< Permitted workers, if the job needs permission.
        std::optional<time_point> first_answer;
        int answered_calls = 0;
        bool refused = false;
    };

    void record_submitted(const job_spec& spec, const queue_terms& terms, milliseconds length);
    void record_permitted(const std::string& id, std::size_t first);
    void list_workers(std::size_t first_new);
    void process_actions();
    void end_runs();
    void complete_calls();
    void commit_changes();
    [[nodiscard]] std::vector<ticket_grant> grants_of(const permission_request& request) const;
    [[nodiscard]] milliseconds since_submitted(const std::string& id,
                                               std::optional<time_point> until) const;

    permission_simulation_options options_;
    workflow_state state_{{.epoch = 2}};
    permission_queue queue_;
    time_point time_{std::chrono::hours(1)};
    std::vector<call> calls_;
    int answered_calls_ = 0;
    int pending_requests_ = 0;     ///< Sent by the owner and neither answered nor withdrawn.
    std::vector<std::string> ids_; ///< Ids of the jobs in order of submission.
    std::map<std::string, submitted_job> submitted_;
    std::map<std::string, time_point> first_starts_;
    std::map<std::pair<std::string, int>, time_point> first_step_starts_; ///< By job and step.
    std::vector<std::pair<time_point, start_order>> running_; ///< Active runs with their end times.
    std::map<std::size_t, std::int64_t> last_end_;
};

} // namespace flamingoseam::workflow
