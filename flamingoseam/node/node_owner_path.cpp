#include "flamingoseam/node/node.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

namespace flamingoseam::node {

namespace {

constexpr milliseconds path_check_interval{50}; ///< Interval of the checks whether a ping is due.

} // namespace

std::optional<owner_process> node::remote_owner() const
{
    const auto owner = membership_->live_owner(options_.shard);
    if (local_owner() || !owner || owner->owner.incarnation == options_.incarnation) {
        return std::nullopt;
    }
    return owner_process{.epoch = owner->epoch, .address = owner->owner.address};
}

bool node::is_owner_unreachable() const
{
    {
        const std::lock_guard lock(mutex_);
        if (!path_.is_unreachable()) {
            return false; // The usual case, which needs no copy of the view.
        }
    }
    const auto owner = remote_owner();
    const std::lock_guard lock(mutex_);
    return owner && path_.is_unreachable(*owner);
}

void node::record_owner_answer(const owner_process& owner)
{
    std::optional<milliseconds> unreachable_for;
    {
        const std::lock_guard lock(mutex_);
        unreachable_for = path_.record_answer(owner, now());
    }
    if (unreachable_for) {
        dependencies_.log->write({.event = "owner_path_answers",
                                  .request = {},
                                  .detail = "epoch " + std::to_string(owner.epoch) + " at " +
                                            to_string(owner.address) + ", reachable again after " +
                                            std::to_string(unreachable_for->count()) + " ms"});
    }
}

/// Pings the owner while calls to it are unanswered, on a separate thread, until the node ends.
void node::monitor_owner_path()
{
    while (true) {
        std::optional<owner_process> pinged;
        {
            std::unique_lock lock(mutex_);
            if (changed_.wait_for(lock, path_check_interval, [this] { return stopping_; })) {
                return;
            }
            pinged = path_.ping_due(now());
            if (pinged) {
                path_.record_ping(now());
            }
        }
        run_guarded("a ping of the owner", [&] {
            if (pinged && pinged == remote_owner()) {
                ping_owner(*pinged);
            }
        });
    }
}

/// Pings the owner's process with a call that its RPC thread answers immediately.
void node::ping_owner(const owner_process& owner)
{
    try {
        client_.confirms_owner_gone(owner.address, owner.epoch, owner_path::ping_timeout);
        record_owner_answer(owner);
        return;
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "a ping of the owner failed: " << cause.what();
        if (cause.id() == refused_connection) {
            record_owner_answer(owner);
            return;
        }
    }
    std::optional<milliseconds> unanswered_for;
    {
        const std::lock_guard lock(mutex_);
        unanswered_for = path_.record_ping_timeout(owner, now());
    }
    if (unanswered_for) {
        dependencies_.log->write({.event = "owner_path_silent",
                                  .request = {},
                                  .detail = "epoch " + std::to_string(owner.epoch) + " at " +
                                            to_string(owner.address) +
                                            ", unreachable, no answer for " +
                                            std::to_string(unanswered_for->count()) + " ms"});
    }
}

} // namespace flamingoseam::node
