#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

namespace flamingoseam {

/// An amount of the resources of a worker. All fields are integers so that sums are exact.
struct resources {
    std::int64_t milli_cpus = 0; ///< Thousandths of a processor.
    std::int64_t memory_mb = 0;  ///< Megabytes.
    std::int64_t accelerators = 0;
    std::int64_t slots = 0; ///< Number of concurrent tasks.

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other)
    {
        milli_cpus += other.milli_cpus;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        milli_cpus -= other.milli_cpus;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }

    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }

    friend resources operator*(const resources& amount, std::int64_t count)
    {
        return {amount.milli_cpus * count, amount.memory_mb * count, amount.accelerators * count,
                amount.slots * count};
    }
};

/// Checks whether `need` is at most `available` in every field. Complexity: constant.
inline bool fits(const resources& need, const resources& available)
{
    return need.milli_cpus <= available.milli_cpus && need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators && need.slots <= available.slots;
}

/// Checks that no field is negative. Complexity: constant.
inline bool is_valid(const resources& amount)
{
    return fits({}, amount);
}

/// Returns the field-by-field maximum. Complexity: constant.
inline resources max(const resources& left, const resources& right)
{
    return {std::max(left.milli_cpus, right.milli_cpus), std::max(left.memory_mb, right.memory_mb),
            std::max(left.accelerators, right.accelerators), std::max(left.slots, right.slots)};
}

/// Returns the field-by-field minimum. Complexity: constant.
inline resources min(const resources& left, const resources& right)
{
    return {std::min(left.milli_cpus, right.milli_cpus), std::min(left.memory_mb, right.memory_mb),
            std::min(left.accelerators, right.accelerators), std::min(left.slots, right.slots)};
}

/// Returns the dominant share: the largest ratio `part / whole` of all fields. Fields that are zero
/// in `whole` are ignored. Complexity: constant.
inline double dominant_share(const resources& part, const resources& whole)
{
    const std::array<std::array<std::int64_t, 2>, 4> fields = {
        {{part.milli_cpus, whole.milli_cpus},
         {part.memory_mb, whole.memory_mb},
         {part.accelerators, whole.accelerators},
         {part.slots, whole.slots}}};
    double largest = 0;
    for (const auto& [used, total] : fields) {
        if (total > 0) {
            largest = std::max(largest, static_cast<double>(used) / static_cast<double>(total));
        }
    }
    return largest;
}

} // namespace flamingoseam
