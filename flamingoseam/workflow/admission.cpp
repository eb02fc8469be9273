#include "flamingoseam/workflow/admission.hpp"

#include <algorithm>
#include <limits>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds slot_length{250};
constexpr milliseconds short_span{1'000};
constexpr milliseconds long_span{3'000};
/// Gangs start at longer intervals, as they wait for several workers.
constexpr milliseconds gang_span{10'000};
/// Work that has waited for less may be a short peak that the next scheduling pass places.
constexpr milliseconds min_backlog_age{500};
constexpr milliseconds min_measured_span{500};
constexpr double backlog_share = 0.5; ///< Minimum share of the waiting tasks that have this age.
constexpr milliseconds max_wait{60'000};
/// Empty workers that gangs which are too late to be of use need together, as a multiple of the
/// workers. From the first value on, gangs do not start in time, so that new ones are judged by the
/// gangs before them. Beyond the second, none is accepted before some of these gangs have run.
constexpr double obsolete_gangs_that_delay = 0.5;
constexpr double max_obsolete_gangs = 2;
constexpr milliseconds retry_after_gangs{2'000}; ///< Time in which some of these gangs start.
constexpr milliseconds min_retry_after{500};

std::int64_t slot_of(time_point time)
{
    return time.time_since_epoch() / slot_length;
}

/// Returns how long an amount of work takes at a rate per second. Tasks and processor time are both
/// checked and the longer time is returned. If the rate is zero, returns `long_span`: a pause is
/// assumed to last as long again as the measured span.
milliseconds time_needed(const work_amount& amount, const work_amount& pace)
{
    const auto time_at_rate = [](double need, double per_second) {
        if (need <= 0) {
            return milliseconds(0);
        }
        if (per_second <= 0) {
            return long_span;
        }
        const milliseconds time(static_cast<std::int64_t>(need / per_second * 1'000));
        return std::min(time, max_wait);
    };
    return std::max(time_at_rate(amount.tasks, pace.tasks),
                    time_at_rate(amount.processor_seconds, pace.processor_seconds));
}

work_amount larger(const work_amount& left, const work_amount& right)
{
    return {std::max(left.tasks, right.tasks),
            std::max(left.processor_seconds, right.processor_seconds)};
}

} // namespace

void start_meter::record(const work_amount& amount, time_point time)
{
    const auto slot = slot_of(time);
    if (slots_.empty() || slots_.back().first != slot) {
        slots_.emplace_back(slot, work_amount{});
    }
    slots_.back().second += amount;
    while (slots_.front().first < slot - gang_span / slot_length) {
        slots_.pop_front();
    }
}

work_amount start_meter::sum(milliseconds span, time_point time) const
{
    const auto first = slot_of(time - span);
    work_amount sum;
    for (const auto& [slot, amount] : slots_) {
        if (slot >= first) {
            sum += amount;
        }
    }
    return sum;
}

void admission::begin_sample(time_point time)
{
    for (auto& [kind, pool] : pools_) {
        const bool has_late = std::ranges::any_of(
            pool.levels, [](const auto& entry) { return entry.second.late.tasks > 0; });
        if (!has_late) {
            pool.late_since.reset();
        } else if (!pool.late_since) {
            pool.late_since = time;
        }
        for (auto& [priority, level] : pool.levels) {
            level.on_time = {};
            level.late = {};
            level.aged_tasks = 0;
        }
    }
}

admission::work_pool& admission::pool_of(const work_class& kind)
{
    auto& pool = pools_[kind];
    pool.longest_span = kind.gang_priority ? gang_span : long_span;
    return pool;
}

void admission::record_obsolete_gangs(const std::string& service, double needed_workers,
                                      double workers)
{
    obsolete_gangs_[service] = {.needed_workers = needed_workers, .workers = workers};
}

void admission::record_waiting(const waiting_work& work)
{
    auto& level = pool_of(work.kind).levels[work.priority];
    (work.late ? level.late : level.on_time) += work.amount;
    level.aged_tasks += work.waited >= min_backlog_age ? work.amount.tasks : 0;
}

void admission::record_started(const work_class& kind, int priority, const work_amount& amount,
                               bool late, time_point time)
{
    auto& pool = pool_of(kind);
    auto& level = pool.levels[priority];
    level.started.record(amount, time);
    if (late) {
        level.started_late.record(amount, time);
    }
    if (!pool.first_start) {
        pool.first_start = time;
    }
}

/// Returns the start rate per second of all priorities up to `most_urgent_up_to`. The largest rate
/// of several spans is used, so that a short pause does not look like a permanent stop.
work_amount admission::rate(const work_pool& pool, meter measured_work, int most_urgent_up_to,
                            time_point measured_since, time_point time)
{
    const auto measured = std::chrono::duration_cast<milliseconds>(time - measured_since);
    work_amount best;
    for (const auto span : {short_span, long_span, pool.longest_span}) {
        work_amount sum;
        for (const auto& [priority, level] : pool.levels) {
            if (priority <= most_urgent_up_to) {
                sum += (level.*measured_work).sum(span, time);
            }
        }
        const auto counted = std::clamp(measured, min_measured_span, span);
        const double per_second = 1'000.0 / static_cast<double>(counted.count());
        best = larger(best, {sum.tasks * per_second, sum.processor_seconds * per_second});
    }
    return best;
}

milliseconds admission::wait_on_time(const work_pool& pool, int priority, time_point time)
{
    work_amount ahead;
    for (const auto& [other_priority, level] : pool.levels) {
        if (other_priority <= priority) {
            ahead += level.on_time;
        }
    }
    return time_needed(ahead,
                       rate(pool, &priority_level::started, priority, *pool.first_start, time));
}

/// Work that can be on time is scheduled before late work of any priority.
milliseconds admission::wait_late(const work_pool& pool, int priority, time_point time)
{
    constexpr int all_priorities = std::numeric_limits<int>::max();
    work_amount on_time;
    work_amount late;
    for (const auto& [other_priority, level] : pool.levels) {
        on_time += level.on_time;
        if (other_priority <= priority) {
            late += level.late;
        }
    }
    auto total = on_time;
    total += late;
    const auto wait = time_needed(
        total, rate(pool, &priority_level::started, all_priorities, *pool.first_start, time));
    if (!pool.late_since || time - *pool.late_since < short_span) {
        return wait;
    }
    const auto per_second =
        rate(pool, &priority_level::started_late, priority, *pool.late_since, time);
    return std::max(wait, time_needed(late, per_second));
}

bool admission::has_backlog(const work_pool& pool)
{
    double tasks = 0;
    double aged_tasks = 0;
    for (const auto& [priority, level] : pool.levels) {
        tasks += level.on_time.tasks + level.late.tasks;
        aged_tasks += level.aged_tasks;
    }
    return tasks > 0 && aged_tasks >= backlog_share * tasks;
}

/// Returns the delay after which a refused caller should retry. The retries of consecutive refused
/// callers are spaced by the time that their work takes.
milliseconds admission::next_retry(work_pool& pool, const admission_request& request,
                                   milliseconds wait, time_point time)
{
    constexpr int all_priorities = std::numeric_limits<int>::max();
    const auto earliest = time + std::max(min_retry_after, wait - request.late_slack);
    const auto measured_since = pool.first_start.value_or(time);
    const auto spacing = time_needed(
        request.work, rate(pool, &priority_level::started, all_priorities, measured_since, time));
    pool.next_retry = std::max(pool.next_retry + spacing, earliest);
    const auto retry_after = std::chrono::duration_cast<milliseconds>(pool.next_retry - time);
    if (retry_after > max_wait) {
        pool.next_retry = time + max_wait;
    }
    return std::min(retry_after, max_wait);
}

time_point admission::first_submission(const std::string& job, time_point time) const
{
    return refused_.find(job, time).value_or(time);
}

/// Returns what is expected of a new job that waits with the work of a class.
admission::expectation admission::expect(const work_pool& pool, const admission_request& request,
                                         time_point time)
{
    const bool is_measured = pool.first_start && time - *pool.first_start >= min_measured_span;
    if (!is_measured || wait_on_time(pool, request.priority, time) <= request.slack) {
        return {};
    }
    const auto wait = wait_late(pool, request.priority, time);
    return {.is_on_time = false,
            .is_of_use = wait <= request.late_slack || !has_backlog(pool),
            .wait = wait};
}

admission_decision admission::refuse(work_pool& pool, const admission_request& request,
                                     milliseconds wait, const std::string& reason, time_point time)
{
    const auto& obsolete = obsolete_gangs_[request.service];
    return {.is_accepted = false,
            .retry_after = next_retry(pool, request, wait, time),
            .reason = reason,
            .wait = wait,
            .obsolete_gang_workers = obsolete.needed_workers,
            .workers = obsolete.workers};
}

admission_decision admission::decide(const admission_request& request, time_point time)
{
    std::vector<work_pool*> pools{&pool_of({.service = request.service})};
    const auto& obsolete = obsolete_gangs_[request.service];
    if (request.has_gang && obsolete.exceed(obsolete_gangs_that_delay)) {
        pools.push_back(&pool_of({.service = request.service, .gang_priority = request.priority}));
        if (obsolete.exceed(max_obsolete_gangs)) {
            const auto wait = request.late_slack + retry_after_gangs;
            return refuse(*pools.back(), request, wait, "gangs_late", time);
        }
    }
    bool is_on_time = true;
    for (auto* pool : pools) {
        const auto expected = expect(*pool, request, time);
        if (!expected.is_of_use) {
            return refuse(*pool, request, expected.wait, "would_be_too_late", time);
        }
        is_on_time = is_on_time && expected.is_on_time;
    }
    for (auto* pool : pools) {
        auto& level = pool->levels[request.priority];
        (is_on_time ? level.on_time : level.late) += request.work;
    }
    return {};
}

} // namespace flamingoseam::workflow
