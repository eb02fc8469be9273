/// Simulates the scheduling of jobs with several steps in virtual time: the loads of the
/// deployments, at several multiples, with healthy and with slow workers, compared with simpler
/// orders of work. It uses no processes or sockets, and the same seed gives the same workload. It
/// also prints the processor time of the decisions, the only value that differs between runs.
#include "flamingoseam/workflow/permission_queue.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <queue>
#include <random>

DEFINE_uint64(seed, 1, "seed of sizes, arrivals and run times");
DEFINE_int32(seconds, 34, "length of the traffic in simulated seconds");
DEFINE_string(deployment, "",
              "leisure, gallery, leisure-grown or gallery-grown; the first two when empty");
DEFINE_uint64(workers, 0, "number of workers, with load to match; the deployment's when 0");
DEFINE_string(day, "", "calm, bursts, slow, high or double; all when empty");
DEFINE_string(order, "", "order of work; several when empty");

namespace {

using namespace flamingoseam;
using namespace flamingoseam::workflow;

constexpr wall_time simulation_start{1'000'000'000};
constexpr milliseconds tick{50};
constexpr milliseconds report_interval{800};
constexpr milliseconds message_time{3};
constexpr milliseconds store_time{30};
constexpr double max_worth = 4; ///< Maximum worth of a job, as a multiple of the mean of its queue.
constexpr double late_worth_share = 0.2;
constexpr double max_gang_share =
    0.7; ///< Maximum share of the permitted workers that a gang needs.
constexpr double failure_rate = 0.02;

/// Load of one queue.
struct queue_load {
    queue_terms terms;
    double per_second = 0;
    double worth = 0;
    double steps = 1;
    double max_steps = 3;
    double tasks = 1;
    double max_tasks = 48;
    milliseconds work{0};
    milliseconds max_work{0};
    std::int64_t milli_cpus = 0;
    std::int64_t max_milli_cpus = 0;
    std::int64_t memory_mb = 0;
    double estimate_error = 0; ///< Relative spread of the declared run time around the actual one.
    double gangs = 0;
    double checkpoints = 0; ///< Share of the jobs whose tasks can resume after a stop.
    double permitted = 1;   ///< Share of the workers that may run a step.
};

struct deployment {
    std::string name;
    std::size_t workers = 48;
    std::size_t call_slots =
        8; ///< Nodes that call the permission service, each with one call at a time.
    std::size_t batch_entries = 30; ///< Records in one transaction of the store.
    resources worker;
    std::vector<queue_load> queues;
};

queue_terms terms_of(const std::string& name, int priority, int attempts, double stretch,
                     int target_ms, permission_terms permission)
{
    return {.name = name,
            .service = "service",
            .priority = priority,
            .max_attempts = attempts,
            .stretch = stretch,
            .target = milliseconds(target_ms),
            .permission = permission};
}

deployment leisure()
{
    using ms = milliseconds;
    const auto advice = [](double call, double worker) {
        return permission_terms{fractional_ms(call), fractional_ms(worker), ms(2'000)};
    };
    return {.name = "leisure",
            .worker = {.milli_cpus = 64'000, .memory_mb = 131'072},
            .queues = {{.terms = terms_of("batch", 1, 3, 2.2, 1'000, advice(410, 5.9)),
                        .per_second = 1.8,
                        .worth = 13.2,
                        .steps = 1.2,
                        .tasks = 8,
                        .max_tasks = 48,
                        .work = ms(4'000),
                        .max_work = ms(10'000),
                        .milli_cpus = 18'000,
                        .max_milli_cpus = 30'000,
                        .memory_mb = 33'000,
                        .estimate_error = 0.2,
                        .gangs = 1,
                        .permitted = 0.3},
                       {.terms = terms_of("review", 2, 2, 4, 3'000, advice(53, 0.75)),
                        .per_second = 6.79,
                        .worth = 2.18,
                        .steps = 1.5,
                        .tasks = 10,
                        .max_tasks = 60,
                        .work = ms(2'200),
                        .max_work = ms(5'400),
                        .milli_cpus = 3'900,
                        .max_milli_cpus = 12'000,
                        .memory_mb = 7'200,
                        .estimate_error = 0.9,
                        .checkpoints = 0.8,
                        .permitted = 0.45},
                       {.terms = terms_of("gate", 0, 4, 1.5, 250, advice(7.4, 0.11)),
                        .per_second = 48.1,
                        .worth = 0.431,
                        .tasks = 2,
                        .max_tasks = 12,
                        .work = ms(640),
                        .max_work = ms(1'600),
                        .milli_cpus = 5'600,
                        .max_milli_cpus = 17'000,
                        .memory_mb = 10'000,
                        .estimate_error = 0.2,
                        .gangs = 0.3,
                        .permitted = 0.7}}};
}

deployment gallery()
{
    auto result = leisure();
    result.name = "gallery";
    result.worker = {.milli_cpus = 16'000, .memory_mb = 32'768};
    const std::array<double, 3> rates{1.18, 5.46, 38.7};
    const std::array<double, 3> worths{15.9, 2.15, 0.425};
    const std::array<int, 3> work_ms{6'200, 2'700, 800};
    for (std::size_t index = 0; index < result.queues.size(); ++index) {
        auto& queue = result.queues[index];
        queue.per_second = rates.at(index);
        queue.worth = worths.at(index);
        queue.work = milliseconds(work_ms.at(index));
        queue.max_work = queue.work * 5 / 2;
        queue.milli_cpus /= 4;
        queue.max_milli_cpus /= 4;
        queue.memory_mb /= 4;
    }
    return result;
}

/// Values of a queue in a grown deployment, which replace those of the small one.
struct grown_queue {
    double per_second;
    double worth;
    double tasks;
    double max_tasks;
    double milli_cpus;
    fractional_ms call;
    fractional_ms worker;
};

deployment grown(deployment result, const std::array<grown_queue, 3>& queues)
{
    result.name += "-grown";
    result.workers = 350;
    result.call_slots = 30;
    result.batch_entries = 100;
    for (std::size_t index = 0; index < queues.size(); ++index) {
        auto& queue = result.queues[index];
        const auto& now = queues.at(index);
        const double larger = now.milli_cpus / static_cast<double>(queue.milli_cpus);
        queue.per_second = now.per_second;
        queue.worth = now.worth;
        queue.tasks = now.tasks;
        queue.max_tasks = now.max_tasks;
        queue.memory_mb = static_cast<std::int64_t>(larger * static_cast<double>(queue.memory_mb));
        queue.milli_cpus = static_cast<std::int64_t>(now.milli_cpus);
        queue.max_milli_cpus =
            static_cast<std::int64_t>(larger * static_cast<double>(queue.max_milli_cpus));
        queue.terms.permission->decision = now.call;
        queue.terms.permission->per_worker = now.worker;
    }
    return result;
}

deployment leisure_grown()
{
    using ms = fractional_ms;
    return grown(leisure(), {{{5.96, 10.6, 20, 120, 18'000, ms(442), ms(6.37)},
                              {12.3, 3.2, 25, 150, 6'900, ms(104), ms(1.43)},
                              {137, 0.402, 3.2, 19, 9'900, ms(9.36), ms(0.13)}}});
}

deployment gallery_grown()
{
    using ms = fractional_ms;
    return grown(gallery(), {{{3.76, 13.3, 20, 120, 4'500, ms(442), ms(6.37)},
                              {9.84, 3.17, 25, 150, 1'700, ms(104), ms(1.43)},
                              {110, 0.398, 3.2, 19, 2'500, ms(9.36), ms(0.13)}}});
}

/// Returns a deployment with another number of workers and its load scaled accordingly.
deployment with_workers(deployment result, std::size_t workers)
{
    const double factor = static_cast<double>(workers) / static_cast<double>(result.workers);
    const auto times = [factor](std::size_t count) {
        return static_cast<std::size_t>(std::ceil(static_cast<double>(count) * factor));
    };
    result.workers = workers;
    result.call_slots = times(result.call_slots);
    result.batch_entries = times(result.batch_entries);
    for (auto& queue : result.queues) {
        queue.per_second *= factor;
    }
    return result;
}

/// Measures the total and maximum processor time of the decisions.
class decision_clock {
public:
    template <typename Call> auto measure(const Call& call)
    {
        const auto began = now();
        if constexpr (std::is_void_v<decltype(call())>) {
            call();
            add(now() - began);
        } else {
            auto result = call();
            add(now() - began);
            return result;
        }
    }

    [[nodiscard]] fractional_ms total() const { return total_; }
    [[nodiscard]] fractional_ms maximum() const { return max_; }

private:
    static std::chrono::nanoseconds now()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    void add(std::chrono::nanoseconds length)
    {
        total_ += length;
        max_ = std::max<std::chrono::nanoseconds>(max_, length);
    }

    std::chrono::nanoseconds total_{0};
    std::chrono::nanoseconds max_{0};
};

/// Deviations of a simulated load from the normal one.
struct scenario {
    std::string name;
    double load = 1;
    bool bursts = false;   ///< Whether there is a burst of gate checks and later one of batches.
    double slow_share = 0; ///< Share of the workers that are slow for some seconds.
};

constexpr double gate_burst = 2.0;
constexpr double batch_burst = 1.7;
constexpr std::array gate_burst_s{8.0, 12.0};
constexpr std::array batch_burst_s{20.0, 24.0};
constexpr std::array<milliseconds, 2> slow_time{milliseconds(5'000), milliseconds(12'000)};
constexpr double slowdown = 5;

/// One job with its actual values: its needs, permitted workers and task durations.
struct real_job {
    const queue_load* queue = nullptr;
    job_spec spec;
    milliseconds arrival{0};
    milliseconds target{0};
    double worth = 0;
    std::vector<std::vector<milliseconds>>
        lengths; ///< Durations by step and task, on a worker of speed 1.
    std::optional<milliseconds> completed;
    std::optional<milliseconds> first_start;
    std::uint64_t permission_seed = 0;
};

struct sim_run {
    milliseconds begins{0};      ///< Start of the work; of a gang when its last member has started.
    milliseconds length{0};      ///< Duration on a worker of speed 1.
    std::size_t pace_worker = 0; ///< Worker whose speed applies; for a gang the slowest one.
    bool running = false;
};

struct sim_worker {
    double speed = 1;
    bool slow_later = false;
    std::map<run_name, sim_run> runs;
    std::vector<ended_run> ended;
    std::int64_t last_end = 0;
    bool report_due = false;
};

class simulation {
public:
    simulation(const deployment& simulated, const scenario& conditions, std::uint64_t seed,
               step_ranking order)
        : deployment_(simulated), scenario_(conditions), random_(seed),
          state_({.order = std::move(order)})
    {
        make_workers();
        make_jobs();
    }

    void run()
    {
        at(milliseconds(0), [this] { step(); });
        const auto end = milliseconds(FLAGS_seconds * 1'000 + 40'000);
        while (!events_.empty() && events_.top().time <= end) {
            auto event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
    }

    void print(const std::string& name) const
    {
        double total_worth = 0;
        double earned_worth = 0;
        std::map<std::string, std::pair<double, double>> by_queue;
        std::map<std::string, std::vector<double>> waits;
        for (const auto& job : jobs_) {
            const double credit = credit_of(job);
            total_worth += job.worth;
            earned_worth += credit;
            auto& sums = by_queue[job.spec.queue];
            sums.first += credit;
            sums.second += job.worth;
        }
        std::printf("%-8s %-6s | %-9s | %5.3f |", deployment_.name.c_str(), scenario_.name.c_str(),
                    name.c_str(), earned_worth / total_worth);
        for (const auto& [queue, sums] : by_queue) {
            std::printf(" %s %5.3f", queue.c_str(), sums.first / sums.second);
        }
        const auto& counts = state_.counts();
        std::printf(" | %5.3f | %lld starts, %lld asked, %lld yielded, %zu open\n", bound(),
                    (long long)counts.starts, (long long)counts.permission_requests,
                    (long long)counts.preempted_runs, state_.open_jobs());
        const auto total = decisions_.total().count();
        std::printf("%-15s | %.1f ms for each second of traffic, %.0f us for each start, longest "
                    "%.2f ms, %lld places for each start\n",
                    "  decisions", total / FLAGS_seconds,
                    total * 1'000 / static_cast<double>(counts.starts),
                    decisions_.maximum().count(),
                    (long long)(counts.examined / std::max<std::int64_t>(1, counts.starts)));
    }

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

    time_point clock() const { return time_point(now_ + std::chrono::hours(1)); }
    wall_time wall() const { return simulation_start + now_; }

    void at(milliseconds delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++last_event_, std::move(action)});
    }

    double lognormal(double mean, double spread)
    {
        const double sigma = std::sqrt(std::log(1 + spread * spread));
        return std::lognormal_distribution<double>(std::log(mean) - sigma * sigma / 2,
                                                   sigma)(random_);
    }

    int count(double mean, double spread, double max)
    {
        return static_cast<int>(std::clamp(std::round(lognormal(mean, spread)), 1.0, max));
    }

    void make_workers()
    {
        constexpr std::array speeds{0.8, 1.0, 1.25};
        std::vector<worker_entry> entries;
        for (std::size_t index = 0; index < deployment_.workers; ++index) {
            sim_worker added{.speed = speeds.at(index % speeds.size())};
            added.slow_later = static_cast<double>(index) <
                               scenario_.slow_share * static_cast<double>(deployment_.workers);
            workers_.push_back(added);
            entries.push_back({.id = "w" + std::to_string(index),
                               .incarnation = 1,
                               .service = "service",
                               .address = {"127.0.0.1", static_cast<unsigned short>(index + 1)},
                               .rack = "r" + std::to_string(index / 8),
                               .capacity = deployment_.worker});
        }
        state_.set_permission_call_slots(deployment_.call_slots);
        state_.on_worker_list(entries, clock());
        for (std::size_t index = 0; index < deployment_.workers; ++index) {
            state_.on_report(index, {.incarnation = 1}, clock(), wall());
            at(milliseconds(static_cast<int>(index) * 16),
               [this, index] { report_periodically(index); });
        }
    }

    void make_jobs()
    {
        for (const auto& queue : deployment_.queues) {
            double time = 0;
            while (true) {
                time += std::exponential_distribution<double>(rate_at(queue, time))(random_);
                if (time >= FLAGS_seconds) {
                    break;
                }
                jobs_.push_back(make_job(queue, milliseconds(static_cast<int>(time * 1'000))));
            }
        }
        std::ranges::sort(jobs_, {}, &real_job::arrival);
        std::map<std::string, std::pair<double, int>> work;
        for (auto& job : jobs_) {
            char id[17];
            std::snprintf(id, sizeof id, "%016zx",
                          static_cast<std::size_t>(&job - jobs_.data()) + 1);
            job.spec.id = id;
            auto& sum = work[job.spec.queue];
            sum.first += core_seconds(job);
            ++sum.second;
        }
        for (std::size_t index = 0; index < jobs_.size(); ++index) {
            auto& job = jobs_[index];
            const auto& [sum, number] = work[job.spec.queue];
            const double relative = core_seconds(job) / (sum / number);
            job.worth = job.queue->worth * std::min(max_worth, 0.3 + 0.7 * relative);
            at(job.arrival, [this, index] { submit(index); });
        }
    }

    double rate_at(const queue_load& queue, double time) const
    {
        const auto is_in = [time](const std::array<double, 2>& span) {
            return span[0] <= time && time < span[1];
        };
        const double usual = queue.per_second * scenario_.load;
        if (scenario_.bursts && queue.terms.name == "gate" && is_in(gate_burst_s)) {
            return usual * gate_burst;
        }
        return scenario_.bursts && queue.terms.name == "batch" && is_in(batch_burst_s)
                   ? usual * batch_burst
                   : usual;
    }

    static double core_seconds(const real_job& job)
    {
        double sum = 0;
        for (std::size_t step = 0; step < job.lengths.size(); ++step) {
            for (const auto length : job.lengths[step]) {
                sum += static_cast<double>(length.count()) * 1e-6 *
                       static_cast<double>(job.spec.steps[step].size.milli_cpus);
            }
        }
        return sum;
    }

    real_job make_job(const queue_load& queue, milliseconds arrival)
    {
        real_job job{.queue = &queue, .arrival = arrival, .permission_seed = random_()};
        job.spec.queue = queue.terms.name;
        const int steps = count(queue.steps, 0.4, queue.max_steps);
        const bool checkpoints = std::bernoulli_distribution(queue.checkpoints)(random_);
        milliseconds critical_path{0};
        for (int index = 0; index < steps; ++index) {
            step_spec step;
            step.tasks = count(queue.tasks, 0.8, queue.max_tasks);
            step.size.milli_cpus = std::min<std::int64_t>(
                queue.max_milli_cpus,
                static_cast<std::int64_t>(lognormal(static_cast<double>(queue.milli_cpus), 0.4)));
            step.size.memory_mb = std::min<std::int64_t>(
                2 * queue.memory_mb,
                static_cast<std::int64_t>(lognormal(static_cast<double>(queue.memory_mb), 0.5)));
            step.gang = std::bernoulli_distribution(queue.gangs)(random_);
            if (step.gang) {
                const int tasks_per_worker = tasks_that_fit(step.size, deployment_.worker);
                const double usable =
                    max_gang_share * queue.permitted * static_cast<double>(deployment_.workers);
                step.tasks = std::min(step.tasks, static_cast<int>(usable * tasks_per_worker));
            }
            const auto work =
                std::min<double>(static_cast<double>(queue.max_work.count()),
                                 lognormal(static_cast<double>(queue.work.count()), 0.5));
            step.estimate =
                milliseconds(static_cast<int>(work * lognormal(1, queue.estimate_error)) + 1);
            step.checkpoints = checkpoints;
            if (index > 0) {
                step.after = {index - 1};
            }
            std::vector<milliseconds> lengths;
            double max_length = 0;
            for (int task = 0; task < step.tasks; ++task) {
                const double length = work * lognormal(1, step.gang ? 0.01 : 0.2);
                max_length = std::max(max_length, length);
                lengths.emplace_back(static_cast<int>(length) + 1);
            }
            critical_path += milliseconds(static_cast<int>(max_length));
            job.lengths.push_back(std::move(lengths));
            job.spec.steps.push_back(std::move(step));
        }
        job.target = queue.terms.target +
                     milliseconds(static_cast<int>(static_cast<double>(critical_path.count()) *
                                                   queue.terms.stretch));
        return job;
    }

    void submit(std::size_t index)
    {
        const auto& job = jobs_[index];
        decisions_.measure([&] { state_.submit(0, job.spec, job.queue->terms, clock(), wall()); });
        process_actions();
    }

    /// Runs one tick as the owner does, and schedules the next one.
    void step()
    {
        process_actions();
        at(tick, [this] { step(); });
    }

    void process_actions()
    {
        decisions_.measure([&] { state_.tick(clock()); });
        for (auto actions = state_.take_actions(); !is_empty(actions);
             actions = state_.take_actions()) {
            execute_actions(std::move(actions));
        }
        store();
    }

    static bool is_empty(const workflow_actions& actions)
    {
        return actions.starts.empty() && actions.stops.empty() && actions.permissions.empty() &&
               actions.withdrawn_permissions.empty() && actions.decisions.empty() &&
               actions.answers.empty() && actions.forgets.empty() && actions.reports_needed.empty();
    }

    void execute_actions(workflow_actions actions)
    {
        for (const auto& order : actions.starts) {
            at(message_time, [this, order] { start(order); });
        }
        for (const auto& order : actions.stops) {
            at(message_time, [this, order] { stop(order); });
        }
        for (const auto& request : actions.permissions) {
            pending_calls_.add(request);
        }
        for (const auto number : actions.withdrawn_permissions) {
            pending_calls_.drop(number);
        }
        for (const auto& decision : actions.decisions) {
            if (decision.event == "completed") {
                jobs_[std::stoul(decision.job, nullptr, 16) - 1].completed = now_ + store_time;
            }
        }
        send_permission_calls();
    }

    void store()
    {
        if (store_in_flight_ || !state_.should_write(0, clock())) {
            return;
        }
        const auto batch = decisions_.measure(
            [&] { return state_.take_batch(0, deployment_.batch_entries, clock()); });
        if (batch.changes.empty()) {
            return;
        }
        store_in_flight_ = true;
        at(store_time, [this] {
            store_in_flight_ = false;
            decisions_.measure([&] { state_.on_stored(0); });
            process_actions();
        });
    }

    void send_permission_calls()
    {
        while (calls_in_flight_ < deployment_.call_slots) {
            auto request = pending_calls_.take(deployment_.call_slots, clock());
            if (!request) {
                break;
            }
            ++calls_in_flight_;
            at(request->service_time + message_time, [this, request = *request] {
                --calls_in_flight_;
                pending_calls_.finish(request);
                const auto grants = grants_of(request);
                decisions_.measure([&] { state_.on_permission(request.number, grants, clock()); });
                process_actions();
                send_permission_calls();
            });
        }
    }

    std::vector<ticket_grant> grants_of(const permission_request& request) const
    {
        const auto& job = jobs_[std::stoul(request.job, nullptr, 16) - 1];
        std::vector<ticket_grant> grants;
        for (const auto& worker : request.workers) {
            std::mt19937_64 random(job.permission_seed + std::stoul(worker.substr(1)) * 977 +
                                   static_cast<std::uint64_t>(request.step) * 7919);
            if (std::uniform_real_distribution<double>(0, 1)(random) < job.queue->permitted) {
                grants.push_back({worker, "ticket"});
            }
        }
        return grants;
    }

    void start(const start_order& order)
    {
        auto& job = jobs_[std::stoul(order.name.task.job, nullptr, 16) - 1];
        auto& worker = workers_[order.worker];
        const auto step = static_cast<std::size_t>(order.name.task.step);
        const auto length = job.lengths[step][static_cast<std::size_t>(order.name.task.index)];
        auto& run = worker.runs[order.name];
        run.length = remaining_work(length, order.checkpoint);
        if (!job.first_start) {
            job.first_start = now_;
        }
        decisions_.measure(
            [&] { state_.on_start(order.worker, order.name, start_outcome::started, clock()); });
        if (!job.spec.steps[step].gang) {
            begin(order.worker, order.name, run.length, order.worker);
            return;
        }
        auto& gang = gangs_[{order.name.task.job, order.name.task.step, order.name.run}];
        gang.push_back({order.worker, order.name});
        if (static_cast<int>(gang.size()) == job.spec.steps[step].tasks) {
            begin_gang(gang);
        }
    }

    /// Returns the remaining work after a checkpoint. The checkpoint contains the completed work.
    static milliseconds remaining_work(milliseconds length, const std::string& checkpoint)
    {
        constexpr milliseconds restore_time{100};
        if (checkpoint.empty()) {
            return length;
        }
        const milliseconds done(std::stol(checkpoint));
        return std::max(milliseconds(1), length - done) + restore_time;
    }

    void begin_gang(const std::vector<std::pair<std::size_t, run_name>>& gang)
    {
        milliseconds max_length{0};
        auto slowest = gang.front().first;
        for (const auto& [worker, name] : gang) {
            const auto found = workers_[worker].runs.find(name);
            if (found == workers_[worker].runs.end()) {
                return; // The run has been stopped.
            }
            max_length = std::max(max_length, found->second.length);
            if (time_for(worker, max_length) > time_for(slowest, max_length)) {
                slowest = worker;
            }
        }
        for (const auto& [worker, name] : gang) {
            begin(worker, name, max_length, slowest);
        }
    }

    void begin(std::size_t worker, const run_name& name, milliseconds length,
               std::size_t pace_worker)
    {
        auto& run = workers_[worker].runs[name];
        run.begins = now_;
        run.length = length;
        run.pace_worker = pace_worker;
        run.running = true;
        const bool fails = std::bernoulli_distribution(failure_rate / 4)(random_);
        at(time_for(pace_worker, length), [this, worker, name, fails] {
            end(worker, name, fails ? run_end::failed : run_end::done);
        });
    }

    double speed_at(std::size_t worker, milliseconds time) const
    {
        const auto& target = workers_[worker];
        const bool slow = target.slow_later && slow_time[0] <= time && time < slow_time[1];
        return slow ? target.speed / slowdown : target.speed;
    }

    /// Returns the work that a worker completes from `from` to `to`, in milliseconds of a worker of
    /// speed 1.
    double work_between(std::size_t worker, milliseconds from, milliseconds to) const
    {
        double work = 0;
        for (auto time = from; time < to;) {
            auto next = to;
            for (const auto change : slow_time) {
                next = change > time ? std::min(next, change) : next;
            }
            work += speed_at(worker, time) * static_cast<double>((next - time).count());
            time = next;
        }
        return work;
    }

    /// Returns the time that a worker needs, starting now, for work of this length.
    milliseconds time_for(std::size_t worker, milliseconds length) const
    {
        constexpr milliseconds precision{10};
        auto end = now_;
        auto left = static_cast<double>(length.count());
        while (left > 0) {
            left -= work_between(worker, end, end + precision);
            end += precision;
        }
        return end - now_;
    }

    void end(std::size_t worker, const run_name& name, run_end how)
    {
        auto& target = workers_[worker];
        const auto run = target.runs.find(name);
        if (run == target.runs.end()) {
            return;
        }
        const auto checkpoint = how == run_end::stopped ? checkpoint_of(name, run->second) : "";
        target.runs.erase(run);
        target.ended.push_back(
            {.number = ++target.last_end, .name = name, .how = how, .checkpoint = checkpoint});
        if (!target.report_due) {
            target.report_due = true;
            at(message_time * 2, [this, worker] { report(worker); });
        }
    }

    std::string checkpoint_of(const run_name& name, const sim_run& run) const
    {
        const auto& job = jobs_[std::stoul(name.task.job, nullptr, 16) - 1];
        const auto step = static_cast<std::size_t>(name.task.step);
        const auto whole = job.lengths[step][static_cast<std::size_t>(name.task.index)];
        const double done = run.running ? work_between(run.pace_worker, run.begins, now_) : 0;
        return std::to_string((whole - run.length).count() + static_cast<long>(done));
    }

    void stop(const stop_order& order)
    {
        state_.on_stop(order.worker, order.name, clock());
        end(order.worker, order.name, run_end::stopped);
    }

    void report(std::size_t worker)
    {
        auto& reporting = workers_[worker];
        reporting.report_due = false;
        worker_report state_report{
            .incarnation = 1, .ended = std::exchange(reporting.ended, {}), .asked = clock()};
        for (const auto& [name, run] : reporting.runs) {
            const double done = run.running ? work_between(run.pace_worker, run.begins, now_) : 0;
            const double percent = 100 * done / static_cast<double>(run.length.count() + 1);
            state_report.present.push_back(
                {.name = name, .percent = static_cast<int>(std::min(99.0, percent))});
        }
        decisions_.measure([&] { state_.on_report(worker, state_report, clock(), wall()); });
        process_actions();
    }

    void report_periodically(std::size_t worker)
    {
        report(worker);
        at(report_interval, [this, worker] { report_periodically(worker); });
    }

    static double credit_of(const real_job& job)
    {
        constexpr int late_multiple = 3;
        if (!job.completed) {
            return 0;
        }
        const auto took = *job.completed - job.arrival;
        if (took <= job.target) {
            return job.worth;
        }
        return took <= late_multiple * job.target ? late_worth_share * job.worth : 0;
    }

    /// Returns an upper bound of the earned share of the worth: the share that fits into the time
    /// of the workers if work is arbitrarily divisible and is done in order of worth per processor
    /// second.
    double bound() const
    {
        double free_core_seconds = 0;
        for (const auto& worker : workers_) {
            free_core_seconds += worker.speed * static_cast<double>(deployment_.worker.milli_cpus) /
                                 1'000 * (FLAGS_seconds + 8.0);
        }
        auto by_density = std::vector<const real_job*>();
        double total_worth = 0;
        for (const auto& job : jobs_) {
            by_density.push_back(&job);
            total_worth += job.worth;
        }
        std::ranges::sort(by_density, std::greater(),
                          [](const real_job* job) { return job->worth / core_seconds(*job); });
        double earned_worth = 0;
        for (const auto* job : by_density) {
            const double need = core_seconds(*job);
            const double share = std::clamp(free_core_seconds / need, 0.0, 1.0);
            earned_worth += share * job->worth;
            free_core_seconds -= share * need;
        }
        return earned_worth / total_worth;
    }

    const deployment& deployment_;
    scenario scenario_;
    std::mt19937_64 random_;
    workflow_state state_;
    decision_clock decisions_;
    std::vector<sim_worker> workers_;
    std::vector<real_job> jobs_;
    std::map<std::tuple<std::string, int, std::int64_t>,
             std::vector<std::pair<std::size_t, run_name>>>
        gangs_;
    permission_queue pending_calls_;
    std::size_t calls_in_flight_ = 0;
    bool store_in_flight_ = false;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    milliseconds now_{0};
};

struct named_order {
    std::string name;
    step_ranking order;
};

template <typename Key> step_ranking by(Key key)
{
    return [key](const ready_step& step, time_point /*time*/) {
        return work_rank{.key = static_cast<std::int64_t>(key(*step.job))};
    };
}

std::vector<named_order> all_orders()
{
    return {{"urgency", rank_by_urgency},
            {"arrival", by([](const job_record& job) { return job.sequence; })},
            {"priority",
             [](const ready_step& step, time_point /*time*/) {
                 return work_rank{.priority = step.job->terms.priority};
             }},
            {"shortest",
             by([](const job_record& job) { return remaining_critical_path(job).count(); })},
            {"random",
             by([](const job_record& job) { return std::mt19937(FLAGS_seed + job.sequence)(); })}};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("prints the share of the worth that each order of work earns");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("seed %llu, %d s of traffic\n", static_cast<unsigned long long>(FLAGS_seed),
                FLAGS_seconds);
    std::printf("place    day    | order     | worth | by queue | bound | messages\n");
    const std::vector<scenario> scenarios = {{.name = "calm"},
                                             {.name = "bursts", .bursts = true},
                                             {.name = "slow", .bursts = true, .slow_share = 0.17},
                                             {.name = "high", .load = 1.5},
                                             {.name = "double", .load = 2.0, .slow_share = 0.35}};
    std::vector<deployment> deployments = {leisure(), gallery()};
    if (!FLAGS_deployment.empty()) {
        deployments.push_back(leisure_grown());
        deployments.push_back(gallery_grown());
        std::erase_if(deployments,
                      [](const auto& candidate) { return candidate.name != FLAGS_deployment; });
    }
    for (auto simulated : deployments) {
        if (FLAGS_workers > 0) {
            simulated = with_workers(std::move(simulated), FLAGS_workers);
        }
        for (const auto& conditions : scenarios) {
            if (!FLAGS_day.empty() && FLAGS_day != conditions.name) {
                continue;
            }
            for (const auto& [name, order] : all_orders()) {
                if (FLAGS_order.empty() || FLAGS_order == name) {
                    simulation simulated_load(simulated, conditions, FLAGS_seed, order);
                    simulated_load.run();
                    simulated_load.print(name);
                }
            }
        }
    }
    return 0;
}
