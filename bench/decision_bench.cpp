/// Measures the scheduling decisions of one shard without processes or sockets: decision time,
/// waiting time, packing and memory, compared with baseline policies in the same run. The same seed
/// gives the same workload.
#include "flamingoseam/shard/shard_state.hpp"

#include <gflags/gflags.h>
#include <malloc.h>
#include <sodium.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>

DEFINE_uint64(seed, 1, "seed of sizes, arrivals and run times");

namespace {

using namespace flamingoseam;

constexpr int zones = 3;
constexpr int workers_per_rack = 8;
const resources large_worker{.milli_cpus = 64'000, .memory_mb = 128'000, .slots = 8};
const resources small_worker{.milli_cpus = 16'000, .memory_mb = 32'000, .slots = 8};

resources scaled(const resources& whole, double share)
{
    const auto of = [share](std::int64_t value) {
        return static_cast<std::int64_t>(static_cast<double>(value) * share);
    };
    return {of(whole.milli_cpus), of(whole.memory_mb), of(whole.accelerators), of(whole.slots)};
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values.at(index);
}

/// One arriving request with its actual run time.
struct arrival {
    time_point at;
    work_request request;
    milliseconds run_time{0};
};

/// Results of the arrivals.
struct measurements {
    std::map<std::string, std::vector<double>> waits_ms; ///< Waiting times by customer and class.
    std::map<std::string, int> refused;
    std::map<std::string, int> arrived;
    std::vector<double> decision_us;
};

std::string group_of(const work_request& request)
{
    return request.customer + " " + std::string(to_string(request.cls));
}

/// Runs the state of a shard in virtual time, with workers that execute each command immediately.
class contract_simulation {
public:
    contract_simulation(int workers, const resources& shape, const std::vector<contract>& contracts)
    {
        for (const auto& terms : contracts) {
            contracts_.apply({.value = terms, .revision = 1});
        }
        journal_record journal;
        journal.shares = share_ledger(whole_share);
        state_ = std::make_unique<shard_state>(shard_options{.shard = "shard"}, contracts_, journal,
                                               time_);
        std::vector<vm_entry> vms;
        for (int i = 0; i < workers; ++i) {
            vms.push_back({.address = "w" + std::to_string(i),
                           .zone = "zone" + std::to_string(i % zones),
                           .rack = "rack" + std::to_string(i / workers_per_rack)});
        }
        state_->on_vm_list(vms, time_);
        for (const auto& vm : vms) {
            state_->on_report(vm.address, {.accepted = true, .incarnation = "1", .capacity = shape},
                              time_);
        }
        state_->on_contracts_changed(time_);
    }

    measurements run(const std::vector<arrival>& arrivals, time_point end)
    {
        std::size_t next = 0;
        while (time_ < end) {
            auto upcoming = std::min(time_ + milliseconds(50), end);
            if (!events_.empty()) {
                upcoming = std::min(upcoming, events_.top().at);
            }
            if (next < arrivals.size()) {
                upcoming = std::min(upcoming, arrivals[next].at);
            }
            time_ = std::max(time_, upcoming);
            if (next < arrivals.size() && arrivals[next].at <= time_) {
                submit(arrivals[next++]);
            } else if (!events_.empty() && events_.top().at <= time_) {
                const auto event = events_.top();
                events_.pop();
                measure_starts([&] { state_->on_event(event.worker, event.event, time_); });
            } else {
                measure_starts([&] { state_->tick(time_); });
            }
            take_actions();
        }
        return std::move(measurements_);
    }

    shard_state& state() { return *state_; }

    /// Actual use of each task, if it differs from the reserved resources.
    std::optional<resources> actual_usage;

private:
    struct due_event {
        time_point at;
        std::string worker;
        task_event event;
        bool operator<(const due_event& other) const { return at > other.at; }
    };

    template <typename Step> void measure_starts(Step&& step)
    {
        const auto starts = state_->counts().starts;
        const auto started_at = now();
        step();
        const auto elapsed_us =
            std::chrono::duration<double, std::micro>(now() - started_at).count();
        const auto new_starts = state_->counts().starts - starts;
        for (std::int64_t i = 0; i < new_starts; ++i) {
            measurements_.decision_us.push_back(elapsed_us / static_cast<double>(new_starts));
        }
    }

