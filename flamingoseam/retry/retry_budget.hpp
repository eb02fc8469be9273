#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>

namespace flamingoseam {

/// Limits retries to a fraction of the new requests, so that they can't amplify an overload.
class retry_budget {
public:
    /// Records a new request, which adds `percent` hundredths of a retry to the budget.
    void on_new_request(int percent);

    /// Takes one retry out of the budget. Returns false and takes nothing when less than one is
    /// left.
    bool take();

private:
    std::int64_t hundredths_ = initial_hundredths;
    static constexpr std::int64_t initial_hundredths = 1000;
    static constexpr std::int64_t max_hundredths = 10'000;
};

/// Returns the delay before retry number `attempt`, where 1 is the first. The maximum delay is
/// `base` and doubles with each retry up to 64 times `base`. The result lies between half the
/// maximum delay and the whole of it. `random` is any number and selects the result in this range.
milliseconds backoff(milliseconds base, int attempt, std::uint64_t random);

} // namespace flamingoseam
