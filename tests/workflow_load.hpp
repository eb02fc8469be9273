#pragma once

#include "flamingoseam/workflow/workflow_state.hpp"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// Load of one queue.
struct load_queue {
    queue_terms terms;
    double per_second = 0;
    double worth = 1;     ///< Worth of a job that completes within its target time.
    double tasks = 1;     ///< Mean number per job; drawn from 0.5 to 1.5 times the mean.
    milliseconds work{0}; ///< Mean run time of a task; drawn from 0.5 to 1.5 times the mean.
    std::int64_t milli_cpus = 0;
    bool gang = false;
};

/// Options of a simulated load.
struct load_options {
    std::uint64_t seed = 1;
    std::vector<load_queue> queues;
    std::size_t workers = 350;
    std::int64_t milli_cpus = 64'000;   ///< Capacity of one worker.
    milliseconds arrival_period{8'000}; ///< Time during which jobs arrive.
    milliseconds drain_time{0};         ///< Time that the simulation continues afterwards.
    double load = 1;                    ///< Factor of the arrival rates of the queues.
    double burst = 1;                   ///< Additional factor from `burst_begins` to `burst_ends`.
    milliseconds burst_begins{0};
    milliseconds burst_ends{0};
    double starts_per_second = 0; ///< Start orders sent to the workers; 0 for no limit.
    milliseconds store_answer{8};
    milliseconds collection_time{25}; ///< Time for which a commit stream collects changes.
    workflow_options state;
};

/// One job and its outcome.
struct load_job {
    const load_queue* queue = nullptr;
    job_spec spec;
    milliseconds arrival{0};
    milliseconds target{0};
    std::optional<milliseconds> answered;
    bool refused = false; ///< Whether the latest answer is a refusal.
    int attempts = 0;
    std::optional<milliseconds> last_end;  ///< When the end of its last task was reported.
    std::optional<milliseconds> completed; ///< When its completion became visible.

    /// Returns the worth that the job has earned: a fifth when late, nothing after three times the
    /// target.
    [[nodiscard]] double credit() const;
};

/// Simulates the load of a deployment with hundreds of workers in virtual time: jobs, workers and
/// the store around one workflow_state. The same seed gives the same load.
class workflow_load {
public:
    explicit workflow_load(load_options options);

    void run();

    [[nodiscard]] const std::vector<load_job>& jobs() const { return jobs_; }
    [[nodiscard]] const workflow_state& state() const { return state_; }
    [[nodiscard]] int transactions() const { return transactions_; }
    [[nodiscard]] int records() const { return records_; }
    [[nodiscard]] int ends() const { return ends_; }

    /// Returns the maximum time from the report of an end until its acknowledgement to the worker.
    [[nodiscard]] milliseconds max_acknowledgement_delay() const
    {
        return max_acknowledgement_delay_;
    }

    /// Returns the earned share of the total worth of the jobs for which `counts` is true.
    [[nodiscard]] double worth(const std::function<bool(const load_job&)>& counts =
                                   [](const load_job&) { return true; }) const;

private:
    struct event {
        milliseconds time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };
    struct active_run {
        milliseconds started_at{0};
        milliseconds duration{0};
        bool running = false;
    };
    struct stream_link {
        bool is_writing = false;
        std::uint64_t collection_id = 0; ///< Id of the current collection of changes; 0 for none.
    };
    struct worker {
        std::map<run_name, active_run> runs;
        std::vector<ended_run> ended;
        std::map<std::int64_t, milliseconds> unacknowledged_ends; ///< Report time by end number.
        std::int64_t last_end = 0;
        bool report_due = false;
    };

    void at(milliseconds delay, std::function<void()> action);
    [[nodiscard]] time_point clock() const;
    [[nodiscard]] wall_time wall() const;
    [[nodiscard]] double rate_at(const load_queue& queue, double second) const;
    double random_factor();
    void make_workers();
    void make_jobs();
    load_job make_job(const load_queue& queue, milliseconds arrival);
    load_job& job_of(const std::string& id);
    void submit(std::size_t index);
    void tick();
    void process_actions();
    void schedule_retry(std::size_t index, milliseconds retry_after);
    void send_start(const start_order& order);
    void start(const start_order& order);
    void begin(std::size_t index, const run_name& name, milliseconds duration);
    void end(std::size_t index, const run_name& name, run_end how);
    void report(std::size_t index);
    void report_periodically(std::size_t index);
    void acknowledge_ends(const forget_order& order);
    void store();
    void start_collection(std::size_t stream);
    void write(std::size_t stream);

    load_options options_;
    std::mt19937_64 random_;
    workflow_state state_;
    std::vector<worker> workers_;
    std::vector<load_job> jobs_;
    std::map<std::pair<std::string, int>, std::vector<std::pair<std::size_t, run_name>>> gangs_;
    std::map<std::string, std::pair<milliseconds, load_job*>>
        completed_jobs_; ///< Completed, but not yet visible.
    std::vector<stream_link> streams_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t last_collection_id_ = 0;
    milliseconds now_{0};
    double next_start_ms_ = 0;
    int transactions_ = 0;
    int records_ = 0;
    int ends_ = 0;
    milliseconds max_acknowledgement_delay_{0};
};

/// Returns the queues of a deployment with 350 workers: 155 jobs and about 1,050 tasks per second,
/// which need nine tenths of the capacity of 350 workers with 64 processors each.
std::vector<load_queue> load_of_350_workers();

} // namespace flamingoseam::workflow
