#include "flamingoseam/shard/worker_health.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr int failures_to_quarantine = 5;
constexpr std::size_t quarantine_divisor = 4; ///< At most a quarter of a shard's workers.
/// When a kind fails on this many other workers, its failures are blamed on the kind.
constexpr std::size_t min_failing_workers = 3;
constexpr milliseconds probe_interval{5000};

} // namespace

bool worker_health::fails_on_other_workers(const std::string& kind, std::size_t worker) const
{
    const auto found = failing_on_.find(kind);
    if (found == failing_on_.end()) {
        return false;
    }
    const auto others = found->second.size() - found->second.count(worker);
    return others >= min_failing_workers;
}

bool worker_health::on_ended(std::size_t worker, const std::string& kind, bool failed,
                             std::size_t workers, time_point time)
{
    auto& health = records_[worker];
    if (!failed) {
        failing_on_.erase(kind);
        quarantined_ -= health.quarantined ? 1 : 0;
        health = {};
        return false;
    }
    failing_on_[kind].insert(worker);
    if (fails_on_other_workers(kind, worker)) {
        return false;
    }
    ++health.consecutive_failures;
    health.failed_kinds.insert(kind);
    health.next_probe = time + probe_interval;
    const auto max_quarantined = std::max<std::size_t>(1, workers / quarantine_divisor);
    if (health.quarantined || health.consecutive_failures < failures_to_quarantine ||
        quarantined_ >= max_quarantined) {
        return false;
    }
    health.quarantined = true;
    ++quarantined_;
    return true;
}

std::vector<std::size_t> worker_health::take_due_probes(time_point time)
{
    std::vector<std::size_t> due;
    for (auto& [worker, health] : records_) {
        if (health.quarantined && health.next_probe <= time) {
            health.next_probe = time + probe_interval;
            due.push_back(worker);
        }
    }
    return due;
}

bool worker_health::is_quarantined(std::size_t worker) const
{
    const auto found = records_.find(worker);
    return found != records_.end() && found->second.quarantined;
}

void worker_health::forget(std::size_t worker)
{
    const auto found = records_.find(worker);
    if (found == records_.end()) {
        return;
    }
    quarantined_ -= found->second.quarantined ? 1 : 0;
    records_.erase(found);
}

} // namespace flamingoseam
