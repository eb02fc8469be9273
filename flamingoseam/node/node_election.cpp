#include "flamingoseam/node/node.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/node/candidate_order.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds election_interval{1'000};      ///< Between looks when nothing changes.
constexpr milliseconds election_interval_without{30}; ///< The same while there is no owner.
constexpr milliseconds offer_timeout{150};
constexpr milliseconds offer_interval{500}; ///< The node that was asked needs some time.
constexpr milliseconds outranks_for{2'000}; ///< A node that joined just now may go again.
/// A node that gave the jobs away since the store did not answer it leaves them there for so long.
constexpr milliseconds pause_after_giving_away{15'000};
constexpr milliseconds weaker_delay{900};    ///< The stronger nodes have noticed by then.
constexpr milliseconds fresh_renewal{300};   ///< A node that renewed so lately reaches the store.
constexpr milliseconds confirm_timeout{100}; ///< Of the question whether the owner is gone.
constexpr milliseconds hand_over_check{10};

/// Whoever lets go of an owner last must not wait: its threads may be in calls that take seconds.
void end_in_background(job_owner* owner)
{
    owner->request_stop();
    std::thread([owner] { delete owner; }).detach();
}

} // namespace

/// Nothing listens at the owner's address, so its process has probably ended.
void node::note_refused_by(std::uint64_t epoch)
{
    {
        const std::lock_guard lock(mutex_);
        if (!suspicion_.note_refused(epoch, now())) {
            return;
        }
        view_changed_ = true;
    }
    changed_.notify_all();
}

void node::on_view_changed()
{
    {
        const std::lock_guard lock(mutex_);
        view_changed_ = true;
        ++changes_;
    }
    changed_.notify_all();
}

void node::run_election()
{
    while (const auto events = next_events()) {
        const auto view = membership_->view();
        if (events->owner_lost || is_replaced(view)) {
            drop_owner();
        }
        update_lanes(view);
        log_members(view);
        if (events->store_is_away && now() >= next_offer_) {
            next_offer_ = now() + offer_interval;
            if (offer_to_others(view, false)) {
                may_outrank_from_ = now() + pause_after_giving_away;
            }
        }
        confirm_suspicion(view);
        const bool is_offered = events->offered_epoch != 0 && view.owner &&
                                view.owner->epoch == events->offered_epoch && !local_owner();
        const bool is_needed = wants_to_take_over(view, now()) || outranks_owner(view, now());
        if (!leaving_ && (is_offered || is_needed)) {
            take_over(view);
        }
    }
}

/// Waits for something to look at. Returns none when the node ends.
std::optional<node::election_events> node::next_events()
{
    std::unique_lock lock(mutex_);
    const bool is_calm = !owner_missing_since_ && !suspicion_.is_open(now());
    changed_.wait_for(lock, is_calm ? election_interval : election_interval_without, [this] {
        return stopping_ || view_changed_ || owner_lost_ || store_is_away_ || offered_epoch_ != 0;
    });
    if (stopping_) {
        return std::nullopt;
    }
    view_changed_ = false;
    return election_events{.owner_lost = owner_lost_,
                           .store_is_away = std::exchange(store_is_away_, false),
                           .offered_epoch = std::exchange(offered_epoch_, 0)};
}

/// Tells whether another node has become the owner in place of this one.
bool node::is_replaced(const membership_view& view) const
{
    const auto owner = local_owner();
    return owner && view.owner && view.owner->epoch > owner->epoch();
}

/// A refused connection alone may come from a cut of this node's own links, so another node has to
/// see it too before the owner counts as gone.
void node::confirm_suspicion(const membership_view& view)
{
    if (!view.owner || local_owner()) {
        return;
    }
    const auto epoch = view.owner->epoch;
    {
        const std::lock_guard lock(mutex_);
        if (!suspicion_.is_suspected(epoch, now()) || suspicion_.is_gone(epoch)) {
            return;
        }
    }
    for (const auto& [name, one] : view.members) {
        if (name == options_.name || name == view.owner->owner.name) {
            continue;
        }
        try {
            if (client_.confirms_owner_gone(one.address, epoch, confirm_timeout)) {
                note_owner_gone(view, name);
                return;
            }
        } catch (const transport_error& cause) {
            LOG_EVERY_N(WARNING, 10) << "a node can't be asked about the owner: " << cause.what();
        }
    }
}

void node::note_owner_gone(const membership_view& view, const std::string& witness)
{
    {
        const std::lock_guard lock(mutex_);
        suspicion_.confirm(view.owner->epoch);
    }
    parts_.log->write(
        {.event = "owner_gone",
         .request = {},
         .detail = view.owner->owner.name + " refuses connections, as " + witness + " confirms"});
    offer_in_place_of(view);
}

bool node::is_gone(std::uint64_t epoch) const
{
    const std::lock_guard lock(mutex_);
    return suspicion_.is_gone(epoch);
}

void node::confirm_owner_gone(std::uint64_t epoch, reply_flag reply)
{
    bool is_suspected = false;
    {
        const std::lock_guard lock(mutex_);
        is_suspected = suspicion_.is_suspected(epoch, now());
    }
    reply(is_suspected);
}

milliseconds node::own_delay(const membership_view& view) const
{
    const auto order = candidate_order(view, view.owner ? view.owner->epoch : 0);
    const auto own = std::ranges::find(order, options_.name, &member::name);
    const auto ahead = std::distance(order.begin(), own);
    auto delay = has_ended(view) ? milliseconds(0) : options_.take_over_grace;
    if (find_stronger(view, membership_->self(), 0)) {
        delay += weaker_delay;
    }
    return delay + ahead * options_.take_over_step;
}

/// Tells whether the owner has certainly ended and will not come back: it has handed over, its
/// process was started anew, or its port is closed.
bool node::has_ended(const membership_view& view) const
{
    if (!view.owner || view.owner->owner.name.empty() || is_gone(view.owner->epoch)) {
        return true;
    }
    const auto member = view.members.find(view.owner->owner.name);
    return member != view.members.end() &&
           member->second.incarnation != view.owner->owner.incarnation;
}

/// Tells whether some process answers for the jobs, as far as this node knows.
bool node::is_served(const membership_view& view) const
{
    const auto owner = view.live_owner();
    if (!owner || is_gone(owner->epoch)) {
        return false;
    }
    // A claim of this node that got no answer may have been carried out after all.
    return owner->owner.incarnation != incarnation_ || local_owner() != nullptr;
}

/// Asks the other nodes, one after the other, to take ownership over: when this node no longer
/// reaches the store, or is about to end. Returns whether one will try.
bool node::offer_to_others(const membership_view& view, bool is_leaving)
{
    if (!local_owner() || !view.owner) {
        return false;
    }
    const ownership_offer offer{.epoch = view.owner->epoch, .is_leaving = is_leaving};
    return std::ranges::any_of(candidate_order(view, offer.epoch), [&](const member& one) {
        return one.name != options_.name && offer_to(one, offer);
    });
}

/// Asks one node to take ownership over. Returns whether it will try.
bool node::offer_to(const member& other, const ownership_offer& offer)
{
    try {
        if (!client_.offer_ownership(other.address, offer, offer_timeout)) {
            return false;
        }
        parts_.log->write(
            {.event = "ownership_offered", .request = {}, .detail = "to " + other.name});
        return true;
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 10) << "ownership can't be offered: " << cause.what();
        return false;
    }
}

