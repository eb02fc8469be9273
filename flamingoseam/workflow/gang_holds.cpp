#include "flamingoseam/workflow/gang_holds.hpp"

#include <algorithm>
#include <array>

namespace flamingoseam::workflow {

namespace {

/// Times from now at which the expected free capacity for a gang is examined.
constexpr std::array<milliseconds, 10> look_ahead = {
    milliseconds(0),     milliseconds(250),   milliseconds(500),   milliseconds(1'000),
    milliseconds(1'500), milliseconds(2'000), milliseconds(3'000), milliseconds(4'500),
    milliseconds(7'000), milliseconds(12'000)};
constexpr milliseconds grace{
    1'500}; ///< Time from the expected start of a gang until its reservation expires.
constexpr int least_percent_to_extrapolate = 10;

time_point expected_end(const held_run& run, time_point time)
{
    const auto elapsed = time - run.ordered_at;
    if (run.percent >= least_percent_to_extrapolate) {
        return run.ordered_at + elapsed * 100 / run.percent;
    }
    return std::max(time + milliseconds(100), run.ordered_at + run.estimate);
}

/// Returns how many tasks are expected to fit on a worker at `moment`, from the expected ends of
/// its runs.
int fits_at(const fleet_worker& worker, const resources& size, time_point moment, time_point time,
            const yield_test& may_yield)
{
    auto room = worker.free();
    for (const auto& [name, run] : worker.runs) {
        const bool yields =
            may_yield && time + gang_holds::yield_time <= moment && may_yield(name, run);
        if (run.stop_wanted || yields || expected_end(run, time) <= moment) {
            room += run.size;
        }
    }
    return tasks_that_fit(size, room);
}

} // namespace

std::optional<gang_hold> plan_gang_hold(const fleet& workers,
                                        const std::vector<std::size_t>& offered,
                                        const ready_step& step, time_point time,
                                        const yield_test& may_yield)
{
    const int needed = step.record().waiting();
    for (const auto ahead : look_ahead) {
        std::vector<std::pair<int, std::size_t>> places;
        for (const auto worker : offered) {
            const int fits =
                fits_at(workers.at(worker), step.spec().size, time + ahead, time, may_yield);
            if (fits > 0) {
                places.emplace_back(fits, worker);
            }
        }
        std::sort(places.rbegin(), places.rend());
        gang_hold hold{.job = step.job->spec.id,
                       .step = step.step,
                       .priority = step.job->terms.priority,
                       .workers = {},
                       .expected = time + ahead,
                       .expires = time + ahead + grace,
                       .needs_yielding = may_yield != nullptr};
        int found = 0;
        for (const auto& [fits, worker] : places) {
            if (found >= needed) {
                break;
            }
            found += fits;
            hold.workers.insert(worker);
        }
        if (found >= needed) {
            return hold;
        }
    }
    return std::nullopt;
}

const gang_hold* gang_holds::on_worker(std::size_t worker) const
{
    if (worker >= holds_on_.size() || holds_on_[worker] == 0) {
        return nullptr;
    }
    const auto found = std::find_if(holds_.begin(), holds_.end(), [&](const gang_hold& hold) {
        return hold.workers.contains(worker);
    });
    return found == holds_.end() ? nullptr : &*found;
}

const gang_hold* gang_holds::of_step(const std::string& job, int step) const
{
    const auto found = std::find_if(holds_.begin(), holds_.end(), [&](const gang_hold& hold) {
        return hold.step == step && hold.job == job;
    });
    return found == holds_.end() ? nullptr : &*found;
}

void gang_holds::add(gang_hold hold)
{
    for (const auto worker : hold.workers) {
        holds_on_.resize(std::max(holds_on_.size(), worker + 1));
        ++holds_on_[worker];
    }
    holds_.push_back(std::move(hold));
}

template <typename Condition> void gang_holds::drop_if(const Condition& condition)
{
    std::erase_if(holds_, [&](const gang_hold& hold) {
        if (!condition(hold)) {
            return false;
        }
        for (const auto worker : hold.workers) {
            --holds_on_[worker];
        }
        return true;
    });
}

void gang_holds::drop(const std::string& job, int step)
{
    drop_if([&](const gang_hold& hold) { return hold.step == step && hold.job == job; });
}

void gang_holds::drop_expired(time_point time)
{
    drop_if([&](const gang_hold& hold) { return hold.expires <= time; });
}

} // namespace flamingoseam::workflow
