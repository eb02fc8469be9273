#pragma once

#include "flamingoseam/core/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace flamingoseam::node {

/// What refused connections tell about the owner's process, before its lease runs out. One node's
/// observation is a suspicion only, since its own links may be cut; a second node's makes it sure.
/// Not safe from two threads.
class owner_suspicion {
public:
    /// How long a refused connection is held against an owner.
    static constexpr milliseconds fresh_for{1'000};

    /// Notes that the owner of an epoch refused a connection. Returns whether that is news.
    bool note_refused(std::uint64_t epoch, time_point time)
    {
        const bool is_news = !is_suspected(epoch, time);
        epoch_ = std::max(epoch_, epoch);
        refused_at_ = time;
        return is_news;
    }

    /// Tells whether the owner of an epoch refused a connection lately.
    [[nodiscard]] bool is_suspected(std::uint64_t epoch, time_point time) const
    {
        return epoch != 0 && epoch_ == epoch && time - refused_at_ < fresh_for;
    }

    /// Notes that another node was refused by the owner of an epoch as well.
    void confirm(std::uint64_t epoch) { gone_epoch_ = std::max(gone_epoch_, epoch); }

    /// Tells whether the process of the owner of an epoch has ended.
    [[nodiscard]] bool is_gone(std::uint64_t epoch) const
    {
        return epoch != 0 && gone_epoch_ == epoch;
    }

    /// Tells whether a suspicion waits for another node's word.
    [[nodiscard]] bool is_open(time_point time) const
    {
        return is_suspected(epoch_, time) && gone_epoch_ < epoch_;
    }

private:
    std::uint64_t epoch_ = 0; ///< Of the newest owner that refused a connection.
    time_point refused_at_{};
    std::uint64_t gone_epoch_ = 0;
};

} // namespace flamingoseam::node
