#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <cstdint>
#include <optional>

namespace flamingoseam::node {

/// Identifies the process that owns the jobs and where other nodes connect to it.
struct owner_process {
    std::uint64_t epoch = 0;
    endpoint address;

    bool operator==(const owner_process&) const = default;
};

/// Tracks whether this node's calls reach the owner's process. A ping tells a slow owner from an
/// unreachable one: the owner's RPC thread answers pings immediately, however slow the store is. No
/// pings are sent while answers arrive. All operations take constant time. Not thread-safe.
class owner_path {
public:
    /// How long calls stay unanswered before a ping.
    static constexpr milliseconds unanswered_limit{400};
    static constexpr milliseconds ping_timeout{300};
    static constexpr milliseconds ping_interval{300}; ///< Between the starts of two pings.

    /// Records the start of a call to the owner. The path to a new owner is initially reachable.
    void record_call(const owner_process& owner, time_point time)
    {
        if (owner_ != owner) {
            *this = owner_path();
            owner_ = owner;
        }
        if (!waiting_since_) {
            waiting_since_ = time;
        }
    }

    /// Records an answer from the owner's process. Returns how long calls had been unanswered if
    /// the owner was unreachable until now, none otherwise.
    std::optional<milliseconds> record_answer(const owner_process& owner, time_point time)
    {
        if (owner_ != owner) {
            return std::nullopt;
        }
        const auto unanswered_time = unanswered_for(time);
        const bool was_unreachable = is_unreachable_;
        answered_at_ = time;
        waiting_since_.reset();
        is_unreachable_ = false;
        return was_unreachable ? std::optional(unanswered_time) : std::nullopt;
    }

    /// Returns the owner that has to be pinged now, none if no ping is due.
    [[nodiscard]] std::optional<owner_process> ping_due(time_point time) const
    {
        const bool is_unanswered = is_unreachable_ || unanswered_for(time) >= unanswered_limit;
        const bool is_interval_over = !pinged_at_ || time - *pinged_at_ >= ping_interval;
        return is_unanswered && is_interval_over ? owner_ : std::nullopt;
    }

    /// Records the start of a ping.
    void record_ping(time_point time) { pinged_at_ = time; }

    /// Records that the latest ping timed out. Returns how long calls have been unanswered if the
    /// owner becomes unreachable by this. It does not if another call was answered during the ping.
    std::optional<milliseconds> record_ping_timeout(const owner_process& owner, time_point time)
    {
        const bool was_answered = answered_at_ && pinged_at_ && *answered_at_ >= *pinged_at_;
        if (owner_ != owner || is_unreachable_ || was_answered) {
            return std::nullopt;
        }
        is_unreachable_ = true;
        return unanswered_for(time);
    }

    /// Checks whether the owner that was called last is currently unreachable.
    [[nodiscard]] bool is_unreachable() const { return is_unreachable_; }

    /// Checks whether this owner is currently unreachable.
    [[nodiscard]] bool is_unreachable(const owner_process& owner) const
    {
        return is_unreachable_ && owner_ == owner;
    }

private:
    milliseconds unanswered_for(time_point time) const
    {
        return waiting_since_ ? std::chrono::duration_cast<milliseconds>(time - *waiting_since_)
                              : milliseconds(0);
    }

    std::optional<owner_process> owner_;
    std::optional<time_point> waiting_since_; ///< Start of the first call since the latest answer.
    std::optional<time_point> answered_at_;
    std::optional<time_point> pinged_at_;
    bool is_unreachable_ = false;
};

} // namespace flamingoseam::node
