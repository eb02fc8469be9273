#include "flamingoseam/workflow/stored_job.hpp"
#include "flamingoseam/workflow/worker_assignment.hpp"
#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t shards = 2;
constexpr int workers = 8;
constexpr int jobs = 30;
constexpr milliseconds pass{50};
constexpr milliseconds load_time{8'000};
constexpr milliseconds fault_time{12'000};
/// By then all orders, reports and takeovers of the faults have had their effect.
constexpr milliseconds settled_time{32'000};
constexpr milliseconds end_time{60'000};

/// The reasons that only the owner's own records give for a wait.
const std::set<std::string> beliefs{
    "it is not queued", "the job is not stored", "runs of the gang are being stopped",
    "runs of an earlier owner are not located", "its starts are not confirmed"};

/// A worker that runs what it is told to, whichever owner it belongs to.
struct simulated_worker {
    worker_entry entry;
    std::size_t shard = 0;
    std::map<run_name, time_point> ends_at; ///< Its runs, and when each is done.
    std::set<run_name> stopped;             ///< Runs that it must not start any more.
    std::vector<ended_run> ended;
    std::int64_t last_end = 0;
    time_point silent_until{};

    void end(const run_name& name, run_end how)
    {
        ends_at.erase(name);
        ended.push_back({.number = ++last_end, .name = name, .how = how});
    }

    void restart()
    {
        ++entry.incarnation;
        ends_at.clear();
        stopped.clear();
        ended.clear();
        last_end = 0;
    }

    /// Lets it neither answer nor run anything for a time: its lease expires.
    void be_silent(time_point until)
    {
        silent_until = until;
        for (const auto& [name, time] : std::map(ends_at)) {
            end(name, run_end::lapsed);
        }
    }
};

/// Two shards that lend each other workers, whose owners are replaced and whose workers restart,
/// with room for all work.
class divided_cell {
public:
    explicit divided_cell(std::uint64_t seed) : random_(seed)
    {
        for (int number = 0; number < workers; ++number) {
            auto entry = driven_state().worker();
            entry.id = "w" + std::to_string(number);
            workers_.push_back({.entry = entry, .shard = number % shards});
        }
        for (std::size_t shard = 0; shard < shards; ++shard) {
            replace_owner(shard);
        }
    }

    /// Lets time pass until the end. Returns what is wrong, nothing if all jobs have completed and
    /// no owner believed for long that a step can't run.
    std::string run()
    {
        int submitted = 0;
        for (; elapsed() < end_time; time_ += pass) {
            if (elapsed() < load_time && submitted < jobs && chance(0.3)) {
                submit(submitted++);
            }
            if (elapsed() < fault_time) {
                cause_faults();
            }
            end_runs();
            for (std::size_t shard = 0; shard < shards; ++shard) {
                let_act(shard);
            }
            if (elapsed() > settled_time && !believed_reason().empty()) {
                return believed_reason();
            }
        }
        for (const auto& [id, shard] : accepted_) {
            const auto phase = owners_[shard]->find(id);
            if (!phase || !is_final(*phase)) {
                return id + " has not ended";
            }
        }
        return {};
    }

    /// Returns how many times a worker was given to the other shard.
    [[nodiscard]] int lent_workers() const { return lent_; }

private:
    [[nodiscard]] milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(time_ - driven_state().time);
    }

    bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

    std::size_t choose(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    static record_keys keys_of(std::size_t shard)
    {
        return {.prefix = "fs/" + std::to_string(shard) + "/"};
    }

    [[nodiscard]] std::map<std::string, std::string> records_below(const std::string& prefix) const
    {
        std::map<std::string, std::string> found;
        for (const auto& [key, value] : records_) {
            if (key.starts_with(prefix)) {
                found.emplace(key.substr(prefix.size()), value);
            }
        }
        return found;
    }

    void replace_owner(std::size_t shard)
    {
        const auto keys = keys_of(shard);
        auto& owner = owners_[shard];
        owner = std::make_unique<workflow_state>(
            workflow_options{.epoch = ++epochs_[shard], .keys = keys, .streams = 2});
        owner->set_lending_limits({.shard = shard, .shards = shards, .cell_workers = workers});
        std::vector<worker_entry> leased;
        if (const auto found = records_.find(keys.leased_workers()); found != records_.end()) {
            leased = read_leased_workers(found->second);
        }
        const bool awaits = chance(0.5);
        if (awaits) {
            owner->await_earlier_owner();
        }
        owner->load(read_jobs(records_below(keys.specification_prefix()),
                              records_below(keys.progress_prefix()))
                        .jobs,
                    leased, time_, wall_time(elapsed()) + wall);
        owner->on_earlier_renewals_ended();
        earlier_ends_[shard] = time_ + milliseconds(awaits ? 1'500 : 0);
    }

    void submit(int number)
    {
        auto job = driven_state().job("job" + std::to_string(number), 1'000, 1 + number % 4);
        for (int step = 1; step < 3; ++step) {
            job.steps.push_back(job.steps[0]);
            job.steps.back().after = {step - 1};
            job.steps.back().gang = chance(0.5);
        }
        const std::size_t shard = chance(0.8) ? 0 : 1; // So that workers are lent.
        auto terms = driven_state().terms();
        terms.target = end_time;
        constexpr int attempts = 20;
        terms.max_attempts = attempts;
        owners_[shard]->submit(1, job, terms, time_, wall_time(elapsed()) + wall);
        write(shard);
        accepted_[job.id] = shard;
        specifications_[job.id] = job;
    }

    void cause_faults()
    {
        if (chance(0.01)) {
            workers_[choose(workers_.size())].restart();
        }
        if (chance(0.01)) {
            replace_owner(choose(shards));
        }
        if (chance(0.01)) {
            const bool ends = chance(0.2);
            const milliseconds silence = ends ? end_time : milliseconds(3'000);
            workers_[choose(workers_.size())].be_silent(time_ + silence);
        }
    }

    void end_runs()
    {
        for (auto& worker : workers_) {
            for (const auto& [name, end] : std::map(worker.ends_at)) {
                if (end <= time_ && !waits_for_gang(name)) {
                    worker.end(name, run_end::done);
                    done_.insert(name);
                }
            }
        }
    }

    /// Checks whether a run belongs to a gang of which some member does not run.
    [[nodiscard]] bool waits_for_gang(const run_name& name) const
    {
        const auto& step =
            specifications_.at(name.task.job).steps[static_cast<std::size_t>(name.task.step)];
        for (int index = 0; step.gang && index < step.tasks; ++index) {
            const run_name member{{name.task.job, name.task.step, index}, name.run};
            const bool runs = std::ranges::any_of(workers_, [&](const simulated_worker& worker) {
                return worker.ends_at.contains(member);
            });
            if (!runs && !done_.contains(member)) {
                return true;
            }
        }
        return false;
    }

    void write(std::size_t shard)
    {
        auto& owner = *owners_[shard];
        while (owner.should_write(0, time_)) {
            for (const auto& change : owner.take_batch(0, 30, time_).changes) {
                store(change);
            }
            owner.on_stored(0);
        }
    }

    void store(const record_change& change)
    {
        const auto prefix = keys_of(0).assignment_prefix();
        if (change.key.starts_with(prefix)) {
            const auto assigned = read_assignment(*change.value);
            const auto found =
                std::ranges::find(workers_, change.key.substr(prefix.size()),
                                  [](const simulated_worker& worker) { return worker.entry.id; });
            found->shard = assigned.shard;
            found->entry.token_base = assigned.token_base;
            ++lent_;
        } else if (change.value) {
            records_[change.key] = *change.value;
        } else {
            records_.erase(change.key);
        }
    }

    void let_act(std::size_t shard)
    {
        auto& owner = *owners_[shard];
        if (time_ >= earlier_ends_[shard]) {
            owner.on_earlier_owner_ended(time_);
        }
        std::vector<worker_entry> listed;
        for (const auto& worker : workers_) {
            if (worker.shard == shard) {
                listed.push_back(worker.entry);
            }
        }
        owner.on_worker_list(listed, time_);
        for (auto& worker : workers_) {
            if (worker.shard == shard && !show_silence(owner, worker) && chance(0.5)) {
                report(owner, worker);
            }
        }
        if (const auto request = owner.find_worker_request(time_)) {
            owners_[1 - shard]->lend_workers(*request, time_);
        }
        owner.tick(time_);
        carry_out(owner, owner.take_actions());
        write(shard);
    }

    /// Shows an owner whether a worker answers, and that the lease of one that doesn't has expired.
    /// Returns whether it is silent.
    bool show_silence(workflow_state& owner, const simulated_worker& worker)
    {
        constexpr milliseconds lease{1'000};
        const auto index = *owner.find_worker(worker.entry.id);
        const auto& known = owner.workers().at(index);
        const bool is_silent = time_ < worker.silent_until;
        if (known.unreachable != is_silent) {
            owner.on_unreachable_changed(index, is_silent, is_silent ? time_ : known.silent_since,
                                         time_);
        }
        if (is_silent && !known.is_emptied && time_ - known.silent_since >= lease) {
            owner.on_emptied(index, emptied_reason::lease_expired, time_,
                             wall_time(elapsed()) + wall);
        }
        return is_silent;
    }

    void report(workflow_state& owner, const simulated_worker& worker)
    {
        worker_report report{
            .incarnation = worker.entry.incarnation, .ended = worker.ended, .asked = time_};
        for (const auto& [name, end] : worker.ends_at) {
            report.present.push_back({.name = name, .percent = 99});
        }
        owner.on_report(*owner.find_worker(worker.entry.id), report, time_,
                        wall_time(elapsed()) + wall);
    }

    simulated_worker& worker_of(const workflow_state& owner, std::size_t index)
    {
        const auto& id = owner.workers().at(index).entry.id;
        return *std::ranges::find_if(
            workers_, [&](const simulated_worker& worker) { return worker.entry.id == id; });
    }

    void carry_out(workflow_state& owner, const workflow_actions& actions)
    {
        constexpr milliseconds run_time{600};
        const bool has_faults = elapsed() < fault_time;
        for (const auto& order : actions.starts) {
            auto& worker = worker_of(owner, order.worker);
            const bool answers = time_ >= worker.silent_until;
            const bool arrives = answers && (!has_faults || chance(0.95));
            const bool is_answered = arrives && (!has_faults || chance(0.95));
            if (arrives && !worker.stopped.contains(order.name)) {
                worker.ends_at.emplace(order.name, time_ + run_time);
            }
            if (has_faults && chance(0.02)) {
                continue; // The result of the order is lost.
            }
            owner.on_start(order.worker, order.name,
                           is_answered ? start_outcome::started : start_outcome::unknown, time_);
        }
        for (const auto& order : actions.stops) {
            auto& worker = worker_of(owner, order.worker);
            if (time_ < worker.silent_until || (has_faults && chance(0.2))) {
                continue;
            }
            worker.stopped.insert(order.name);
            if (worker.ends_at.contains(order.name)) {
                worker.end(order.name, run_end::stopped);
            }
            owner.on_stop(order.worker, order.name, time_);
        }
        for (const auto& order : actions.forgets) {
            auto& worker = worker_of(owner, order.worker);
            if (worker.entry.incarnation == order.incarnation) {
                std::erase_if(worker.ended,
                              [&](const ended_run& end) { return end.number <= order.up_to; });
            }
        }
    }

    /// Returns a reason for which an owner lets a step wait although it could run.
    [[nodiscard]] std::string believed_reason() const
    {
        for (const auto& owner : owners_) {
            for (const auto& [reason, summary] : owner->long_waits()) {
                if (beliefs.contains(reason)) {
                    return reason;
                }
            }
        }
        return {};
    }

    int lent_ = 0;
    std::mt19937_64 random_;
    time_point time_ = driven_state().time;
    std::vector<simulated_worker> workers_;
    std::map<std::string, std::string> records_;
    std::map<std::string, std::size_t> accepted_;
    std::map<std::string, job_spec> specifications_;
    std::set<run_name> done_;
    std::array<std::unique_ptr<workflow_state>, shards> owners_;
    std::array<std::uint64_t, shards> epochs_{};
    std::array<time_point, shards> earlier_ends_{};
};

} // namespace

// Guards against a step that no pass examines any more, as its owner believes something of it that
// nothing corrects.
TEST_CASE("no step waits for ever because of what its owner believes after takeovers and lending")
{
    int lent = 0;
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        divided_cell cell(seed);
        CHECK(cell.run() == "");
        lent += cell.lent_workers();
    }
    CHECK(lent > 0);
}
