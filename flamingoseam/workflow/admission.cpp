#include "flamingoseam/workflow/admission.hpp"

#include <algorithm>
#include <limits>

namespace flamingoseam::workflow {

namespace {

constexpr milliseconds slot_length{250};
constexpr milliseconds short_span{1'000};
constexpr milliseconds long_span{3'000};
/// Work that has waited for less may be a short peak that the next scheduling pass places.
constexpr milliseconds fresh{500};
constexpr milliseconds least_measured{500};
constexpr double backlog_share = 0.5; ///< Minimum share of the waiting tasks that have this age.
constexpr milliseconds endless{60'000};
constexpr milliseconds least_return{500};
constexpr milliseconds refusals_kept{30'000};
constexpr std::size_t most_refusals = 20'000;

std::int64_t slot_of(time_point time)
{
    return time.time_since_epoch() / slot_length;
}

/// Returns how long an amount of work takes at a rate per second. Tasks and processor time are both
/// checked and the longer time is returned. If the rate is zero, returns `long_span`: a pause is
/// assumed to last as long again as the measured span.
milliseconds time_for(const work_amount& amount, const work_amount& pace)
{
    const auto time_at = [](double need, double a_second) {
        if (need <= 0) {
            return milliseconds(0);
        }
        if (a_second <= 0) {
            return long_span;
        }
        const milliseconds time(static_cast<std::int64_t>(need / a_second * 1'000));
        return std::min(time, endless);
    };
    return std::max(time_at(amount.tasks, pace.tasks),
                    time_at(amount.processor_seconds, pace.processor_seconds));
}

work_amount larger(const work_amount& left, const work_amount& right)
{
    return {std::max(left.tasks, right.tasks),
            std::max(left.processor_seconds, right.processor_seconds)};
}

} // namespace

void start_meter::note(const work_amount& amount, time_point time)
{
    const auto slot = slot_of(time);
    if (slots_.empty() || slots_.back().first != slot) {
        slots_.emplace_back(slot, work_amount{});
    }
    slots_.back().second += amount;
    while (slots_.front().first < slot - long_span / slot_length) {
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

void admission::begin_look(time_point time)
{
    for (auto& [service, one] : pools_) {
        const bool has_late = std::ranges::any_of(
            one.levels, [](const auto& row) { return row.second.late.tasks > 0; });
        if (!has_late) {
            one.late_since.reset();
        } else if (!one.late_since) {
            one.late_since = time;
        }
        for (auto& [priority, level] : one.levels) {
            level.on_time = {};
            level.late = {};
            level.old_tasks = 0;
        }
    }
}

void admission::note_waiting(const waiting_work& work)
{
    auto& level = pools_[work.service].levels[work.priority];
    (work.late ? level.late : level.on_time) += work.amount;
    level.old_tasks += work.waited >= fresh ? work.amount.tasks : 0;
}

void admission::note_started(const std::string& service, int priority, const work_amount& amount,
                             bool late, time_point time)
{
    auto& one = pools_[service];
    auto& level = one.levels[priority];
    level.started.note(amount, time);
    if (late) {
        level.started_late.note(amount, time);
    }
    if (!one.first_start) {
        one.first_start = time;
    }
}

/// Returns the start rate per second of all priorities up to `most_urgent_up_to`. The larger rate
/// of two spans is used, so that a short pause does not look like a permanent stop.
work_amount admission::rate(const pool& one, meter which, int most_urgent_up_to,
                            time_point measured_since, time_point time)
{
    const auto measured = std::chrono::duration_cast<milliseconds>(time - measured_since);
    work_amount best;
    for (const auto span : {short_span, long_span}) {
        work_amount sum;
        for (const auto& [priority, level] : one.levels) {
            if (priority <= most_urgent_up_to) {
                sum += (level.*which).sum(span, time);
            }
        }
        const auto counted = std::clamp(measured, least_measured, span);
        const double a_second = 1'000.0 / static_cast<double>(counted.count());
        best = larger(best, {sum.tasks * a_second, sum.processor_seconds * a_second});
    }
    return best;
}

milliseconds admission::wait_on_time(const pool& one, int priority, time_point time)
{
    work_amount ahead;
    for (const auto& [other, level] : one.levels) {
        if (other <= priority) {
            ahead += level.on_time;
        }
    }
    return time_for(ahead, rate(one, &level::started, priority, *one.first_start, time));
}

/// Work that can be on time is scheduled before late work of any priority.
milliseconds admission::wait_late(const pool& one, int priority, time_point time)
{
    constexpr int all = std::numeric_limits<int>::max();
    work_amount before;
    work_amount late;
    for (const auto& [other, level] : one.levels) {
        before += level.on_time;
        if (other <= priority) {
            late += level.late;
        }
    }
    auto whole = before;
    whole += late;
    const auto wait = time_for(whole, rate(one, &level::started, all, *one.first_start, time));
    if (!one.late_since || time - *one.late_since < short_span) {
        return wait;
    }
    const auto a_second = rate(one, &level::started_late, priority, *one.late_since, time);
    return std::max(wait, time_for(late, a_second));
}

bool admission::is_backlog(const pool& one)
{
    double tasks = 0;
    double old_tasks = 0;
    for (const auto& [priority, level] : one.levels) {
        tasks += level.on_time.tasks + level.late.tasks;
        old_tasks += level.old_tasks;
    }
    return tasks > 0 && old_tasks >= backlog_share * tasks;
}

/// Returns the delay after which a refused caller should retry. The retries of consecutive refused
/// callers are spaced by the time that their work takes.
milliseconds admission::next_return(pool& one, const admission_request& request, milliseconds wait,
                                    time_point time)
{
    constexpr int all = std::numeric_limits<int>::max();
    const auto earliest = time + std::max(least_return, wait - request.late_slack);
    const auto length =
        time_for(request.work, rate(one, &level::started, all, *one.first_start, time));
    one.next_return = std::max(one.next_return + length, earliest);
    const auto after = std::chrono::duration_cast<milliseconds>(one.next_return - time);
    if (after > endless) {
        one.next_return = time + endless;
    }
    return std::min(after, endless);
}

void admission::note_refused(const std::string& job, time_point time)
{
    forget_refused(time);
    if (!refused_.emplace(job, time).second) {
        return;
    }
    refused_by_age_.emplace_back(time, job);
    if (refused_by_age_.size() > most_refusals) {
        refused_.erase(refused_by_age_.front().second);
        refused_by_age_.pop_front();
    }
}

void admission::forget_refused(time_point time)
{
    while (!refused_by_age_.empty() && time - refused_by_age_.front().first > refusals_kept) {
        refused_.erase(refused_by_age_.front().second);
        refused_by_age_.pop_front();
    }
}

time_point admission::first_asked(const std::string& job, time_point time) const
{
    const auto found = refused_.find(job);
    const bool is_known = found != refused_.end() && time - found->second <= refusals_kept;
    return is_known ? found->second : time;
}

admission_verdict admission::decide(const admission_request& request, time_point time)
{
    auto& one = pools_[request.service];
    auto& level = one.levels[request.priority];
    const bool is_measured = one.first_start && time - *one.first_start >= least_measured;
    if (!is_measured || wait_on_time(one, request.priority, time) <= request.slack) {
        level.on_time += request.work;
        return {};
    }
    const auto wait = wait_late(one, request.priority, time);
    if (wait <= request.late_slack || !is_backlog(one)) {
        level.late += request.work;
        return {};
    }
    return {.is_accepted = false, .retry_after = next_return(one, request, wait, time)};
}

} // namespace flamingoseam::workflow
