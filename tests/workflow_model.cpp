#include "tests/workflow_model.hpp"

#include <algorithm>
#include <iostream>

namespace flamingoseam::model {

using namespace flamingoseam::workflow;

namespace {

constexpr milliseconds lease{6'000};
constexpr milliseconds order_timeout{600};
constexpr milliseconds finish_limit{90'000};
constexpr wall_time day_begins{1'000'000'000};
constexpr int attempts = 3;
constexpr std::size_t streams = 3;
constexpr milliseconds time_to_learn_of_life{400};

queue_terms terms_of(int priority)
{
    return {.name = "queue-" + std::to_string(priority),
            .service = "service",
            .priority = priority,
            .max_attempts = attempts,
            .stretch = 2.0,
            .target = milliseconds(1'000),
            .permission = {}};
}

} // namespace

struct workflow_model::run_record {
    resources size;
    milliseconds began{0};
    milliseconds length{0};
};

struct workflow_model::worker {
    worker_entry entry;
    bool cut = false;
    std::uint64_t epoch = 0;
    milliseconds lease_until{0};
    milliseconds born{0};
    std::map<run_name, run_record> runs;
    std::map<task_name, std::int64_t> barred; ///< Runs up to this are refused.
    std::vector<ended_run> ended;
    std::int64_t next_end = 1;

    resources used() const
    {
        resources sum;
        for (const auto& [name, run] : runs) {
            sum += run.size;
        }
        return sum;
    }
};

struct workflow_model::job_truth {
    job_spec spec;
    bool accepted = false;
    bool cancelled = false;
    std::set<task_name> done_and_forgotten;
    std::map<task_name, int> failures_forgotten;
    std::map<task_name, std::set<std::int64_t>> failed_runs;
    std::set<task_name> done;
};

struct workflow_model::owner {
    explicit owner(const workflow_options& options) : state(options) {}

    workflow_state state;
    std::uint64_t epoch = 0;
    bool alive = true;
    std::set<std::size_t> writing; ///< Chains with a transaction under way.
    std::map<std::size_t, forget_order> forget;
    std::map<std::size_t, milliseconds> leased_until; ///< By worker, in model time.
    std::map<std::uint64_t, std::string> tokens;
    std::uint64_t next_token = 1;
};

workflow_model::workflow_model(workflow_model_options options)
    : options_(options), random_(options.seed)
{
    for (int index = 0; index < options_.workers; ++index) {
        auto one = std::make_unique<worker>();
        one->entry = {.id = "w" + std::to_string(index),
                      .incarnation = 1,
                      .service = "service",
                      .address = {"127.0.0.1", static_cast<unsigned short>(1 + index)},
                      .zone = "zone",
                      .rack = "r" + std::to_string(index % 2),
                      .labels = {},
                      .capacity = {.milli_cpus = 8'000, .memory_mb = 16'000},
                      .leaving = false};
        workers_.push_back(std::move(one));
    }
}

workflow_model::~workflow_model() = default;

bool workflow_model::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

milliseconds workflow_model::between(int least, int most)
{
    return milliseconds(std::uniform_int_distribution<int>(least, most)(random_));
}

void workflow_model::at(milliseconds delay, action what)
{
    events_.emplace(now_ + delay, std::move(what));
}

void workflow_model::fail(const std::string& what)
{
    if (fault_.empty()) {
        fault_ = "at " + std::to_string(now_.count()) + " ms: " + what;
    }
}

void workflow_model::trace(const std::string& job, const std::string& what) const
{
    if (options_.traced_job == "*" || (!job.empty() && job == options_.traced_job)) {
        std::cerr << now_.count() << " ms " << job << ": " << what << '\n';
    }
}

void workflow_model::plan_day()
{
    const auto span = static_cast<int>(options_.load_time.count());
    for (int number = 0; number < options_.jobs; ++number) {
        at(between(100, span), [this, number] { submit_job(number); });
    }
    for (int count = 0; count < options_.owner_deaths; ++count) {
        at(between(300, span), [this] { end_owner(); });
    }
    const auto any_worker = [this]() -> worker& {
        return *workers_[static_cast<std::size_t>(between(0, options_.workers - 1).count())];
    };
    for (int count = 0; count < options_.worker_restarts; ++count) {
        at(between(300, span), [this, any_worker] { restart_worker(any_worker()); });
    }
    for (int count = 0; count < options_.worker_cuts; ++count) {
        at(between(300, span), [this, any_worker] {
            auto& one = any_worker();
            one.cut = true;
            at(between(200, 9'000), [&one] { one.cut = false; });
        });
    }
    for (int count = 0; count < options_.silent_stores; ++count) {
        at(between(300, span), [this] {
            store_silent_ = true;
            at(between(100, 3'000), [this] { store_silent_ = false; });
        });
    }
}

void workflow_model::submit_job(int number)
{
    auto truth = std::make_unique<job_truth>();
    auto& spec = truth->spec;
    spec.id = "job" + std::to_string(number);
    spec.queue = terms_of(number % 3).name;
    const int steps = 1 + static_cast<int>(between(0, 1).count());
    for (int step = 0; step < steps; ++step) {
        step_spec one;
        one.tasks = 1 + static_cast<int>(between(0, 4).count());
        one.size = {.milli_cpus = between(500, 4'000).count(), .memory_mb = 1'000};
        one.estimate = between(100, 1'500);
        one.gang = chance(0.3);
        one.checkpoints = chance(0.5);
        if (step > 0) {
            one.after = {step - 1};
        }
        spec.steps.push_back(one);
    }
    const auto id = spec.id;
    jobs_.emplace(id, std::move(truth));
    if (!owner_) {
        return; // The client was refused and does not come back.
    }
    const auto token = owner_->next_token++;
    owner_->tokens.emplace(token, id);
    owner_->state.submit(token, jobs_[id]->spec, terms_of(number % 3), clock(), day_begins + now_);
    pump(owner_);
    if (chance(0.1)) {
        at(between(50, 3'000), [this, id] {
            if (owner_ && owner_->state.find(id)) {
                jobs_[id]->cancelled = true;
                owner_->state.cancel(0, id, day_begins + now_);
                pump(owner_);
            }
        });
    }
}

void workflow_model::begin_owner()
{
    if (store_silent_) {
        at(milliseconds(200), [this] { begin_owner(); });
        return;
    }
    const record_keys keys{.prefix = "fs/"};
    owner_ = std::make_shared<owner>(
        workflow_options{.epoch = ++epoch_, .keys = keys, .streams = streams});
    owner_->epoch = epoch_;
    std::vector<worker_entry> leased_workers;
    if (const auto found = records_.find(keys.leased_workers()); found != records_.end()) {
        leased_workers = read_leased_workers(found->second);
    }
    owner_->state.load(read_jobs(records_below(keys.specification_prefix()),
                                 records_below(keys.progress_prefix())),
                       leased_workers, clock(), day_begins + now_);
    const auto one = owner_;
    at(between(0, 100), [this, one] {
        if (one->alive) {
            one->state.on_worker_list(list_of_workers(), clock());
        }
    });
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        poll(one, index);
    }
    pump(one);
}

std::map<std::string, std::string> workflow_model::records_below(const std::string& prefix) const
{
    std::map<std::string, std::string> values;
    for (const auto& [key, value] : records_) {
        if (key.starts_with(prefix)) {
            values.emplace(key.substr(prefix.size()), value);
        }
    }
    return values;
}

void workflow_model::end_owner()
{
    if (!owner_) {
        return;
    }
    owner_->alive = false;
    owner_.reset();
    at(between(300, 2'500), [this] { begin_owner(); });
}

std::vector<worker_entry> workflow_model::list_of_workers() const
{
    std::vector<worker_entry> list;
    for (const auto& one : workers_) {
        list.push_back(one->entry);
    }
    return list;
}

void workflow_model::pump(const std::shared_ptr<owner>& one)
{
    if (!one->alive) {
        return;
    }
    one->state.tick(clock());
    carry_out(one, one->state.take_actions());
    write_store(one);
}

void workflow_model::carry_out(const std::shared_ptr<owner>& one, workflow_actions actions)
{
    for (const auto& note : actions.decisions) {
        trace(note.job,
              "epoch " + std::to_string(one->epoch) + " " + note.event + " " + note.detail);
    }
    for (const auto& order : actions.stops) {
        send_stop(one, order);
    }
    for (const auto& order : actions.starts) {
        send_start(one, order);
    }
    for (const auto& order : actions.forgets) {
        one->forget[order.worker] = order;
    }
    for (const auto& answer : actions.answers) {
        const auto found = one->tokens.find(answer.token);
        if (found != one->tokens.end() && answer.kind == caller_answer::answer_kind::stored) {
            jobs_[found->second]->accepted = true;
        }
    }
}

void workflow_model::send_start(const std::shared_ptr<owner>& one, const start_order& order)
{
    auto& target = *workers_[order.worker];
    const auto lease_until = now_ + lease;
    one->leased_until[order.worker] = lease_until;
    const auto incarnation = target.entry.incarnation;
    const auto unanswered = [this, one, order] {
        at(order_timeout, [this, one, order] {
            if (one->alive) {
                one->state.on_start(order.worker, order.name, start_outcome::unknown, clock());
                pump(one);
            }
        });
    };
    const auto epoch = one->epoch;
    if (chance(options_.late_order_share)) {
        at(between(2'000, 12'000), [this, &target, epoch, order, lease_until] {
            // A new life takes whatever comes first; nothing can rule an order out before an owner
            // has learnt of that life.
            const bool is_known = target.entry.incarnation == 1 || target.epoch > 0;
            if (is_known && now_ >= target.born + time_to_learn_of_life) {
                accept_start(target, epoch, order, lease_until);
            }
        });
        unanswered();
        return;
    }
    if (target.cut) {
        unanswered();
        return;
    }
    const auto deliver = [this, &target, epoch, order, lease_until, incarnation] {
        return target.entry.incarnation == incarnation
                   ? accept_start(target, epoch, order, lease_until)
                   : start_outcome::wrong_incarnation;
    };
    auto arrival = between(1, 30);
    if (chance(options_.repeated_order_share)) {
        // The connection breaks before the answer, and the order is sent again over a new one.
        at(arrival, deliver);
        arrival += between(10, 550);
    }
    at(arrival, [this, one, &target, order, deliver, unanswered] {
        const auto outcome = deliver();
        if (target.cut || chance(options_.lost_answer_share)) {
            unanswered();
            return;
        }
        at(between(1, 30), [this, one, order, outcome] {
            if (one->alive) {
                one->state.on_start(order.worker, order.name, outcome, clock());
                pump(one);
            }
        });
    });
}

void workflow_model::send_stop(const std::shared_ptr<owner>& one, const stop_order& order)
{
    auto& target = *workers_[order.worker];
    if (target.cut) {
        return;
    }
    at(between(1, 30), [this, one, &target, epoch = one->epoch, order] {
        if (!accept_stop(target, epoch, order.name) || target.cut ||
            chance(options_.lost_answer_share)) {
            return;
        }
        at(between(1, 30), [this, one, order] {
            if (one->alive) {
                one->state.on_stop(order.worker, order.name, clock());
                pump(one);
            }
        });
    });
}

void workflow_model::poll(const std::shared_ptr<owner>& one, std::size_t index)
{
    if (!one->alive) {
        return;
    }
    if (index >= one->state.workers().size()) {
        at(milliseconds(20), [this, one, index] { poll(one, index); });
        return; // Not known to the owner yet.
    }
    auto& target = *workers_[index];
    const auto asked = clock();
    if (target.cut) {
        one->state.on_unreachable_changed(index, true, day_begins + now_);
        const auto known = one->leased_until.find(index);
        const bool lapsed = known != one->leased_until.end() && now_ > known->second + lease / 10;
        if (lapsed) {
            one->state.on_emptied(index);
            one->leased_until.erase(known);
        } else if (known == one->leased_until.end()) {
            one->leased_until[index] = now_ + lease;
        }
        at(milliseconds(200), [this, one, index] { poll(one, index); });
        pump(one);
        return;
    }
    const auto lease_until = now_ + lease;
    one->leased_until[index] = lease_until;
    const auto report = accept_poll(target, one->epoch, one->forget[index].incarnation,
                                    one->forget[index].up_to, lease_until);
    const auto delay = between(1, 30);
    if (report) {
        at(delay, [this, one, index, report = *report, asked]() mutable {
            if (!one->alive) {
                return;
            }
            report.asked = asked;
            one->state.on_unreachable_changed(index, false, day_begins + now_);
            one->state.on_report(index, report, clock(), day_begins + now_);
            pump(one);
        });
    }
    at(delay + between(10, 120), [this, one, index] { poll(one, index); });
}

void workflow_model::write_store(const std::shared_ptr<owner>& one)
{
    for (std::size_t stream = 0; stream < streams; ++stream) {
        write_stream(one, stream);
    }
}

void workflow_model::write_stream(const std::shared_ptr<owner>& one, std::size_t stream)
{
    if (one->writing.count(stream) > 0 || !one->alive ||
        !one->state.should_write(stream, clock())) {
        return;
    }
    one->writing.insert(stream);
    if (store_silent_) {
        at(milliseconds(100), [this, one, stream] {
            one->writing.erase(stream);
            write_stream(one, stream);
        });
        return;
    }
    const auto batch = one->state.take_batch(stream, 6, clock(), day_begins + now_);
    if (batch.changes.empty()) {
        one->writing.erase(stream);
        return;
    }
    at(between(5, 150), [this, one, batch, stream] {
        if (one->epoch != epoch_) {
            return; // The chain's condition refuses an earlier owner.
        }
        apply(batch);
        at(between(1, 20), [this, one, stream] {
            one->writing.erase(stream);
            if (one->alive) {
                one->state.on_stored(stream);
                pump(one);
            }
        });
    });
}

void workflow_model::apply(const record_batch& batch)
{
    for (const auto& change : batch.changes) {
        trace(change.key.substr(change.key.rfind('/') + 1),
              change.value ? "stored " + *change.value : "removed");
        if (change.value) {
            records_[change.key] = *change.value;
        } else {
            records_.erase(change.key);
        }
    }
}

start_outcome workflow_model::accept_start(worker& one, std::uint64_t epoch,
                                           const start_order& order, milliseconds lease_until)
{
    if (options_.check_fence && epoch < one.epoch) {
        return start_outcome::fenced;
    }
    one.epoch = std::max(one.epoch, epoch);
    const auto barred = one.barred.find(order.name.task);
    if (options_.check_run_numbers && barred != one.barred.end() &&
        order.name.run <= barred->second) {
        return start_outcome::superseded;
    }
    if (lease_until <= now_) {
        return start_outcome::rejected;
    }
    if (one.runs.count(order.name) > 0) {
        return start_outcome::started;
    }
    trace(order.name.task.job, "begins " + to_string(order.name) + " on " + one.entry.id);
    check_start(one, order);
    one.lease_until = std::max(one.lease_until, lease_until);
    const auto& spec = jobs_[order.name.task.job]->spec;
    const auto& step = spec.steps[static_cast<std::size_t>(order.name.task.step)];
    const auto incarnation = one.entry.incarnation;
    const bool fails = chance(options_.failing_run_share);
    // All members of a gang's run end at one time, known from the run's name.
    const auto length = step.gang ? step.estimate + milliseconds(200)
                                  : std::chrono::duration_cast<milliseconds>(
                                        step.estimate * between(70, 130).count() / 100);
    one.runs.emplace(order.name, run_record{.size = step.size, .began = now_, .length = length});
    at(length, [this, &one, name = order.name, incarnation, fails] {
        if (one.entry.incarnation == incarnation && one.runs.count(name) > 0) {
            end_run(one, name, fails ? run_end::failed : run_end::done);
        }
    });
    return start_outcome::started;
}

void workflow_model::check_start(const worker& one, const start_order& order)
{
    auto& truth = *jobs_[order.name.task.job];
    const auto& step = truth.spec.steps[static_cast<std::size_t>(order.name.task.step)];
    const auto text = to_string(order.name) + " on " + one.entry.id;
    if (!fits(one.used() + step.size, one.entry.capacity)) {
        fail("over capacity: " + text);
    }
    for (const auto& other : workers_) {
        for (const auto& [name, run] : other->runs) {
            if (name.task == order.name.task) {
                fail("two runs: " + text + " beside " + to_string(name) + " on " + other->entry.id);
            }
        }
    }
    if (truth.done_and_forgotten.count(order.name.task) > 0) {
        fail("started after its end was taken note of: " + text);
    }
    const auto failures = truth.failures_forgotten.find(order.name.task);
    if (!step.gang && failures != truth.failures_forgotten.end() && failures->second >= attempts) {
        fail("more attempts than allowed: " + text);
    }
    for (const int earlier : step.after) {
        const auto& before = truth.spec.steps[static_cast<std::size_t>(earlier)];
        for (int index = 0; index < before.tasks; ++index) {
            if (!before.gang && truth.done.count({order.name.task.job, earlier, index}) == 0) {
                fail("started before an earlier step was done: " + text);
            }
        }
    }
}

bool workflow_model::accept_stop(worker& one, std::uint64_t epoch, const run_name& name)
{
    if (options_.check_fence && epoch < one.epoch) {
        return false;
    }
    one.epoch = std::max(one.epoch, epoch);
    auto& barred = one.barred[name.task];
    barred = std::max(barred, name.run);
    for (auto found = one.runs.begin(); found != one.runs.end();) {
        const auto running = (found++)->first;
        if (running.task == name.task && running.run <= name.run) {
            end_run(one, running, run_end::stopped);
        }
    }
    return true;
}

std::optional<worker_report> workflow_model::accept_poll(worker& one, std::uint64_t epoch,
                                                         std::int64_t incarnation,
                                                         std::int64_t forget,
                                                         milliseconds lease_until)
{
    if (options_.check_fence && epoch < one.epoch) {
        return std::nullopt;
    }
    one.epoch = std::max(one.epoch, epoch);
    one.lease_until = std::max(one.lease_until, lease_until);
    if (incarnation == one.entry.incarnation) {
        const auto newest = one.ended.empty() ? 0 : one.ended.back().number;
        const auto up_to = options_.forget_after_storing ? forget : newest;
        std::erase_if(one.ended, [&](const ended_run& end) {
            if (end.number > up_to) {
                return false;
            }
            trace(end.name.task.job, to_string(end.name) + " is forgotten");
            auto& truth = *jobs_[end.name.task.job];
            if (end.how == run_end::done) {
                truth.done_and_forgotten.insert(end.name.task);
            } else if (end.how == run_end::failed) {
                ++truth.failures_forgotten[end.name.task];
            }
            return true;
        });
    }
    worker_report report{.incarnation = one.entry.incarnation, .present = {}, .ended = one.ended};
    for (const auto& [name, run] : one.runs) {
        const auto percent = 100 * (now_ - run.began) / std::max(run.length, milliseconds(1));
        report.present.push_back(
            {.name = name, .checkpoint = {}, .percent = static_cast<int>(percent)});
    }
    return report;
}

void workflow_model::end_run(worker& one, const run_name& name, run_end how)
{
    trace(name.task.job, to_string(name) + " on " + one.entry.id + " ends " + to_string(how));
    one.runs.erase(name);
    auto& barred = one.barred[name.task];
    barred = std::max(barred, name.run);
    one.ended.push_back({.number = one.next_end++, .name = name, .how = how, .checkpoint = {}});
    auto& truth = *jobs_[name.task.job];
    if (how == run_end::done) {
        truth.done.insert(name.task);
    } else if (how == run_end::failed) {
        truth.failed_runs[name.task].insert(name.run);
    }
}

void workflow_model::restart_worker(worker& one)
{
    ++one.entry.incarnation;
    one.runs.clear();
    one.barred.clear();
    one.ended.clear();
    one.next_end = 1;
    one.epoch = 0;
    one.lease_until = milliseconds(0);
    one.born = now_;
    at(between(100, 1'500), [this] {
        if (owner_) {
            owner_->state.on_worker_list(list_of_workers(), clock());
        }
    });
}

void workflow_model::expire_leases()
{
    for (const auto& one : workers_) {
        if (one->lease_until > now_) {
            continue;
        }
        for (auto found = one->runs.begin(); found != one->runs.end();) {
            const auto name = (found++)->first;
            end_run(*one, name, run_end::lapsed);
        }
    }
}

void workflow_model::check_finished()
{
    for (const auto& [id, truth] : jobs_) {
        if (!truth->accepted) {
            continue;
        }
        const auto phase = owner_ ? owner_->state.find(id) : std::nullopt;
        if (!phase) {
            fail(id + " was accepted and is not known");
            continue;
        }
        if (!is_final(*phase)) {
            fail(id + " was accepted and is still " + to_string(*phase));
        }
        if (*phase == job_phase::cancelled && !truth->cancelled) {
            fail(id + " is cancelled without cause");
        }
        const bool has_cause =
            std::any_of(truth->failed_runs.begin(), truth->failed_runs.end(),
                        [](const auto& row) { return row.second.size() >= attempts; });
        const bool has_gang = std::any_of(truth->spec.steps.begin(), truth->spec.steps.end(),
                                          [](const step_spec& step) { return step.gang; });
        if (*phase == job_phase::failed && !has_cause && !has_gang) {
            fail(id + " is failed without cause");
        }
    }
}

std::string workflow_model::play()
{
    plan_day();
    at(milliseconds(0), [this] { begin_owner(); });
    const auto end = options_.load_time + finish_limit;
    auto next_tick = milliseconds(0);
    while (fault_.empty() && now_ < end) {
        next_tick = now_ + milliseconds(25);
        while (!events_.empty() && events_.begin()->first <= next_tick && fault_.empty()) {
            const auto event = events_.extract(events_.begin());
            now_ = std::max(now_, event.key());
            expire_leases();
            event.mapped()();
        }
        now_ = next_tick;
        expire_leases();
        if (owner_) {
            pump(owner_);
        }
        const bool quiet = owner_ && now_ > options_.load_time + milliseconds(15'000) &&
                           owner_->state.open_jobs() == 0 && owner_->writing.empty();
        if (quiet) {
            break;
        }
    }
    if (fault_.empty()) {
        check_finished();
    }
    return fault_;
}

} // namespace flamingoseam::model
