#include "flamingoseam/shard/worker_health.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr int failures_to_quarantine = 5;
constexpr std::size_t quarantine_divisor = 4; ///< At most a quarter of a shard is out.
constexpr std::size_t workers_that_blame_the_kind = 3;
constexpr milliseconds probe_interval{5000};

} // namespace

bool worker_health::fails_elsewhere(const std::string& kind, std::size_t worker) const
{
    const auto found = failing_on_.find(kind);
    if (found == failing_on_.end()) {
        return false;
    }
    const auto others = found->second.size() - found->second.count(worker);
    return others >= workers_that_blame_the_kind;
}

bool worker_health::on_ended(std::size_t worker, const std::string& kind, bool failed,
                             std::size_t workers, time_point time)
{
    auto& one = records_[worker];
    if (!failed) {
        failing_on_.erase(kind);
        quarantined_ -= one.quarantined ? 1 : 0;
        one = {};
        return false;
    }
    failing_on_[kind].insert(worker);
    if (fails_elsewhere(kind, worker)) {
        return false;
    }
    ++one.failures_in_row;
    one.failed_kinds.insert(kind);
    one.next_probe = time + probe_interval;
    const auto most_out = std::max<std::size_t>(1, workers / quarantine_divisor);
    if (one.quarantined || one.failures_in_row < failures_to_quarantine ||
        quarantined_ >= most_out) {
        return false;
    }
    one.quarantined = true;
    ++quarantined_;
    return true;
}

std::vector<std::size_t> worker_health::take_due_probes(time_point time)
{
    std::vector<std::size_t> due;
    for (auto& [worker, one] : records_) {
        if (one.quarantined && one.next_probe <= time) {
            one.next_probe = time + probe_interval;
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
