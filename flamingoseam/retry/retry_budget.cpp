#include "flamingoseam/retry/retry_budget.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr std::int64_t hundredths_per_retry = 100;
constexpr int max_doublings = 6;

} // namespace

void retry_budget::on_new_request(int percent)
{
    hundredths_ = std::min(hundredths_ + percent, max_hundredths);
}

bool retry_budget::take()
{
    if (hundredths_ < hundredths_per_retry) {
        return false;
    }
    hundredths_ -= hundredths_per_retry;
    return true;
}

milliseconds backoff(milliseconds base, int attempt, std::uint64_t random)
{
    const auto doublings = std::clamp(attempt - 1, 0, max_doublings);
    const auto max_delay = base.count() << doublings;
    const auto half_delay = max_delay / 2;
    const auto jitter =
        static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half_delay + 1));
    return milliseconds(max_delay - half_delay + jitter);
}

} // namespace flamingoseam