    void submit(const arrival& arrived)
    {
        ++measurements_.arrived[group_of(arrived.request)];
        submitted_[arrived.request.customer + "/" + arrived.request.request_id] = {arrived, 0};
        measure_starts([&] { state_->submit(++token_, arrived.request, time_, wall_time(0)); });
    }

    void take_actions()
    {
        auto actions = state_->take_actions();
        if (actions.journal) {
            const auto sequence = state_->make_journal(wall_time(1)).sequence;
            measure_starts([&] { state_->on_journal_written(sequence, time_); });
            take_actions();
        }
        for (const auto& start : actions.starts) {
            auto& submitted = submitted_.at(start.task.customer + "/" + start.task.request_id);
            if (submitted.second++ < submitted.first.request.tasks) {
                measurements_.waits_ms[group_of(submitted.first.request)].push_back(
                    std::chrono::duration<double, std::milli>(time_ - submitted.first.at).count());
            }
            events_.push({.at = time_ + submitted.first.run_time,
                          .worker = start.worker,
                          .event = {.task_id = start.task.task_id,
                                    .state = task_state::finished,
                                    .usage = actual_usage.value_or(submitted.first.request.size),
                                    .run_time = submitted.first.run_time}});
        }
        for (const auto& control : actions.controls) {
            events_.push({.at = time_ + milliseconds(50),
                          .worker = control.worker,
                          .event = {.task_id = control.stop.task_id,
                                    .state = task_state::checkpointed,
                                    .usage = {},
                                    .run_time = milliseconds(1)}});
        }
        for (const auto& answer : actions.answers) {
            if (answer.result.kind == verdict::not_run) {
                ++measurements_.refused[answer.result.reason];
            }
        }
    }

    contract_table contracts_;
    std::unique_ptr<shard_state> state_;
    time_point time_{std::chrono::hours(1)};
    std::uint64_t token_ = 0;
    std::map<std::string, std::pair<arrival, int>> submitted_;
    std::priority_queue<due_event> events_;
    measurements measurements_;
};

/// Baseline: a single first-come, first-served queue without contracts.
class fifo_simulation {
public:
    fifo_simulation(int workers, const resources& shape, std::unique_ptr<placement_policy> policy)
        : policy_(std::move(policy))
    {
        for (int i = 0; i < workers; ++i) {
            const auto index = pool_.add("w" + std::to_string(i), "zone", "rack");
            pool_.set_capacity(index, "1", shape);
            pool_.set_status(index, worker_status::active);
        }
    }

    measurements run(const std::vector<arrival>& arrivals, time_point end)
    {
        std::size_t next = 0;
        while (next < arrivals.size() || !completions_.empty()) {
            const bool arrives =
                next < arrivals.size() &&
                (completions_.empty() || arrivals[next].at <= completions_.top().first);
            time_ = arrives ? arrivals[next].at : completions_.top().first;
            if (time_ >= end) {
                break;
            }
            if (arrives) {
                ++measurements_.arrived[group_of(arrivals[next].request)];
                for (int i = 0; i < arrivals[next].request.tasks; ++i) {
                    queue_.push_back(&arrivals[next]);
                }
                ++next;
            } else {
                const auto [worker, ended] = completions_.top().second;
                completions_.pop();
                pool_.release(worker, ended->request.size);
            }
            place();
        }
        return std::move(measurements_);
    }

private:
    using completion = std::pair<time_point, std::pair<std::size_t, const arrival*>>;

    void place()
    {
        while (!queue_.empty()) {
            const auto* next = queue_.front();
            const auto worker = policy_->choose(
                pool_, {.size = next->request.size, .zones = {}, .spread = nullptr, .skip = {}});
            if (!worker) {
                return;
            }
            pool_.reserve(*worker, next->request.size);
            completions_.push({time_ + next->run_time, {*worker, next}});
            measurements_.waits_ms[group_of(next->request)].push_back(
                std::chrono::duration<double, std::milli>(time_ - next->at).count());
            queue_.pop_front();
        }
    }