/// Tells whether this node should own the jobs in place of a much weaker owner, which may have no
/// processor time left to pass them on.
bool node::outranks_owner(const membership_view& view, time_point time)
{
    const auto owner = view.live_owner();
    const auto stronger = owner ? find_stronger(view, owner->owner, owner->epoch) : std::nullopt;
    const bool is_sound = membership_->is_certain() && time >= may_outrank_from_;
    if (!stronger || stronger->name != options_.name || !is_sound) {
        outranks_since_.reset();
        return false;
    }
    if (!outranks_since_) {
        outranks_since_ = time;
    }
    return time - *outranks_since_ >= outranks_for;
}

/// Tells the strongest node that the owner is gone, since it may have had no call to notice it by;
/// nodes that are no stronger than this one are left to their turns.
void node::offer_in_place_of(const membership_view& view)
{
    const ownership_offer offer{.epoch = view.owner->epoch, .is_leaving = false};
    for (const auto& one : candidate_order(view, offer.epoch)) {
        if (one.processor_share <= options_.processor_share) {
            return;
        }
        if (one.name != view.owner->owner.name && offer_to(one, offer)) {
            return;
        }
    }
}

void node::offer_ownership(const ownership_offer& offer, reply_flag reply)
{
    // An owner that does not reach the store needs a node that does, however slow the store is.
    const bool reaches_store = offer.is_leaving ? membership_->is_certain()
                                                : membership_->was_renewed_within(fresh_renewal);
    const bool can_take = !leaving_ && !local_owner() && membership_->has_joined() && reaches_store;
    if (can_take) {
        {
            const std::lock_guard lock(mutex_);
            offered_epoch_ = offer.epoch;
        }
        changed_.notify_all();
    }
    reply(can_take);
}

