#include "tests/workflow_load.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace flamingoseam::workflow {

namespace {

constexpr wall_time simulation_start{1'000'000'000};
constexpr milliseconds tick_interval{25};
constexpr milliseconds report_interval{800};
constexpr milliseconds message_time{3};
constexpr double late_worth_share = 0.2;
constexpr int max_lateness = 3; ///< Multiple of the target after which a job earns nothing.
constexpr int max_retries = 4;
constexpr milliseconds client_deadline{3'000};

queue_terms terms_of(const std::string& name, int priority, double stretch, int target_ms)
{
    return {.name = name,
            .service = "service",
            .priority = priority,
            .max_attempts = 3,
            .stretch = stretch,
            .target = milliseconds(target_ms)};
}

} // namespace

std::vector<load_queue> load_of_350_workers()
{
    return {{.terms = terms_of("gate", 0, 1.5, 300),
             .per_second = 137,
             .worth = 0.402,
             .tasks = 3.2,
             .work = milliseconds(640),
             .milli_cpus = 9'900},
            {.terms = terms_of("batch", 1, 2.2, 1'000),
             .per_second = 6,
             .worth = 10.6,
             .tasks = 20,
             .work = milliseconds(4'000),
             .milli_cpus = 18'000,
             .gang = true},
            {.terms = terms_of("review", 2, 4, 3'000),
             .per_second = 12,
             .worth = 3.2,
             .tasks = 41,
             .work = milliseconds(2'200),
             .milli_cpus = 6'900}};
}

double load_job::credit() const
{
    if (!completed) {
        return 0;
    }
    const auto took = *completed - arrival;
    if (took <= target) {
        return queue->worth;
    }
    return took <= max_lateness * target ? late_worth_share * queue->worth : 0;
}

workflow_load::workflow_load(load_options options)
    : options_(std::move(options)), random_(options_.seed), state_(options_.state),
      streams_(options_.state.streams)
{
    make_workers();
    make_jobs();
}

void workflow_load::run()
{
    at(milliseconds(0), [this] { tick(); });
    while (!events_.empty() &&
           events_.top().time <= options_.arrival_period + options_.drain_time) {
        auto event = events_.top();
        events_.pop();
        now_ = event.time;
        event.action();
        state_.tick(clock()); // The owner also ticks after each group of events.
        process_actions();
        store();
    }
}

double workflow_load::worth(const std::function<bool(const load_job&)>& counts) const
{
    double total = 0;
    double earned = 0;
    for (const auto& job : jobs_) {
        if (counts(job)) {
            total += job.queue->worth;
            earned += job.credit();
        }
    }
    return total > 0 ? earned / total : 0;
}

void workflow_load::at(milliseconds delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++last_event_, std::move(action)});
}

time_point workflow_load::clock() const
{
    return time_point(now_ + std::chrono::hours(1));
}

wall_time workflow_load::wall() const
{
    return simulation_start + now_;
}

double workflow_load::rate_at(const load_queue& queue, double second) const
{
    const milliseconds time(static_cast<int>(second * 1'000));
    const bool in_burst = options_.burst_begins <= time && time < options_.burst_ends;
    return queue.per_second * options_.load * (in_burst ? options_.burst : 1);
}

double workflow_load::random_factor()
{
    return std::uniform_real_distribution<double>(0.5, 1.5)(random_);
}

void workflow_load::make_workers()
{
    std::vector<worker_entry> entries;
    workers_.resize(options_.workers);
    for (std::size_t index = 0; index < options_.workers; ++index) {
        entries.push_back(
            {.id = "w" + std::to_string(index),
             .incarnation = 1,
             .service = "service",
             .address = {"127.0.0.1", static_cast<unsigned short>(index + 1)},
             .capacity = {.milli_cpus = options_.milli_cpus, .memory_mb = 1'000'000}});
    }
    state_.on_worker_list(entries, clock());
    for (std::size_t index = 0; index < options_.workers; ++index) {
        state_.on_report(index, {.incarnation = 1}, clock(), wall());
        const auto shift =
            report_interval * static_cast<int>(index) / static_cast<int>(options_.workers);
        at(shift, [this, index] { report_periodically(index); });
    }
}

void workflow_load::make_jobs()
{
    const auto seconds = static_cast<double>(options_.arrival_period.count()) / 1'000;
    for (const auto& queue : options_.queues) {
        double time = 0;
        while (true) {
            time += std::exponential_distribution<double>(rate_at(queue, time))(random_);
            if (time >= seconds) {
                break;
            }
            jobs_.push_back(make_job(queue, milliseconds(static_cast<int>(time * 1'000))));
        }
    }
    std::ranges::sort(jobs_, {}, &load_job::arrival);
    for (std::size_t index = 0; index < jobs_.size(); ++index) {
        char id[17];
        std::snprintf(id, sizeof id, "%016zx", index + 1);
        jobs_[index].spec.id = id;
        at(jobs_[index].arrival, [this, index] { submit(index); });
    }
}

load_job workflow_load::make_job(const load_queue& queue, milliseconds arrival)
{
    load_job job{.queue = &queue, .arrival = arrival};
    job.spec.queue = queue.terms.name;
    const int tasks = std::max(1, static_cast<int>(std::lround(queue.tasks * random_factor())));
    const auto work = static_cast<double>(queue.work.count()) * random_factor();
    job.spec.steps.push_back({.tasks = tasks,
                              .size = {.milli_cpus = queue.milli_cpus, .memory_mb = 1},
                              .estimate = milliseconds(static_cast<int>(work)),
                              .gang = queue.gang});
    job.target = target_time(job.spec, queue.terms);
    return job;
}

load_job& workflow_load::job_of(const std::string& id)
{
    return jobs_[std::stoul(id, nullptr, 16) - 1];
}

void workflow_load::submit(std::size_t index)
{
    auto& job = jobs_[index];
    ++job.attempts;
    state_.submit(index + 1, job.spec, job.queue->terms, clock(), wall());
}

void workflow_load::tick()
{
    at(tick_interval, [this] { tick(); });
}

void workflow_load::process_actions()
{
    const auto actions = state_.take_actions();
    for (const auto& answer : actions.answers) {
        auto& job = jobs_[answer.token - 1];
        job.answered = now_;
        job.refused = answer.kind == caller_answer::answer_kind::refused;
        if (job.refused) {
            schedule_retry(answer.token - 1, answer.retry_after);
        }
    }
    for (const auto& order : actions.starts) {
        send_start(order);
    }
    for (const auto& order : actions.stops) {
        at(message_time, [this, order] {
            state_.on_stop(order.worker, order.name, clock());
            end(order.worker, order.name, run_end::stopped);
        });
    }
    for (const auto& order : actions.forgets) {
        acknowledge_ends(order);
    }
    for (const auto& decision : actions.decisions) {
        if (decision.event == "completed") {
            job_of(decision.job).last_end = now_;
            completed_jobs_[decision.job] = {now_, &job_of(decision.job)};
        }
    }
}

/// Schedules the retry of a refused job after the requested delay, rounded up to seconds. The
/// client retries until its deadline or its maximum number of attempts.
void workflow_load::schedule_retry(std::size_t index, milliseconds retry_after)
{
    const auto& job = jobs_[index];
    const auto pause =
        std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(retry_after));
    if (job.attempts <= max_retries && now_ + pause < job.arrival + client_deadline) {
        at(pause, [this, index] { submit(index); });
    }
}

/// Delivers start orders to the workers one after the other, limited to `starts_per_second`.
void workflow_load::send_start(const start_order& order)
{
    auto delay = message_time;
    if (options_.starts_per_second > 0) {
        const auto present = static_cast<double>(now_.count());
        next_start_ms_ = std::max(next_start_ms_, present) + 1'000 / options_.starts_per_second;
        delay += milliseconds(static_cast<int>(next_start_ms_ - present));
    }
    at(delay, [this, order] { start(order); });
}

void workflow_load::start(const start_order& order)
{
    const auto& step = job_of(order.name.task.job).spec.steps.front();
    workers_[order.worker].runs[order.name] = {};
    state_.on_start(order.worker, order.name, start_outcome::started, clock());
    if (!step.gang) {
        const auto duration = static_cast<double>(step.estimate.count()) * random_factor();
        begin(order.worker, order.name, milliseconds(static_cast<int>(duration)));
        return;
    }
    auto& gang = gangs_[{order.name.task.job, static_cast<int>(order.name.run)}];
    gang.emplace_back(order.worker, order.name);
    if (static_cast<int>(gang.size()) == step.tasks) {
        for (const auto& [worker, name] : gang) {
            begin(worker, name, step.estimate);
        }
    }
}

void workflow_load::begin(std::size_t index, const run_name& name, milliseconds duration)
{
    const auto found = workers_[index].runs.find(name);
    if (found == workers_[index].runs.end()) {
        return; // The run has been stopped.
    }
    found->second = {.started_at = now_, .duration = duration, .running = true};
    at(duration, [this, index, name] { end(index, name, run_end::done); });
}

void workflow_load::end(std::size_t index, const run_name& name, run_end how)
{
    auto& reporter = workers_[index];
    if (reporter.runs.erase(name) == 0) {
        return;
    }
    reporter.ended.push_back(
        {.number = ++reporter.last_end, .name = name, .how = how, .checkpoint = {}});
    ++ends_;
    if (!reporter.report_due) {
        reporter.report_due = true;
        at(message_time, [this, index] { report(index); });
    }
}

void workflow_load::report(std::size_t index)
{
    auto& reporter = workers_[index];
    reporter.report_due = false;
    worker_report state_report{
        .incarnation = 1, .ended = std::exchange(reporter.ended, {}), .asked = clock()};
    for (const auto& end : state_report.ended) {
        reporter.unacknowledged_ends.emplace(end.number, now_);
    }
    for (const auto& [name, run] : reporter.runs) {
        const auto elapsed = run.running ? now_ - run.started_at : milliseconds(0);
        const auto percent = 100 * elapsed.count() / (run.duration.count() + 1);
        state_report.present.push_back(
            {.name = name,
             .checkpoint = {},
             .percent = static_cast<int>(std::min<std::int64_t>(99, percent))});
    }
    state_.on_report(index, state_report, clock(), wall());
}

void workflow_load::report_periodically(std::size_t index)
{
    report(index);
    at(report_interval, [this, index] { report_periodically(index); });
}

void workflow_load::acknowledge_ends(const forget_order& order)
{
    auto& unacknowledged_ends = workers_[order.worker].unacknowledged_ends;
    while (!unacknowledged_ends.empty() && unacknowledged_ends.begin()->first <= order.up_to) {
        max_acknowledgement_delay_ =
            std::max(max_acknowledgement_delay_, now_ - unacknowledged_ends.begin()->second);
        unacknowledged_ends.erase(unacknowledged_ends.begin());
    }
}

void workflow_load::store()
{
    for (std::size_t stream = 0; stream < streams_.size(); ++stream) {
        const auto& commit_stream = streams_[stream];
        if (commit_stream.is_writing || !state_.should_write(stream, clock())) {
            continue;
        }
        if (state_.has_full_batch()) {
            write(stream);
        } else if (commit_stream.collection_id == 0) {
            start_collection(stream);
        }
    }
}

void workflow_load::start_collection(std::size_t stream)
{
    const auto number = ++last_collection_id_;
    streams_[stream].collection_id = number;
    at(options_.collection_time, [this, stream, number] {
        if (streams_[stream].collection_id == number) {
            write(stream);
        }
    });
}

void workflow_load::write(std::size_t stream)
{
    streams_[stream].collection_id = 0;
    const auto batch = state_.take_batch(stream, options_.state.max_records, clock());
    if (batch.changes.empty()) {
        return;
    }
    streams_[stream].is_writing = true;
    ++transactions_;
    records_ += static_cast<int>(batch.changes.size());
    at(options_.store_answer, [this, stream] {
        streams_[stream].is_writing = false;
        state_.on_stored(stream);
        std::erase_if(completed_jobs_, [this](auto& completed) {
            const bool is_visible = state_.find(completed.first) == job_phase::completed;
            if (is_visible) {
                completed.second.second->completed = now_;
            }
            return is_visible;
        });
    });
}

} // namespace flamingoseam::workflow