    worker_pool pool_;
    std::unique_ptr<placement_policy> policy_;
    time_point time_{};
    std::deque<const arrival*> queue_;
    std::priority_queue<completion, std::vector<completion>, std::greater<>> completions_;
    measurements measurements_;
};

contract make_contract(const std::string& customer, const resources& cell, double guaranteed,
                       double ceiling)
{
    contract terms;
    terms.customer = customer;
    terms.version = 1;
    terms.guaranteed = scaled(cell, guaranteed);
    terms.ceiling = scaled(cell, ceiling);
    terms.longest_wait = {milliseconds(1000), std::chrono::minutes(1), std::chrono::minutes(10),
                          std::chrono::hours(8)};
    terms.yield_order = {work_class::batch, work_class::gang};
    terms.yield_grace = milliseconds(500);
    terms.queue_limit = 100'000;
    return terms;
}

work_request make_request(const std::string& customer, work_class cls, const resources& size,
                          int tasks, int number)
{
    work_request request;
    request.customer = customer;
    request.request_id = "e-" + std::to_string(number);
    request.cls = cls;
    request.kind = std::string(to_string(cls));
    request.size = size;
    request.tasks = tasks;
    request.idempotent = true;
    return request;
}

/// Adds calls with Poisson arrivals and exponentially distributed run times.
void add_calls(std::vector<arrival>& arrivals, std::mt19937_64& random, const std::string& customer,
               const resources& size, double per_second, milliseconds mean_run, milliseconds from,
               milliseconds until)
{
    std::exponential_distribution<double> gap(per_second);
    std::exponential_distribution<double> run(1.0 / static_cast<double>(mean_run.count()));
    double at = static_cast<double>(from.count()) / 1000.0;
    while (at * 1000 < static_cast<double>(until.count())) {
        at += gap(random);
        const auto number = static_cast<int>(arrivals.size());
        arrivals.push_back(
            {.at = time_point(std::chrono::hours(1)) + milliseconds(static_cast<int>(at * 1000)),
             .request = make_request(customer, work_class::call, size, 1, number),
             .run_time = milliseconds(1 + static_cast<int>(run(random)))});
    }
}

void sort_by_time(std::vector<arrival>& arrivals)
{
    std::ranges::stable_sort(arrivals, {}, &arrival::at);
}

void print_decision_time()
{
    std::puts("\n1. Time of a decision, one control thread (calls at 70 % of the slots)");
    std::puts("workers | customers | starts | p50 us | p99 us | decisions/s");
    const std::vector<std::pair<int, int>> shapes = {{48, 4},   {100, 4},  {400, 4},   {1000, 4},
                                                     {2000, 4}, {100, 66}, {100, 220}, {100, 660}};
    for (const auto& [workers, customers] : shapes) {
        std::mt19937_64 random(FLAGS_seed);
        const auto cell = large_worker * workers;
        std::vector<contract> contracts;
        std::vector<arrival> arrivals;
        const double per_second = 0.7 * 8 * workers / 0.2 / customers;
        for (int i = 0; i < customers; ++i) {
            contracts.push_back(make_contract("c" + std::to_string(i), cell, 0.8 / customers, 0.6));
            add_calls(arrivals, random, contracts.back().customer,
                      {.milli_cpus = 2000, .memory_mb = 2000, .slots = 1}, per_second,
                      milliseconds(200), milliseconds(0),
                      milliseconds(std::max(500, 400'000 / workers)));
        }
        sort_by_time(arrivals);
        contract_simulation simulation(workers, large_worker, contracts);
        const auto end = arrivals.back().at;
        const auto started_at = now();
        const auto result = simulation.run(arrivals, end);
        const auto elapsed_s = std::chrono::duration<double>(now() - started_at).count();
        std::printf("%7d | %9d | %6zu | %6.1f | %6.1f | %11.0f\n", workers, customers,
                    result.decision_us.size(), percentile(result.decision_us, 0.5),
                    percentile(result.decision_us, 0.99),
                    static_cast<double>(result.decision_us.size()) / elapsed_s);
    }
}

void print_flood()
{
    std::puts(
        "\n2. Waiting time of the gate's calls (48 workers of 64 processors, 384 slots), with a "
        "batch of both customers and with the other customer's flood of calls");
    std::puts("decision               | flood | gate calls | refused | p50 ms | p99 ms | started "
              "within 2.5 s");
    const auto cell = large_worker * 48;
    const resources size{.milli_cpus = 2000, .memory_mb = 2000, .slots = 1};
    for (const bool flood : {false, true}) {
        std::mt19937_64 random(FLAGS_seed);
        std::vector<arrival> arrivals;
        add_calls(arrivals, random, "gate", size, 600, milliseconds(200), milliseconds(0),
                  milliseconds(30'000));
        for (const auto* customer : {"gate", "studio"}) {
            const auto number = static_cast<int>(arrivals.size());
            arrivals.push_back(
                {.at = time_point(std::chrono::hours(1)),
                 .request = make_request(customer, work_class::batch, size, 400, number),
                 .run_time = milliseconds(4000)});
        }
        if (flood) {
            add_calls(arrivals, random, "studio", size, 4000, milliseconds(200), milliseconds(5000),
                      milliseconds(25'000));
        }
        sort_by_time(arrivals);
        const auto end = time_point(std::chrono::hours(1)) + std::chrono::seconds(32);
        const auto print = [&](const char* name, const measurements& result) {
            const auto& waits = result.waits_ms.at("gate call");
            const auto arrived = result.arrived.at("gate call");
            const auto in_time = std::ranges::count_if(waits, [](double w) { return w <= 2500; });
            std::printf("%-22s | %5s | %10d | %7d | %6.0f | %6.0f | %5.1f %%\n", name,
                        flood ? "yes" : "no", arrived, arrived - static_cast<int>(waits.size()),
                        percentile(waits, 0.5), percentile(waits, 0.99),
                        100.0 * static_cast<double>(in_time) / arrived);
        };
        contract_simulation simulation(
            48, large_worker,
            {make_contract("gate", cell, 0.5, 1), make_contract("studio", cell, 0.4, 1)});
        print("contracts", simulation.run(arrivals, end));
        fifo_simulation first(48, large_worker, make_first_fit_policy());
        print("first come, first fit", first.run(arrivals, end));
        fifo_simulation random_fit(48, large_worker, make_random_policy(FLAGS_seed));
        print("first come, random", random_fit.run(arrivals, end));
    }
}

void print_packing()
{
    std::puts("\n3. Packing: share of processors and memory in use when the first task is refused, "
              "against the share that fractional packing reaches");
    std::puts("workers               | policy       | processors | memory | fractional bound");
    struct deployment {
        const char* name;
        resources shape;
        std::vector<resources> sizes;
    };
    const std::vector<deployment> deployments = {
        {"48 of 64 cpu, 128 GB",
         large_worker,
         {{4000, 8000, 0, 1},
          {8000, 24'000, 0, 1},
          {16'000, 20'000, 0, 1},
          {12'000, 40'000, 0, 1}}},
        {"48 of 16 cpu, 32 GB",
         small_worker,
         {{1000, 1000, 0, 1}, {4000, 6000, 0, 1}, {6000, 10'000, 0, 1}, {2000, 8000, 0, 1}}}};
    for (const auto& tested : deployments) {
        for (const auto* name : {"best fit", "first fit", "random", "least loaded"}) {
            double cpus = 0;
            double memory = 0;
            double bound = 0;
            constexpr int repeats = 20;
            for (int repeat = 0; repeat < repeats; ++repeat) {
                std::mt19937_64 random(FLAGS_seed * 1000 + static_cast<std::uint64_t>(repeat));
                const std::string policy_name(name);
                auto policy = policy_name == "best fit"    ? make_best_fit_policy()
                              : policy_name == "first fit" ? make_first_fit_policy()
                              : policy_name == "random"    ? make_random_policy(FLAGS_seed)
                                                           : make_least_loaded_policy();
                worker_pool pool;
                for (int i = 0; i < 48; ++i) {
                    const auto index = pool.add("w" + std::to_string(i), "zone", "rack");
                    pool.set_capacity(index, "1", tested.shape);
                    pool.set_status(index, worker_status::active);
                }
                resources used;
                resources asked;
                bool refused = false;
                const auto whole = tested.shape * 48;
                while (fits(asked, whole)) {
                    const auto size = tested.sizes.at(random() % tested.sizes.size());
                    asked += size;
                    const auto worker = policy->choose(
                        pool, {.size = size, .zones = {}, .spread = nullptr, .skip = {}});
                    refused = refused || !worker;
                    if (worker && !refused) {
                        pool.reserve(*worker, size);
                        used += size;
                    }
                }
                cpus +=
                    static_cast<double>(used.milli_cpus) / static_cast<double>(whole.milli_cpus);
                memory +=
                    static_cast<double>(used.memory_mb) / static_cast<double>(whole.memory_mb);
                bound += std::min(1.0, static_cast<double>(asked.milli_cpus) /
                                           static_cast<double>(whole.milli_cpus));
            }
            std::printf("%-21s | %-12s | %8.1f %% | %4.1f %% | %.1f %% processors\n", tested.name,
                        name, 100 * cpus / repeats, 100 * memory / repeats, 100 * bound / repeats);
        }
    }
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

void print_memory()
{
    std::puts("\n4. Memory of one shard's state");
    const auto before = heap_bytes();
    std::vector<contract> contracts;
    for (int i = 0; i < 660; ++i) {
        contracts.push_back(
            make_contract("team" + std::to_string(i), large_worker * 2000, 0.001, 0.1));
    }
    const auto with_terms = heap_bytes();
    contract_simulation simulation(2000, large_worker, contracts);
    const auto with_workers = heap_bytes();
    auto request = make_request("team0", work_class::batch, {1000, 1000, 0, 1}, 1, 0);
    for (int i = 0; i < 1600; ++i) {
        request.request_id = "e-" + std::to_string(i);
        request.cls = work_class::call;
        request.customer = "team" + std::to_string(i % 660);
        simulation.state().submit(static_cast<std::uint64_t>(i), request, now(), wall_time(0));
    }
    simulation.state().take_actions();
    const auto with_tasks = heap_bytes();
    std::printf("bytes per team %.0f, per worker %.0f, per running task %.0f (%lld started)\n",
                static_cast<double>(with_terms - before) / 660,
                static_cast<double>(with_workers - with_terms) / 2000,
                static_cast<double>(with_tasks - with_workers) / 1600,
                static_cast<long long>(simulation.state().counts().starts));
}

void print_wrong_sizes()
{
    std::puts(
        "\n5. Declared sizes ten times too large and too small (48 workers of 16 processors)");
    std::puts(
        "declared | really used | starts in 60 s | reserved at the end per task (milli-cpus)");
    for (const double factor : {1.0, 10.0, 0.1}) {
        std::mt19937_64 random(FLAGS_seed);
        const auto cell = small_worker * 48;
        const auto declared = static_cast<std::int64_t>(800 * factor);
        std::vector<arrival> arrivals;
        add_calls(arrivals, random, "studio", {declared, 500, 0, 1}, 600, milliseconds(400),
                  milliseconds(0), milliseconds(60'000));
        contract_simulation simulation(48, small_worker, {make_contract("studio", cell, 0.9, 1)});
        simulation.actual_usage = resources{800, 500, 0, 1};
        const auto result =
            simulation.run(arrivals, time_point(std::chrono::hours(1)) + std::chrono::seconds(60));
        const auto used = simulation.state().usage_of("studio").total;
        std::printf("%8lld | %11d | %14zu | %lld\n", static_cast<long long>(declared), 800,
                    result.decision_us.size(),
                    static_cast<long long>(used.slots > 0 ? used.milli_cpus / used.slots : 0));
    }
}

void print_cancellations()
{
    std::puts("\n6. A wave of 10,000 cancellations");
    const auto cell = large_worker * 48;
    contract_simulation simulation(48, large_worker, {make_contract("studio", cell, 0.9, 1)});
    auto request = make_request("studio", work_class::call, {1000, 1000, 0, 1}, 1, 0);
    request.wait_limit = std::chrono::minutes(10);
    const time_point time(std::chrono::hours(1));
    for (int i = 0; i < 10'000; ++i) {
        request.request_id = "e-" + std::to_string(i);
        simulation.state().submit(static_cast<std::uint64_t>(i), request, time, wall_time(0));
    }
    std::vector<double> durations_us;
    for (int i = 0; i < 10'000; ++i) {
        const auto started_at = now();
        simulation.state().cancel(20'000, "studio", "e-" + std::to_string(i), time);
        durations_us.push_back(
            std::chrono::duration<double, std::micro>(now() - started_at).count());
    }
    std::printf("per cancellation p50 %.2f us, p99 %.2f us\n", percentile(durations_us, 0.5),
                percentile(durations_us, 0.99));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the decisions of one shard");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0) {
        return 1;
    }
    std::printf("seed %llu\n", static_cast<unsigned long long>(FLAGS_seed));
    print_decision_time();
    print_flood();
    print_packing();
    print_memory();
    print_wrong_sizes();
    print_cancellations();
    return 0;
}
