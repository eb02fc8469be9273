#include "flamingoseam/shard/estimator.hpp"

#include <algorithm>
#include <cmath>

namespace flamingoseam {

namespace {

constexpr int min_usage_samples = 20;
constexpr std::size_t max_kinds_per_customer = 1000;
constexpr double run_time_weight = 0.1;
constexpr double peak_decay = 0.995;
constexpr double size_margin = 1.25;
constexpr std::int64_t min_milli_cpus = 10;
constexpr std::int64_t min_memory_mb = 16;

double estimated_need(std::int64_t used, std::int64_t reserved)
{
    const auto amount = static_cast<double>(used);
    return used == reserved ? amount / size_margin : amount;
}

std::int64_t with_margin(double peak, std::int64_t minimum)
{
    return std::max(minimum, static_cast<std::int64_t>(std::ceil(peak * size_margin)));
}

} // namespace

void estimator::observe(const std::string& customer, const std::string& kind,
                        const resources& usage, const resources& reserved, milliseconds run_time)
{
    auto& kinds = statistics_[customer];
    if (!kinds.contains(kind) && kinds.size() >= max_kinds_per_customer) {
        return;
    }
    auto& statistics = kinds[kind];
    const auto run_ms = static_cast<double>(run_time.count());
    const auto weight = statistics.samples == 0 ? 1.0 : run_time_weight;
    statistics.mean_run_ms += weight * (run_ms - statistics.mean_run_ms);
    ++statistics.samples;
    if (usage.milli_cpus == 0 && usage.memory_mb == 0) {
        return;
    }
    ++statistics.usage_samples;
    statistics.peak_milli_cpus = std::max(statistics.peak_milli_cpus * peak_decay,
                                          estimated_need(usage.milli_cpus, reserved.milli_cpus));
    statistics.peak_memory_mb = std::max(statistics.peak_memory_mb * peak_decay,
                                         estimated_need(usage.memory_mb, reserved.memory_mb));
}

const estimator::kind_statistics* estimator::find(const std::string& customer,
                                                  const std::string& kind) const
{
    const auto kinds = statistics_.find(customer);
    if (kinds == statistics_.end()) {
        return nullptr;
    }
    const auto found = kinds->second.find(kind);
    return found == kinds->second.end() ? nullptr : &found->second;
}

milliseconds estimator::run_time(const std::string& customer, const std::string& kind,
                                 milliseconds declared) const
{
    const auto* statistics = find(customer, kind);
    if (statistics == nullptr) {
        return declared;
    }
    return milliseconds(static_cast<std::int64_t>(std::ceil(statistics->mean_run_ms)));
}

resources estimator::size(const std::string& customer, const std::string& kind,
                          const resources& declared) const
{
    const auto* statistics = find(customer, kind);
    if (statistics == nullptr || statistics->usage_samples < min_usage_samples) {
        return declared;
    }
    auto size = declared;
    size.milli_cpus = with_margin(statistics->peak_milli_cpus, min_milli_cpus);
    size.memory_mb = with_margin(statistics->peak_memory_mb, min_memory_mb);
    return size;
}

} // namespace flamingoseam
