#pragma once

#include "flamingoseam/core/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace flamingoseam::node {

/// Detects from refused connections that the owner's process has ended, before its lease expires.
/// An observation by one node is only a suspicion, since that node's own network links may be down;
/// an observation by a second node confirms it. Not thread-safe.
class owner_suspicion {
public:
    /// How long an owner stays suspected after a refused connection.
    static constexpr milliseconds suspicion_lifetime{1'000};

    /// Records that the owner of an epoch refused a connection. Returns whether the owner was not
    /// suspected before.
    bool record_refusal(std::uint64_t epoch, time_point time)
    {
        const bool is_new = !is_suspected(epoch, time);
        suspected_epoch_ = std::max(suspected_epoch_, epoch);
        refused_at_ = time;
        return is_new;
    }

    /// Checks whether the owner of an epoch refused a connection within the suspicion lifetime.
    [[nodiscard]] bool is_suspected(std::uint64_t epoch, time_point time) const
    {
        return epoch != 0 && suspected_epoch_ == epoch && time - refused_at_ < suspicion_lifetime;
    }

    /// Records that the owner of an epoch refused a connection of another node as well.
    void confirm(std::uint64_t epoch) { gone_epoch_ = std::max(gone_epoch_, epoch); }

    /// Checks whether it is confirmed that the owner process of an epoch has ended.
    [[nodiscard]] bool is_gone(std::uint64_t epoch) const
    {
        return epoch != 0 && gone_epoch_ == epoch;
    }

    /// Checks whether a current suspicion is not confirmed by another node yet.
    [[nodiscard]] bool awaits_confirmation(time_point time) const
    {
        return is_suspected(suspected_epoch_, time) && gone_epoch_ < suspected_epoch_;
    }

private:
    std::uint64_t suspected_epoch_ = 0; ///< Epoch of the latest owner that refused a connection.
    time_point refused_at_{};
    std::uint64_t gone_epoch_ = 0; ///< Epoch of the latest owner that is confirmed to have ended.
};

} // namespace flamingoseam::node