void node::log_members(const membership_view& view)
{
    std::set<std::string> members;
    for (const auto& [name, one] : view.members) {
        members.insert(name + " " + one.incarnation);
    }
    for (const auto& one : members) {
        if (!logged_members_.contains(one)) {
            parts_.log->write({.event = "member_joined", .request = {}, .detail = one});
        }
    }
    for (const auto& one : logged_members_) {
        if (!members.contains(one)) {
            parts_.log->write({.event = "member_left", .request = {}, .detail = one});
        }
    }
    logged_members_ = std::move(members);
}

bool node::wants_to_take_over(const membership_view& view, time_point time)
{
    const bool is_needed = !is_served(view) && !local_owner();
    const auto delay = own_delay(view);
    const std::lock_guard lock(mutex_);
    if (!is_needed || !membership_->has_joined() || !membership_->is_certain()) {
        owner_missing_since_.reset();
        return false;
    }
    if (!owner_missing_since_) {
        owner_missing_since_ = time;
    }
    return time >= *owner_missing_since_ + delay;
}

std::vector<std::string> node::head_keys() const
{
    std::vector<std::string> keys;
    for (std::size_t index = 0; index < options_.chains; ++index) {
        keys.push_back(head_prefix() + std::to_string(index));
    }
    return keys;
}

void node::take_over(const membership_view& view)
{
    try {
        const auto claimed =
            claim_ownership(*parts_.stores(), {.owner_key = membership_->owner_key(),
                                               .head_keys = head_keys(),
                                               .self = membership_->self(),
                                               .known_epoch = view.owner ? view.owner->epoch : 0,
                                               .known_revision = view.owner_revision});
        if (claimed) {
            begin_ownership(*claimed);
        }
    } catch (const error& cause) {
        LOG(WARNING) << "taking over failed: " << cause.what();
    }
    const std::lock_guard lock(mutex_);
    owner_missing_since_.reset();
}

void node::begin_ownership(const claimed_head& claimed)
{
    parts_.log->write({.event = "owner_begins",
                       .request = {},
                       .detail = "epoch " + std::to_string(claimed.head.epoch)});
    const auto record_keys = keys();
    auto stored = read_stored_state(parts_.stores, record_keys);
    job_owner_start start{.head = claimed.head,
                          .revision = claimed.revision,
                          .jobs = std::move(stored.jobs),
                          .leased_workers = std::move(stored.roster)};
    job_owner_dependencies parts{
        .head_keys = head_keys(),
        .stores = parts_.stores,
        .keys = record_keys,
        .worker_lease = options_.worker_lease,
        .ended_kept = options_.ended_kept,
        .channels = parts_.channels,
        .directory = parts_.directory,
        .permissions = [this](const std::string& name) { return lane_call(name); },
        .log = parts_.log,
        .metrics = parts_.metrics,
        .is_certain = [this] { return membership_->is_certain(); },
        .on_store_unreachable =
            [this] {
                {
                    const std::lock_guard lock(mutex_);
                    store_is_away_ = true;
                }
                changed_.notify_all();
            },
        .on_superseded =
            [this] {
                {
                    const std::lock_guard lock(mutex_);
                    owner_lost_ = true;
                }
                changed_.notify_all();
            }};
    std::shared_ptr<job_owner> owner(new job_owner(std::move(start), std::move(parts)),
                                     end_in_background);
    {
        const std::lock_guard lock(mutex_);
        owner_ = std::move(owner);
        owner_lost_ = false;
        ++changes_;
    }
    changed_.notify_all();
    update_lanes(membership_->view());
}

void node::drop_owner()
{
    std::shared_ptr<job_owner> dropped;
    {
        const std::lock_guard lock(mutex_);
        dropped = std::exchange(owner_, nullptr);
        owner_lost_ = false;
    }
    if (!dropped) {
        return;
    }
    dropped->request_stop();
}

/// Goes on serving while another node takes over, so that hardly a moment is without an owner.
/// Returns whether one has.
bool node::hand_over_to_another()
{
    const auto end = now() + options_.hand_over_limit;
    if (!offer_to_others(membership_->view(), true)) {
        return false;
    }
    while (local_owner() && now() < end) {
        std::this_thread::sleep_for(hand_over_check);
    }
    return local_owner() == nullptr;
}

void node::leave()
{
    std::shared_ptr<job_owner> owner;
    {
        const std::lock_guard lock(mutex_);
        leaving_ = true;
        owner = owner_lost_ ? nullptr : owner_;
    }
    if (owner && !hand_over_to_another()) {
        const auto view = membership_->view();
        const owner_record nobody{.epoch = view.owner ? view.owner->epoch : 0, .owner = {}};
        const bool written = owner->hand_over({membership_->owner_key(), write_owner(nobody)},
                                              options_.hand_over_limit);
        parts_.log->write({.event = "owner_ends",
                           .request = {},
                           .detail = written ? "handed over" : "the store did not answer"});
        drop_owner();
    }
    membership_->leave();
}

} // namespace flamingoseam::node
