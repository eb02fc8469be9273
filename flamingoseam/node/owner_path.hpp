#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <cstdint>
#include <optional>

namespace flamingoseam::node {

/// The process that owns the jobs, as the other nodes reach it.
struct owner_process {
    std::uint64_t epoch = 0;
    endpoint address;

    bool operator==(const owner_process&) const = default;
};

/// Whether anything comes back from the owner's process. An owner whose calls take long is told
/// from one that can't be reached by a ping, which its RPC thread answers at once however slow the
/// store is. While answers come, nothing is pinged. All is constant time. Not safe from two
/// threads.
class owner_path {
public:
    static constexpr milliseconds quiet_limit{400}; ///< Without an answer, before a ping.
    static constexpr milliseconds ping_timeout{300};
    static constexpr milliseconds ping_interval{300}; ///< Between the starts of two pings.

    /// Notes that a call to the owner begins. Another owner's path begins as a good one.
    void note_sent(const owner_process& owner, time_point time)
    {
        if (owner_ != owner) {
            *this = owner_path();
            owner_ = owner;
        }
        if (!waiting_since_) {
            waiting_since_ = time;
        }
    }

    /// Notes that something came from the owner's process. Returns how long the path was silent if
    /// this ends it.
    std::optional<milliseconds> note_answer(const owner_process& owner, time_point time)
    {
        if (owner_ != owner) {
            return std::nullopt;
        }
        const auto quiet = quiet_for(time);
        const bool was_silent = is_silent_;
        answered_at_ = time;
        waiting_since_.reset();
        is_silent_ = false;
        return was_silent ? std::optional(quiet) : std::nullopt;
    }

    /// Returns the owner that has to be pinged now, none if there is nothing to ask.
    [[nodiscard]] std::optional<owner_process> ping_due(time_point time) const
    {
        const bool is_quiet = is_silent_ || quiet_for(time) >= quiet_limit;
        const bool is_paced = !pinged_at_ || time - *pinged_at_ >= ping_interval;
        return is_quiet && is_paced ? owner_ : std::nullopt;
    }

    /// Notes that the owner is pinged.
    void note_ping(time_point time) { pinged_at_ = time; }

    /// Notes that the newest ping had no answer. Returns how long the owner has been quiet if the
    /// path falls silent by it; an answer to another call that came meanwhile prevents that.
    std::optional<milliseconds> note_silence(const owner_process& owner, time_point time)
    {
        const bool was_heard = answered_at_ && pinged_at_ && *answered_at_ >= *pinged_at_;
        if (owner_ != owner || is_silent_ || was_heard) {
            return std::nullopt;
        }
        is_silent_ = true;
        return quiet_for(time);
    }

    /// Tells whether the owner that was asked last can't be reached at present.
    [[nodiscard]] bool is_silent() const { return is_silent_; }

    /// Tells whether this owner can't be reached at present.
    [[nodiscard]] bool is_silent(const owner_process& owner) const
    {
        return is_silent_ && owner_ == owner;
    }

private:
    milliseconds quiet_for(time_point time) const
    {
        return waiting_since_ ? std::chrono::duration_cast<milliseconds>(time - *waiting_since_)
                              : milliseconds(0);
    }

    std::optional<owner_process> owner_;
    std::optional<time_point> waiting_since_; ///< The first call since the newest answer.
    std::optional<time_point> answered_at_;
    std::optional<time_point> pinged_at_;
    bool is_silent_ = false;
};

} // namespace flamingoseam::node
