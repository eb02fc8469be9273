#include "flamingoseam/retry/retry_budget.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr std::int64_t one_retry = 100;
constexpr int most_doublings = 6;

} // namespace

void retry_budget::on_fresh(int percent)
{
    hundredths_ = std::min(hundredths_ + percent, most_hundredths);
}

bool retry_budget::take()
{
    if (hundredths_ < one_retry) {
        return false;
    }
    hundredths_ -= one_retry;
    return true;
}

milliseconds backoff(milliseconds base, int attempt, std::uint64_t random)
{
    const auto doublings = std::clamp(attempt - 1, 0, most_doublings);
    const auto longest = base.count() << doublings;
    const auto half = longest / 2;
    const auto jitter = static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half + 1));
    return milliseconds(longest - half + jitter);
}

} // namespace flamingoseam
