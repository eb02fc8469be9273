#include "flamingoseam/node/node.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

namespace flamingoseam::node {

namespace {

constexpr milliseconds path_check{50}; ///< Between looks whether a ping is due.

} // namespace

std::optional<owner_process> node::other_owner() const
{
    const auto owner = membership_->view().live_owner();
    if (local_owner() || !owner || owner->owner.incarnation == incarnation_) {
        return std::nullopt;
    }
    return owner_process{.epoch = owner->epoch, .address = owner->owner.address};
}

bool node::is_owner_silent() const
{
    {
        const std::lock_guard lock(mutex_);
        if (!path_.is_silent()) {
            return false; // The usual case, without a copy of the members.
        }
    }
    const auto owner = other_owner();
    const std::lock_guard lock(mutex_);
    return owner && path_.is_silent(*owner);
}

void node::note_owner_answered(const owner_process& owner)
{
    std::optional<milliseconds> silent_for;
    {
        const std::lock_guard lock(mutex_);
        silent_for = path_.note_answer(owner, now());
    }
    if (silent_for) {
        parts_.log->write({.event = "owner_path_answers",
                           .request = {},
                           .detail = "epoch " + std::to_string(owner.epoch) + " at " +
                                     to_string(owner.address) + ", after " +
                                     std::to_string(silent_for->count()) + " ms"});
    }
}

/// Pings the owner while nothing comes from it, on a thread of its own, until the node ends.
void node::watch_owner_path()
{
    while (true) {
        std::optional<owner_process> pinged;
        {
            std::unique_lock lock(mutex_);
            if (changed_.wait_for(lock, path_check, [this] { return stopping_; })) {
                return;
            }
            pinged = path_.ping_due(now());
            if (pinged) {
                path_.note_ping(now());
            }
        }
        if (pinged && pinged == other_owner()) {
            ping_owner(*pinged);
        }
    }
}

/// Asks the owner's process something that its RPC thread answers at once.
void node::ping_owner(const owner_process& owner)
{
    try {
        client_.confirms_owner_gone(owner.address, owner.epoch, owner_path::ping_timeout);
        note_owner_answered(owner);
        return;
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "the owner does not answer a ping: " << cause.what();
        if (cause.id() == refused_connection) {
            note_owner_answered(owner);
            return;
        }
    }
    std::optional<milliseconds> quiet_for;
    {
        const std::lock_guard lock(mutex_);
        quiet_for = path_.note_silence(owner, now());
    }
    if (quiet_for) {
        parts_.log->write({.event = "owner_path_silent",
                           .request = {},
                           .detail = "epoch " + std::to_string(owner.epoch) + " at " +
                                     to_string(owner.address) + ", no answer for " +
                                     std::to_string(quiet_for->count()) + " ms"});
    }
}

} // namespace flamingoseam::node
