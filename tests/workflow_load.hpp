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

/// A queue's share of a load.
struct load_queue {
    queue_terms terms;
    double per_second = 0;
    double worth = 1;     ///< Of a job that is done within its target time.
    double tasks = 1;     ///< Mean; half to one and a half times as many.
    milliseconds work{0}; ///< Mean run time of a task; half to one and a half times as long.
    std::int64_t milli_cpus = 0;
    bool gang = false;
};

/// What happens in a simulated load.
struct load_options {
    std::uint64_t seed = 1;
    std::vector<load_queue> queues;
    std::size_t workers = 350;
    std::int64_t milli_cpus = 64'000; ///< Of one worker.
    milliseconds traffic{8'000};      ///< Jobs arrive for this long.
    milliseconds rest{0};             ///< How long the state runs on after that.
    double load = 1;                  ///< Multiple of the queues' rates.
    double burst = 1;                 ///< Multiple of that from `burst_begins` to `burst_ends`.
    milliseconds burst_begins{0};
    milliseconds burst_ends{0};
    double starts_per_second = 0; ///< Orders that reach the workers; 0 for no limit.
    milliseconds store_answer{8};
    milliseconds gather{25}; ///< Of a chain of transactions.
    workflow_options state;
};

/// What became of one job.
struct load_job {
    const load_queue* queue = nullptr;
    job_spec spec;
    milliseconds arrival{0};
    milliseconds target{0};
    std::optional<milliseconds> answered;
    bool refused = false; ///< By the newest answer.
    int attempts = 0;
    std::optional<milliseconds> last_end;  ///< When its last task's end was reported.
    std::optional<milliseconds> completed; ///< When it was shown as completed.

    /// Returns what the job has earned: a fifth when late, nothing after three times the target.
    [[nodiscard]] double credit() const;
};

/// The load of a deployment with hundreds of workers, in simulated time: jobs, workers and the
/// store around one workflow_state. The same seed gives the same load.
class workflow_load {
public:
    explicit workflow_load(load_options options);

    void run();

    [[nodiscard]] const std::vector<load_job>& jobs() const { return jobs_; }
    [[nodiscard]] const workflow_state& state() const { return state_; }
    [[nodiscard]] int transactions() const { return transactions_; }
    [[nodiscard]] int records() const { return records_; }
    [[nodiscard]] int ends() const { return ends_; }

    /// Returns the longest time from an end's report until the worker may forget it.
    [[nodiscard]] milliseconds longest_acknowledgement() const { return longest_acknowledgement_; }

    /// Returns the share of the owed worth that was earned by the jobs for which `counts` is true.
    [[nodiscard]] double worth(const std::function<bool(const load_job&)>& counts =
                                   [](const load_job&) { return true; }) const;

private:
    struct event {
        milliseconds time;
        std::uint64_t number;
        std::function<void()> what;
        bool operator<(const event& other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };
    struct live_run {
        milliseconds begins{0};
        milliseconds length{0};
        bool running = false;
    };
    struct stream_link {
        bool is_writing = false;
        std::uint64_t gathering = 0; ///< Number of the span of gathering, 0 for none.
    };
    struct worker {
        std::map<run_name, live_run> runs;
        std::vector<ended_run> ended;
        std::map<std::int64_t, milliseconds> unforgotten; ///< By number, when it was reported.
        std::int64_t last_end = 0;
        bool report_due = false;
    };

    void at(milliseconds delay, std::function<void()> what);
    [[nodiscard]] time_point clock() const;
    [[nodiscard]] wall_time wall() const;
    [[nodiscard]] double rate_at(const load_queue& queue, double second) const;
    double between_half_and_more();
    void make_workers();
    void make_jobs();
    load_job make_job(const load_queue& queue, milliseconds arrival);
    load_job& job_of(const std::string& id);
    void submit(std::size_t index);
    void tick();
    void carry_out();
    void come_back(std::size_t index, milliseconds retry_after);
    void order(const start_order& one);
    void start(const start_order& one);
    void begin(std::size_t index, const run_name& name, milliseconds length);
    void end(std::size_t index, const run_name& name, run_end how);
    void report(std::size_t index);
    void report_often(std::size_t index);
    void forget(const forget_order& one);
    void store();
    void gather(std::size_t stream);
    void write(std::size_t stream);

    load_options options_;
    std::mt19937_64 random_;
    workflow_state state_;
    std::vector<worker> workers_;
    std::vector<load_job> jobs_;
    std::map<std::pair<std::string, int>, std::vector<std::pair<std::size_t, run_name>>> gangs_;
    std::map<std::string, std::pair<milliseconds, load_job*>> unshown_; ///< Completed, not stored.
    std::vector<stream_link> streams_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t last_gathering_ = 0;
    milliseconds now_{0};
    double next_order_ms_ = 0;
    int transactions_ = 0;
    int records_ = 0;
    int ends_ = 0;
    milliseconds longest_acknowledgement_{0};
};

/// Returns the queues of a deployment with 350 workers: 155 jobs and about 1,050 tasks a second,
/// which take nine tenths of 350 workers of 64 processors.
std::vector<load_queue> load_of_350_workers();

} // namespace flamingoseam::workflow
