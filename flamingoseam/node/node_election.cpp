#include "flamingoseam/node/node.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/node/candidate_order.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds election_interval{1'000}; ///< Interval of the checks while nothing changes.
/// Interval of the checks while the owner is missing or suspected.
constexpr milliseconds election_interval_no_owner{30};
constexpr milliseconds offer_timeout{150};
/// Interval of the offers of a node that owns several shards; the first is made at once.
constexpr milliseconds balancing_interval{2'000};
constexpr milliseconds offer_interval{500};      ///< Gives the candidate time to take over.
constexpr milliseconds min_stronger_time{2'000}; ///< A node that has just joined may leave again.
/// A node that offered its ownership to another since the store did not answer it does not replace
/// the new owner for this long, even if its processor share is much larger.
constexpr milliseconds replacement_pause{15'000};
/// Stronger nodes have noticed by then that the owner is missing.
constexpr milliseconds weaker_node_delay{900};
/// Nodes that own no shard have noticed by then that the owner is missing.
constexpr milliseconds busy_node_delay{600};
constexpr milliseconds recent_renewal{300}; ///< A node that renewed within this reaches the store.
/// Timeout of the call that asks another node whether the owner is gone.
constexpr milliseconds confirm_timeout{100};
constexpr milliseconds handover_poll_interval{10};
/// Interval of the offers of an owner that leaves while no node accepts.
constexpr milliseconds leaving_offer_interval{100};
/// A node whose owner has failed leaves the next takeover to others for this long.
constexpr milliseconds abstention{3'000};
/// A node whose owner has failed does not replace another one for this long, even if its processor
/// share is much larger: its next owner may fail, too.
constexpr milliseconds replacement_pause_after_failure{300'000};
constexpr milliseconds stop_timeout{200}; ///< Of a call that asks a replaced owner to stop.
constexpr milliseconds stop_retry_delay{100};
constexpr milliseconds release_interval{200}; ///< Of the attempts to give up ownership.
constexpr milliseconds release_timeout{500};

} // namespace

/// Records that nothing listens at the owner's address, so its process has probably ended.
void node::record_refused_connection(std::uint64_t epoch)
{
    {
        const std::lock_guard lock(mutex_);
        if (!suspicion_.record_refusal(epoch, now())) {
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
        ++change_count_;
    }
    changed_.notify_all();
}

void node::run_election()
{
    while (const auto events = wait_for_events()) {
        if (!run_guarded("the election", [&] { handle_events(*events); })) {
            std::this_thread::sleep_for(election_interval_no_owner);
        }
    }
}

void node::handle_events(const election_events& events)
{
    if (dependencies_.usage != nullptr) {
        dependencies_.usage->update(now(), is_owner());
    }
    const auto view = this->view();
    if (events.owner_lost || is_superseded(view)) {
        stop_local_owner();
    }
    release_failed_ownership(view);
    update_call_slots(view);
    log_member_changes(view);
    if (events.store_unreachable && now() >= next_offer_) {
        next_offer_ = now() + offer_interval;
        if (offer_to_others(view, false)) {
            may_replace_owner_from_ =
                std::max(may_replace_owner_from_.load(), now() + replacement_pause);
        }
    }
    confirm_suspicion(view);
    offer_to_idle_node(view, now());
    const bool is_offered = events.offered_epoch != 0 && view.owner &&
                            view.owner->epoch == events.offered_epoch && !local_owner();
    const bool is_needed = is_takeover_due(view, now()) || should_replace_owner(view, now());
    if (!leaving_ && !abstains() && (is_offered || is_needed)) {
        take_over(view);
    }
}

/// Records that an owner of this process has failed, or could not begin. This node takes over
/// nothing for a while, so that another one does.
void node::record_failed_owner(std::uint64_t epoch)
{
    abstains_until_ = now() + abstention;
    may_replace_owner_from_ = now() + replacement_pause_after_failure;
    {
        const std::lock_guard lock(mutex_);
        superseded_epoch_ = std::max(superseded_epoch_, epoch);
        failed_epoch_ = epoch;
    }
    changed_.notify_all();
}

/// Gives up the ownership of an owner that has failed, which is still recorded in the store.
void node::release_failed_ownership(const membership_view& view)
{
    std::uint64_t epoch = 0;
    {
        const std::lock_guard lock(mutex_);
        epoch = failed_epoch_;
    }
    const bool is_known = epoch != 0 && view.owner && view.owner->epoch >= epoch;
    if (!is_known || now() < next_release_) {
        return;
    }
    next_release_ = now() + release_interval;
    if (view.owner->epoch == epoch && !view.owner->owner.name.empty() &&
        !write_released_ownership(view)) {
        return;
    }
    const std::lock_guard lock(mutex_);
    failed_epoch_ = failed_epoch_ == epoch ? 0 : failed_epoch_;
}

/// Returns false if it is not known whether the store has applied the change.
bool node::write_released_ownership(const membership_view& view)
{
    const auto key = membership_->owner_key(options_.shard);
    shared_transaction transaction;
    transaction.conditions.push_back({key, view.owner_revision});
    transaction.writes.push_back({key, write_owner({.epoch = view.owner->epoch, .owner = {}}), 0});
    shared_result result;
    try {
        result = dependencies_.stores()->commit(transaction, release_timeout);
    } catch (const transport_error& cause) {
        LOG(WARNING) << "can't give up the ownership of a failed owner: " << cause.what();
        return false;
    }
    if (result.applied) { // Otherwise there is another owner.
        dependencies_.log->write(
            {.event = "owner_ends", .request = {}, .detail = "given up after a failure"});
    }
    return true;
}

/// Waits for events or the next periodic check. Returns none when the node ends.
std::optional<node::election_events> node::wait_for_events()
{
    std::unique_lock lock(mutex_);
    const bool is_stable =
        !owner_missing_since_ && failed_epoch_ == 0 && !suspicion_.awaits_confirmation(now());
    changed_.wait_for(lock, is_stable ? election_interval : election_interval_no_owner, [this] {
        return stopping_ || view_changed_ || is_owner_superseded() || store_unreachable_ ||
               offered_epoch_ != 0;
    });
    if (stopping_) {
        return std::nullopt;
    }
    view_changed_ = false;
    return election_events{.owner_lost = is_owner_superseded(),
                           .store_unreachable = std::exchange(store_unreachable_, false),
                           .offered_epoch = std::exchange(offered_epoch_, 0)};
}

/// Checks whether another node has become the owner in place of this node.
bool node::is_superseded(const membership_view& view) const
{
    const auto owner = local_owner();
    return owner && view.owner && view.owner->epoch > owner->epoch();
}

/// Asks the other nodes to confirm a suspicion. A refused connection may be due to a failure of
/// this node's own network links, so the owner counts as gone only after another node was refused,
/// too.
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
    for (const auto& [name, other] : view.members) {
        if (name == options_.name || name == view.owner->owner.name) {
            continue;
        }
        try {
            if (client_.confirms_owner_gone(other.address, epoch, confirm_timeout)) {
                record_owner_gone(view, name);
                return;
            }
        } catch (const transport_error& cause) {
            LOG_EVERY_N(WARNING, 10)
                << "can't ask a node whether the owner is gone: " << cause.what();
        }
    }
}

void node::record_owner_gone(const membership_view& view, const std::string& confirming_node)
{
    {
        const std::lock_guard lock(mutex_);
        suspicion_.confirm(view.owner->epoch);
    }
    dependencies_.log->write({.event = "owner_gone",
                              .request = {},
                              .detail = view.owner->owner.name + " refuses connections; " +
                                        confirming_node + " confirms it"});
    offer_for_gone_owner(view);
}

bool node::is_owner_gone(std::uint64_t epoch) const
{
    const std::lock_guard lock(mutex_);
    return suspicion_.is_gone(epoch);
}

void node::confirm_owner_gone(std::uint64_t epoch, flag_reply reply)
{
    bool is_suspected = false;
    {
        const std::lock_guard lock(mutex_);
        is_suspected = suspicion_.is_suspected(epoch, now());
    }
    reply(is_suspected);
}

milliseconds node::takeover_delay(const membership_view& view) const
{
    const auto order = candidate_order(view, view.owner ? view.owner->epoch : 0, options_.shard);
    const auto own = std::ranges::find(order, options_.name, &member::name);
    const auto ahead = std::distance(order.begin(), own);
    auto delay = has_owner_ended(view) ? milliseconds(0) : options_.takeover_grace;
    if (find_stronger(view, membership_->self(options_.shard), 0, options_.shard)) {
        delay += weaker_node_delay;
    }
    if (owns_other_shard()) {
        delay += busy_node_delay;
    }
    return delay + ahead * options_.takeover_step;
}

/// Checks whether the owner has certainly ended and will not return: it has handed over, its
/// process has been restarted, or it is confirmed that its port is closed.
bool node::has_owner_ended(const membership_view& view) const
{
    if (!view.owner || view.owner->owner.name.empty() || is_owner_gone(view.owner->epoch)) {
        return true;
    }
    const auto member = view.members.find(view.owner->owner.name);
    return member != view.members.end() &&
           member->second.incarnation != view.owner->owner.incarnation;
}

/// Checks whether some process serves as the owner, according to this node's view.
bool node::is_owner_serving(const membership_view& view) const
{
    const auto owner = view.live_owner();
    if (!owner || is_owner_gone(owner->epoch)) {
        return false;
    }
    // An unanswered claim of this node may have been applied, without an owner running here.
    return owner->owner.incarnation != options_.incarnation || local_owner() != nullptr;
}

/// Asks the other nodes, one after the other, to take over ownership, because this node no longer
/// reaches the store or is shutting down. Returns whether one of them will try.
bool node::offer_to_others(const membership_view& view, bool is_leaving)
{
    if (!local_owner() || !view.owner) {
        return false;
    }
    const ownership_offer offer{.epoch = view.owner->epoch, .is_leaving = is_leaving};
    return std::ranges::any_of(
        candidate_order(view, offer.epoch, options_.shard), [&](const member& candidate) {
            return candidate.name != options_.name && offer_to(candidate, offer);
        });
}

/// Asks one node to take over ownership. Returns whether it will try.
bool node::offer_to(const member& other, const ownership_offer& offer)
{
    try {
        if (!client_.offer_ownership(other.address, offer, offer_timeout)) {
            return false;
        }
        dependencies_.log->write(
            {.event = "ownership_offered", .request = {}, .detail = "to " + other.name});
        return true;
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 10) << "can't offer ownership to a node: " << cause.what();
        return false;
    }
}

/// Checks whether this process owns another shard of the cell.
bool node::owns_other_shard() const
{
    return options_.owned_shards &&
           std::ranges::any_of(options_.owned_shards(),
                               [this](std::size_t index) { return index != options_.shard.index; });
}

/// Checks whether this process owns several shards and should give up this one. Of two shards it
/// keeps the first.
bool node::should_give_up_shard() const
{
    return options_.owned_shards && local_owner() &&
           std::ranges::any_of(options_.owned_shards(),
                               [this](std::size_t index) { return index < options_.shard.index; });
}

/// Offers this shard to the other nodes if this process owns several shards. A node that owns a
/// shard does not accept, and weaker nodes are not asked.
void node::offer_to_idle_node(const membership_view& view, time_point time)
{
    if (time < next_balancing_ || !view.owner || !should_give_up_shard() ||
        !membership_->has_valid_lease()) {
        return;
    }
    next_balancing_ = time + balancing_interval;
    const ownership_offer offer{.epoch = view.owner->epoch, .is_leaving = true};
    for (const auto& candidate : candidate_order(view, offer.epoch, options_.shard)) {
        const bool is_weaker = candidate.processor_share < options_.processor_share;
        if (!is_weaker && candidate.name != options_.name && offer_to(candidate, offer)) {
            return;
        }
    }
}

/// Checks whether this node should replace an owner with a much smaller processor share, which may
/// have no processor time left to hand over the jobs itself.
bool node::should_replace_owner(const membership_view& view, time_point time)
{
    const auto owner = view.live_owner();
    const auto stronger =
        owner ? find_stronger(view, owner->owner, owner->epoch, options_.shard) : std::nullopt;
    // Right after its claim, this node may still see the owner that it has replaced.
    const bool is_eligible =
        !local_owner() && membership_->has_valid_lease() && time >= may_replace_owner_from_.load();
    if (!stronger || stronger->name != options_.name || !is_eligible) {
        stronger_since_.reset();
        return false;
    }
    if (!stronger_since_) {
        stronger_since_ = time;
    }
    return time - *stronger_since_ >= min_stronger_time;
}

/// Offers ownership to the strongest node on behalf of an owner that is gone, since that node may
/// not have made a call that would show it. Nodes that are no stronger than this node are not
/// asked; they take over after their own delays.
void node::offer_for_gone_owner(const membership_view& view)
{
    const ownership_offer offer{.epoch = view.owner->epoch, .is_leaving = false};
    for (const auto& candidate : candidate_order(view, offer.epoch, options_.shard)) {
        if (candidate.processor_share <= options_.processor_share) {
            return;
        }
        if (candidate.name != view.owner->owner.name && offer_to(candidate, offer)) {
            return;
        }
    }
}

void node::offer_ownership(const ownership_offer& offer, flag_reply reply)
{
    // If the owner can't reach the store, the next owner must reach it, however slow the store is.
    const bool reaches_store = offer.is_leaving ? membership_->has_valid_lease()
                                                : membership_->was_renewed_within(recent_renewal);
    const bool can_take_over = !leaving_ && !abstains() && !owns_other_shard() && !local_owner() &&
                               membership_->has_joined() && reaches_store;
    if (can_take_over) {
        {
            const std::lock_guard lock(mutex_);
            offered_epoch_ = offer.epoch;
        }
        changed_.notify_all();
    }
    reply(can_take_over);
}

void node::log_member_changes(const membership_view& view)
{
    std::set<std::string> members;
    for (const auto& [name, other] : view.members) {
        members.insert(name + " " + other.incarnation);
    }
    for (const auto& entry : members) {
        if (!logged_members_.contains(entry)) {
            dependencies_.log->write({.event = "member_joined", .request = {}, .detail = entry});
        }
    }
    for (const auto& entry : logged_members_) {
        if (!members.contains(entry)) {
            dependencies_.log->write({.event = "member_left", .request = {}, .detail = entry});
        }
    }
    logged_members_ = std::move(members);
}

bool node::is_takeover_due(const membership_view& view, time_point time)
{
    const bool is_needed = !is_owner_serving(view) && !local_owner();
    const auto delay = takeover_delay(view);
    const std::lock_guard lock(mutex_);
    if (!is_needed || !membership_->has_joined() || !membership_->has_valid_lease()) {
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
    for (std::size_t index = 0; index < options_.commit_streams; ++index) {
        keys.push_back(head_prefix() + std::to_string(index));
    }
    return keys;
}

/// Returns the key of the owner's member record if it is replaced because that record is missing.
std::string node::key_absent_at_takeover(const membership_view& view) const
{
    return is_owner_record_missing(view) ? membership_->member_key(view.owner->owner.name) : "";
}

void node::take_over(const membership_view& view)
{
    std::uint64_t claimed_epoch = 0;
    try {
        const auto claimed = claim_ownership(*dependencies_.stores(),
                                             {.owner_key = membership_->owner_key(options_.shard),
                                              .head_keys = head_keys(),
                                              .self = membership_->self(options_.shard),
                                              .expected_epoch = view.owner ? view.owner->epoch : 0,
                                              .expected_revision = view.owner_revision,
                                              .absent_key = key_absent_at_takeover(view),
                                              .number = ++last_claim_});
        if (claimed) {
            claimed_epoch = claimed->head.epoch;
            begin_ownership(*claimed, view);
            confirm_stop_of_earlier_owner(view);
        }
    } catch (const transport_error& cause) {
        LOG(WARNING) << "can't take over ownership: " << cause.what();
    } catch (...) {
        if (claimed_epoch != 0) {
            record_failed_owner(claimed_epoch);
        }
        LOG(ERROR) << "can't take over ownership: " << describe_current_exception();
    }
    const std::lock_guard lock(mutex_);
    owner_missing_since_.reset();
}

/// Asks the earlier owner in the background to stop, so that this one needn't wait until it has
/// surely done so.
void node::confirm_stop_of_earlier_owner(const membership_view& view)
{
    const auto owner = local_owner();
    const bool can_ask = view.owner && !view.owner->owner.name.empty() &&
                         view.owner->owner.incarnation != options_.incarnation;
    if (!owner || !can_ask) {
        return;
    }
    background_tasks_.run([this, earlier = *view.owner, waiting = std::weak_ptr(owner),
                           end = now() + max_earlier_certainty] {
        while (now() < end) {
            const auto confirmation = ask_owner_to_stop(earlier);
            const auto later = waiting.lock();
            if (!later || later->have_earlier_ended()) {
                return;
            }
            if (confirmation.has_stopped) {
                later->confirm_earlier_stopped(confirmation.renewals_end);
                return;
            }
            std::this_thread::sleep_for(stop_retry_delay);
        }
    });
}

/// Asks a replaced owner to stop, and returns what it says; that it has not if it doesn't answer.
stop_confirmation node::ask_owner_to_stop(const owner_record& earlier)
{
    try {
        return client_.stop_owner(earlier.owner.address, earlier.epoch, stop_timeout);
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 10) << "can't ask a replaced owner to stop: " << cause.what();
        return {};
    }
}

void node::stop_owner(std::uint64_t epoch, stop_reply reply)
{
    std::shared_ptr<job_owner> owner;
    stop_confirmation confirmation;
    {
        const std::lock_guard lock(mutex_);
        owner = owner_;
        if (stopped_epoch_ == epoch) {
            confirmation = stopped_;
        }
    }
    if (owner && owner->epoch() == epoch) {
        owner->report_superseded();
        confirmation = owner->confirm_stop();
    }
    reply(confirmation);
}

/// Reads the newest configuration of the queues. An owner that can't begins with the known one, and
/// learns of a newer one later.
void node::refresh_queues()
{
    if (dependencies_.queues == nullptr) {
        return;
    }
    try {
        dependencies_.queues->refresh();
    } catch (const transport_error& cause) {
        LOG(WARNING) << "can't read the configuration of the queues: " << cause.what();
    }
}

void node::begin_ownership(const claimed_head& claimed, const membership_view& earlier)
{
    const auto certainty = earlier_certainty(earlier);
    if (dependencies_.usage != nullptr) {
        dependencies_.usage->record("takeover, epoch " + std::to_string(claimed.head.epoch));
    }
    dependencies_.log->write(
        {.event = "owner_begins",
         .request = {},
         .detail = "epoch " + std::to_string(claimed.head.epoch) + to_text(options_.shard),
         .fields = {{"predecessor_certainty_ms", certainty.value_or(milliseconds(0)).count()},
                    {"predecessor_missing", is_owner_record_missing(earlier) ? 1 : 0}}});
    refresh_queues();
    const auto record_keys = keys();
    auto stored = read_stored_state(dependencies_.stores, record_keys);
    job_owner_start start{.head = claimed.head,
                          .revision = claimed.revision,
                          .claim_sent = claimed.sent,
                          .jobs = std::move(stored.jobs),
                          .leased_workers = std::move(stored.leased_workers),
                          .earlier_certainty = certainty};
    job_owner_dependencies parts{
        .head_keys = head_keys(),
        .stores = dependencies_.stores,
        .keys = record_keys,
        .worker_lease = options_.worker_lease,
        .ended_kept = options_.ended_kept,
        .io = dependencies_.io,
        .channels = dependencies_.channels,
        .directory = dependencies_.directory,
        .permissions = [this](const std::string& name) { return permission_call_through(name); },
        .queues = dependencies_.queues,
        .shard = options_.shard,
        .borrow_workers = options_.borrow_workers,
        .log = dependencies_.log,
        .metrics = dependencies_.metrics,
        .usage = dependencies_.usage,
        .is_certain =
            [this, epoch = claimed.head.epoch] {
                return membership_->is_certain_owner(options_.shard, epoch);
            },
        .on_store_unreachable =
            [this] {
                {
                    const std::lock_guard lock(mutex_);
                    store_unreachable_ = true;
                }
                changed_.notify_all();
            },
        .on_superseded =
            [this, epoch = claimed.head.epoch] {
                {
                    const std::lock_guard lock(mutex_);
                    superseded_epoch_ = std::max(superseded_epoch_, epoch);
                }
                changed_.notify_all();
            },
        .on_failed = [this, epoch = claimed.head.epoch] { record_failed_owner(epoch); }};
    std::shared_ptr<job_owner> owner(new job_owner(std::move(start), std::move(parts)),
                                     [this](job_owner* ended) { destroy_in_background(ended); });
    {
        const std::lock_guard lock(mutex_);
        owner_ = std::move(owner);
        ++change_count_;
    }
    changed_.notify_all();
    update_call_slots(view());
}

/// Destroys an owner on a separate thread, since its own threads may be in calls that take seconds
/// and the holder of the last reference must not wait for them.
void node::destroy_in_background(job_owner* owner)
{
    // Its memory is left alone if there is none for the task that would free it.
    run_guarded("the end of an owner", [&] {
        owner->request_stop();
        background_tasks_.run([owner] { delete owner; });
    });
}

void node::stop_local_owner()
{
    std::shared_ptr<job_owner> dropped;
    {
        const std::lock_guard lock(mutex_);
        dropped = std::exchange(owner_, nullptr);
    }
    if (!dropped) {
        return;
    }
    dropped->request_stop();
    const auto confirmation = dropped->confirm_stop();
    const std::lock_guard lock(mutex_);
    if (confirmation.has_stopped && dropped->epoch() > stopped_epoch_) {
        stopped_epoch_ = dropped->epoch();
        stopped_ = confirmation;
    }
}

/// Offers ownership to other nodes until one accepts, and keeps serving until it takes over, so
/// that the cell is hardly without an owner. Returns whether another node has taken over.
bool node::hand_over_to_member(time_point handover_end)
{
    while (local_owner() && now() < handover_end) {
        if (!offer_to_others(view(), true)) {
            std::this_thread::sleep_for(leaving_offer_interval);
            continue;
        }
        const auto end = std::min(now() + options_.handover_timeout, handover_end);
        while (local_owner() && now() < end) {
            std::this_thread::sleep_for(handover_poll_interval);
        }
    }
    return local_owner() == nullptr;
}

void node::leave(const shutdown_schedule& schedule)
{
    calls_end_ = schedule.calls_end;
    std::shared_ptr<job_owner> owner;
    {
        const std::lock_guard lock(mutex_);
        leaving_ = true;
        owner = is_owner_superseded() ? nullptr : owner_;
    }
    if (owner && !hand_over_to_member(schedule.handover_end)) {
        const auto view = this->view();
        const owner_record nobody{.epoch = view.owner ? view.owner->epoch : 0, .owner = {}};
        const bool written =
            owner->hand_over({membership_->owner_key(options_.shard), write_owner(nobody)},
                             options_.handover_timeout);
        dependencies_.log->write({.event = "owner_ends",
                                  .request = {},
                                  .detail = written ? "handed over" : "the store did not answer"});
        stop_local_owner();
    }
}

} // namespace flamingoseam::node
