#include "flamingoseam/shard/estimator.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoseam {

namespace {

constexpr int samples_to_trust = 20;
constexpr std::size_t most_kinds_per_customer = 1000;
constexpr double run_time_weight = 0.1;
constexpr double peak_decay = 0.995;
constexpr double size_margin = 1.25;
constexpr std::int64_t least_milli_cpus = 10;
constexpr std::int64_t least_memory_mb = 16;

double needed(std::int64_t used, std::int64_t reserved)
{
    const auto amount = static_cast<double>(used);
    return used == reserved ? amount / size_margin : amount;
}

std::int64_t with_margin(double peak, std::int64_t least)
{
    return std::max(least, static_cast<std::int64_t>(std::ceil(peak * size_margin)));
}

} // namespace

void estimator::observe(const std::string& customer, const std::string& kind,
                        const resources& usage, const resources& reserved, milliseconds run_time)
{
    auto& kinds = estimates_[customer];
    if (!kinds.contains(kind) && kinds.size() >= most_kinds_per_customer) {
        return;
    }
    auto& one = kinds[kind];
    const auto run_ms = static_cast<double>(run_time.count());
    const auto weight = one.samples == 0 ? 1.0 : run_time_weight;
    one.mean_run_ms += weight * (run_ms - one.mean_run_ms);
    ++one.samples;
    if (usage.milli_cpus == 0 && usage.memory_mb == 0) {
        return;
    }
    ++one.usage_samples;
    one.peak_milli_cpus =
        std::max(one.peak_milli_cpus * peak_decay, needed(usage.milli_cpus, reserved.milli_cpus));
    one.peak_memory_mb =
        std::max(one.peak_memory_mb * peak_decay, needed(usage.memory_mb, reserved.memory_mb));
}

const estimator::estimate* estimator::find(const std::string& customer,
                                           const std::string& kind) const
{
    const auto kinds = estimates_.find(customer);
    if (kinds == estimates_.end()) {
        return nullptr;
    }
    const auto found = kinds->second.find(kind);
    return found == kinds->second.end() ? nullptr : &found->second;
}

milliseconds estimator::run_time(const std::string& customer, const std::string& kind,
                                 milliseconds declared) const
{
    const auto* one = find(customer, kind);
    if (one == nullptr) {
        return declared;
    }
    return milliseconds(static_cast<std::int64_t>(std::ceil(one->mean_run_ms)));
}

resources estimator::size(const std::string& customer, const std::string& kind,
                          const resources& declared) const
{
    const auto* one = find(customer, kind);
    if (one == nullptr || one->usage_samples < samples_to_trust) {
        return declared;
    }
    auto size = declared;
    size.milli_cpus = with_margin(one->peak_milli_cpus, least_milli_cpus);
    size.memory_mb = with_margin(one->peak_memory_mb, least_memory_mb);
    return size;
}

} // namespace flamingoseam
