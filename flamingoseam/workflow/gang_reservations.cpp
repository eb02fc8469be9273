#include "flamingoseam/workflow/gang_reservations.hpp"

#include <algorithm>
#include <array>

namespace flamingoseam::workflow {

namespace {

/// Times from now at which the expected free capacity for a gang is examined.
constexpr std::array<milliseconds, 10> examined_times = {
    milliseconds(0),     milliseconds(250),   milliseconds(500),   milliseconds(1'000),
    milliseconds(1'500), milliseconds(2'000), milliseconds(3'000), milliseconds(4'500),
    milliseconds(7'000), milliseconds(12'000)};
/// Time from the expected start of a gang until its reservation expires.
constexpr milliseconds expiry_grace{1'500};
constexpr int min_percent_to_extrapolate = 10;

time_point expected_end(const assigned_run& run, time_point time)
{
    const auto elapsed = time - run.ordered_at;
    if (run.percent >= min_percent_to_extrapolate) {
        return run.ordered_at + elapsed * 100 / run.percent;
    }
    return std::max(time + milliseconds(100), run.ordered_at + run.estimate);
}

/// Returns how many tasks are expected to fit on a worker at `moment`, from the expected ends of
/// its runs.
int fits_at(const fleet_worker& worker, const resources& size, time_point moment, time_point time,
            const preemption_predicate& may_preempt)
{
    auto free_capacity = worker.free();
    for (const auto& [name, run] : worker.runs) {
        const bool is_preempted = may_preempt &&
                                  time + gang_reservations::preemption_time <= moment &&
                                  may_preempt(name, run);
        if (run.stop_requested || is_preempted || expected_end(run, time) <= moment) {
            free_capacity += run.size;
        }
    }
    return tasks_that_fit(size, free_capacity);
}

} // namespace

std::optional<gang_reservation> plan_gang_reservation(const fleet& workers,
                                                      const std::vector<std::size_t>& offered,
                                                      const ready_step& step, time_point time,
                                                      const preemption_predicate& may_preempt)
{
    const int needed = step.record().waiting();
    for (const auto ahead : examined_times) {
        std::vector<std::pair<int, std::size_t>> candidates;
        for (const auto worker : offered) {
            const int fits =
                fits_at(workers.at(worker), step.spec().size, time + ahead, time, may_preempt);
            if (fits > 0) {
                candidates.emplace_back(fits, worker);
            }
        }
        std::sort(candidates.rbegin(), candidates.rend());
        gang_reservation reservation{.job = step.job->spec.id,
                                     .step = step.step,
                                     .priority = step.job->terms.priority,
                                     .workers = {},
                                     .expected = time + ahead,
                                     .expires = time + ahead + expiry_grace,
                                     .needs_preemption = may_preempt != nullptr};
        int found = 0;
        for (const auto& [fits, worker] : candidates) {
            if (found >= needed) {
                break;
            }
            found += fits;
            reservation.workers.insert(worker);
        }
        if (found >= needed) {
            return reservation;
        }
    }
    return std::nullopt;
}

const gang_reservation* gang_reservations::on_worker(std::size_t worker) const
{
    if (worker >= reservation_counts_.size() || reservation_counts_[worker] == 0) {
        return nullptr;
    }
    const auto found = std::find_if(
        reservations_.begin(), reservations_.end(),
        [&](const gang_reservation& reservation) { return reservation.workers.contains(worker); });
    return found == reservations_.end() ? nullptr : &*found;
}

const gang_reservation* gang_reservations::of_step(const std::string& job, int step) const
{
    const auto found = std::find_if(reservations_.begin(), reservations_.end(),
                                    [&](const gang_reservation& reservation) {
                                        return reservation.step == step && reservation.job == job;
                                    });
    return found == reservations_.end() ? nullptr : &*found;
}

void gang_reservations::add(gang_reservation reservation)
{
    for (const auto worker : reservation.workers) {
        reservation_counts_.resize(std::max(reservation_counts_.size(), worker + 1));
        ++reservation_counts_[worker];
    }
    reservations_.push_back(std::move(reservation));
}

template <typename Condition> void gang_reservations::drop_if(const Condition& condition)
{
    std::erase_if(reservations_, [&](const gang_reservation& reservation) {
        if (!condition(reservation)) {
            return false;
        }
        for (const auto worker : reservation.workers) {
            --reservation_counts_[worker];
        }
        return true;
    });
}

void gang_reservations::drop(const std::string& job, int step)
{
    drop_if([&](const gang_reservation& reservation) {
        return reservation.step == step && reservation.job == job;
    });
}

std::vector<gang_reservation> gang_reservations::drop_expired(time_point time)
{
    std::vector<gang_reservation> expired;
    drop_if([&](const gang_reservation& reservation) {
        if (reservation.expires > time) {
            return false;
        }
        expired.push_back(reservation);
        return true;
    });
    return expired;
}

} // namespace flamingoseam::workflow
