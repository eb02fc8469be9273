#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>

namespace flamingoseam {

/// Bounds retries to a share of the fresh load, so that they can't multiply an overload.
class retry_budget {
public:
    /// Counts a fresh request, which earns `percent` hundredths of a retry.
    void on_fresh(int percent);

    /// Takes one retry out of the budget. Returns false, and takes nothing, when there is none.
    bool take();

private:
    std::int64_t hundredths_ = initial_hundredths;
    static constexpr std::int64_t initial_hundredths = 1000;
    static constexpr std::int64_t most_hundredths = 10'000;
};

/// Returns the pause before retry number `attempt` (1 is the first): `base` doubled with each
/// retry, at most `base` times 64, of which a random half to whole is taken. `random` is any
/// number.
milliseconds backoff(milliseconds base, int attempt, std::uint64_t random);

} // namespace flamingoseam
