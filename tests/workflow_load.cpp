#include "tests/workflow_load.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace flamingoseam::workflow {

namespace {

constexpr wall_time day_begins{1'000'000'000};
constexpr milliseconds tick_interval{25};
constexpr milliseconds report_interval{800};
constexpr milliseconds message_time{3};
constexpr double late_share = 0.2;
constexpr int most_late = 3; ///< Times the target; nothing is earned later.
constexpr int most_retries = 4;
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
    return took <= most_late * target ? late_share * queue->worth : 0;
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
    while (!events_.empty() && events_.top().time <= options_.traffic + options_.rest) {
        auto event = events_.top();
        events_.pop();
        now_ = event.time;
        event.what();
        state_.tick(clock()); // As the owner does after each group of events.
        carry_out();
        store();
    }
}

double workflow_load::worth(const std::function<bool(const load_job&)>& counts) const
{
    double owed = 0;
    double earned = 0;
    for (const auto& job : jobs_) {
        if (counts(job)) {
            owed += job.queue->worth;
            earned += job.credit();
        }
    }
    return owed > 0 ? earned / owed : 0;
}

void workflow_load::at(milliseconds delay, std::function<void()> what)
{
    events_.push({now_ + delay, ++last_event_, std::move(what)});
}

time_point workflow_load::clock() const
{
    return time_point(now_ + std::chrono::hours(1));
}

wall_time workflow_load::wall() const
{
    return day_begins + now_;
}

double workflow_load::rate_at(const load_queue& queue, double second) const
{
    const milliseconds time(static_cast<int>(second * 1'000));
    const bool in_burst = options_.burst_begins <= time && time < options_.burst_ends;
    return queue.per_second * options_.load * (in_burst ? options_.burst : 1);
}

double workflow_load::between_half_and_more()
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
        at(shift, [this, index] { report_often(index); });
    }
}

void workflow_load::make_jobs()
{
    const auto seconds = static_cast<double>(options_.traffic.count()) / 1'000;
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
    const int tasks =
        std::max(1, static_cast<int>(std::lround(queue.tasks * between_half_and_more())));
    const auto work = static_cast<double>(queue.work.count()) * between_half_and_more();
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

void workflow_load::carry_out()
{
    const auto actions = state_.take_actions();
    for (const auto& one : actions.answers) {
        auto& job = jobs_[one.token - 1];
        job.answered = now_;
        job.refused = one.kind == caller_answer::answer_kind::refused;
        if (job.refused) {
            come_back(one.token - 1, one.retry_after);
        }
    }
    for (const auto& one : actions.starts) {
        order(one);
    }
    for (const auto& one : actions.stops) {
        at(message_time, [this, one] {
            state_.on_stop(one.worker, one.name, clock());
            end(one.worker, one.name, run_end::stopped);
        });
    }
    for (const auto& one : actions.forgets) {
        forget(one);
    }
    for (const auto& one : actions.decisions) {
        if (one.event == "completed") {
            job_of(one.job).last_end = now_;
            unshown_[one.job] = {now_, &job_of(one.job)};
        }
    }
}

/// Clients return when they are told to, rounded up to seconds, as long as they care for an answer.
void workflow_load::come_back(std::size_t index, milliseconds retry_after)
{
    const auto& job = jobs_[index];
    const auto pause =
        std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(retry_after));
    if (job.attempts <= most_retries && now_ + pause < job.arrival + client_deadline) {
        at(pause, [this, index] { submit(index); });
    }
}

/// Orders reach the workers one after the other, as fast as the control plane sends them.
void workflow_load::order(const start_order& one)
{
    auto delay = message_time;
    if (options_.starts_per_second > 0) {
        const auto present = static_cast<double>(now_.count());
        next_order_ms_ = std::max(next_order_ms_, present) + 1'000 / options_.starts_per_second;
        delay += milliseconds(static_cast<int>(next_order_ms_ - present));
    }
    at(delay, [this, one] { start(one); });
}

void workflow_load::start(const start_order& one)
{
    const auto& step = job_of(one.name.task.job).spec.steps.front();
    workers_[one.worker].runs[one.name] = {};
    state_.on_start(one.worker, one.name, start_outcome::started, clock());
    if (!step.gang) {
        const auto length = static_cast<double>(step.estimate.count()) * between_half_and_more();
        begin(one.worker, one.name, milliseconds(static_cast<int>(length)));
        return;
    }
    auto& gang = gangs_[{one.name.task.job, static_cast<int>(one.name.run)}];
    gang.emplace_back(one.worker, one.name);
    if (static_cast<int>(gang.size()) == step.tasks) {
        for (const auto& [worker, name] : gang) {
            begin(worker, name, step.estimate);
        }
    }
}

void workflow_load::begin(std::size_t index, const run_name& name, milliseconds length)
{
    const auto found = workers_[index].runs.find(name);
    if (found == workers_[index].runs.end()) {
        return; // Stopped meanwhile.
    }
    found->second = {.begins = now_, .length = length, .running = true};
    at(length, [this, index, name] { end(index, name, run_end::done); });
}

void workflow_load::end(std::size_t index, const run_name& name, run_end how)
{
    auto& one = workers_[index];
    if (one.runs.erase(name) == 0) {
        return;
    }
    one.ended.push_back({.number = ++one.last_end, .name = name, .how = how, .checkpoint = {}});
    ++ends_;
    if (!one.report_due) {
        one.report_due = true;
        at(message_time, [this, index] { report(index); });
    }
}

void workflow_load::report(std::size_t index)
{
    auto& one = workers_[index];
    one.report_due = false;
    worker_report said{.incarnation = 1, .ended = std::exchange(one.ended, {}), .asked = clock()};
    for (const auto& end : said.ended) {
        one.unforgotten.emplace(end.number, now_);
    }
    for (const auto& [name, run] : one.runs) {
        const auto done = run.running ? now_ - run.begins : milliseconds(0);
        const auto percent = 100 * done.count() / (run.length.count() + 1);
        said.present.push_back({.name = name,
                                .checkpoint = {},
                                .percent = static_cast<int>(std::min<std::int64_t>(99, percent))});
    }
    state_.on_report(index, said, clock(), wall());
}

void workflow_load::report_often(std::size_t index)
{
    report(index);
    at(report_interval, [this, index] { report_often(index); });
}

void workflow_load::forget(const forget_order& one)
{
    auto& unforgotten = workers_[one.worker].unforgotten;
    while (!unforgotten.empty() && unforgotten.begin()->first <= one.up_to) {
        longest_acknowledgement_ =
            std::max(longest_acknowledgement_, now_ - unforgotten.begin()->second);
        unforgotten.erase(unforgotten.begin());
    }
}

void workflow_load::store()
{
    for (std::size_t stream = 0; stream < streams_.size(); ++stream) {
        const auto& one = streams_[stream];
        if (one.is_writing || !state_.should_write(stream, clock())) {
            continue;
        }
        if (state_.has_full_batch()) {
            write(stream);
        } else if (one.gathering == 0) {
            gather(stream);
        }
    }
}

void workflow_load::gather(std::size_t stream)
{
    const auto number = ++last_gathering_;
    streams_[stream].gathering = number;
    at(options_.gather, [this, stream, number] {
        if (streams_[stream].gathering == number) {
            write(stream);
        }
    });
}

void workflow_load::write(std::size_t stream)
{
    streams_[stream].gathering = 0;
    const auto batch = state_.take_batch(stream, options_.state.max_records, clock(), wall());
    if (batch.changes.empty()) {
        return;
    }
    streams_[stream].is_writing = true;
    ++transactions_;
    records_ += static_cast<int>(batch.changes.size());
    at(options_.store_answer, [this, stream] {
        streams_[stream].is_writing = false;
        state_.on_stored(stream);
        std::erase_if(unshown_, [this](auto& row) {
            const bool is_shown = state_.find(row.first) == job_phase::completed;
            if (is_shown) {
                row.second.second->completed = now_;
            }
            return is_shown;
        });
    });
}

} // namespace flamingoseam::workflow
