#include "flamingoseam/node/node.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <future>
#include <random>
#include <set>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds election_interval{1'000};      ///< Between looks when nothing changes.
constexpr milliseconds election_interval_without{30}; ///< The same while there is no owner.
constexpr milliseconds claim_timeout{500};
constexpr milliseconds permission_margin{400}; ///< Beyond the service's own time.
constexpr milliseconds retry_without_owner{1'000};
constexpr int most_claim_attempts = 10;
constexpr milliseconds offer_timeout{150};
constexpr milliseconds fresh_renewal{300}; ///< A node that renewed so lately reaches the store.
constexpr milliseconds owner_retry{100};   ///< Between looks for the next owner.

std::string make_incarnation()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(wall_now().count());
}

/// Whoever lets go of an owner last must not wait: its threads may be in calls that take seconds.
void end_in_background(job_owner* owner)
{
    owner->request_end();
    std::thread([owner] { delete owner; }).detach();
}

owner_answer without_owner(std::string reason)
{
    return {.verdict = owner_verdict::no_owner,
            .reason = std::move(reason),
            .retry_after = retry_without_owner};
}

} // namespace

node::node(node_options options, node_parts parts)
    : options_(std::move(options)), parts_(std::move(parts)), incarnation_(make_incarnation())
{
    membership_ = std::make_unique<membership>(
        membership_options{
            .prefix = options_.store_prefix + "m/",
            .self = {.name = options_.name, .incarnation = incarnation_, .address = options_.rpc}},
        parts_.stores, [this] { on_view_changed(); });
    server_ = std::make_unique<coordinator_server>(options_.rpc, *this);
    election_thread_ = std::thread([this] { run_election(); });
}

node::~node()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    election_thread_.join();
    server_.reset();
    membership_.reset();
}

std::shared_ptr<job_owner> node::local_owner() const
{
    const std::lock_guard lock(mutex_);
    return owner_lost_ ? nullptr : owner_;
}

bool node::is_ready() const
{
    return !leaving_ && membership_->is_certain() &&
           (local_owner() != nullptr || membership_->view().live_owner());
}

template <typename LocalCall, typename RemoteCall>
owner_answer node::pass_on(milliseconds timeout, const LocalCall& local, const RemoteCall& remote)
{
    const auto began = now();
    const auto give_up = began + std::min(options_.owner_wait, timeout / 2);
    while (true) {
        const auto passed = std::chrono::duration_cast<milliseconds>(now() - began);
        auto answer = pass_once(timeout - passed, local, remote);
        if (answer.verdict != owner_verdict::no_owner || now() >= give_up) {
            return answer;
        }
        wait_for_change(std::min(give_up, now() + owner_retry));
    }
}

void node::wait_for_change(time_point until)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, until, [this] { return stopping_; });
}

template <typename LocalCall, typename RemoteCall>
owner_answer node::pass_once(milliseconds timeout, const LocalCall& local, const RemoteCall& remote)
{
    if (const auto owner = local_owner()) {
        auto promise = std::make_shared<std::promise<owner_answer>>();
        auto answer = promise->get_future();
        local(*owner, [promise](owner_answer result) { promise->set_value(std::move(result)); });
        if (answer.wait_for(timeout) == std::future_status::ready) {
            return answer.get();
        }
        return {.verdict = owner_verdict::unknown, .reason = "no_answer_in_time"};
    }
    const auto owner = membership_->view().live_owner();
    if (!owner || owner->owner.incarnation == incarnation_) {
        return without_owner("no_owner");
    }
    try {
        return remote(owner->owner.address, timeout);
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "the owner does not answer: " << cause.what();
        if (!cause.sent()) {
            return without_owner("owner_unreachable");
        }
        return {.verdict = owner_verdict::unknown, .reason = "no_answer_in_time"};
    }
}

owner_answer node::submit_job(const workflow::job_spec& job, const workflow::queue_terms& terms,
                              milliseconds timeout)
{
    return pass_on(
        timeout, [&](job_owner& owner, auto reply) { owner.submit(job, terms, std::move(reply)); },
        [&](const endpoint& owner, milliseconds left) {
            return client_.submit(owner, job, terms, left);
        });
}

owner_answer node::cancel_job(const std::string& job, milliseconds timeout)
{
    return pass_on(
        timeout, [&](job_owner& owner, auto reply) { owner.cancel(job, std::move(reply)); },
        [&](const endpoint& owner, milliseconds left) { return client_.cancel(owner, job, left); });
}

owner_answer node::find_job(const std::string& job, milliseconds timeout)
{
    return pass_on(
        timeout, [&](job_owner& owner, auto reply) { owner.find(job, std::move(reply)); },
        [&](const endpoint& owner, milliseconds left) { return client_.find(owner, job, left); });
}

owner_answer node::count_pending_jobs(const std::string& queue, milliseconds timeout)
{
    return pass_on(
        timeout,
        [&](job_owner& owner, auto reply) { owner.count_pending(queue, std::move(reply)); },
        [&](const endpoint& owner, milliseconds left) {
            return client_.count_pending(owner, queue, left);
        });
}

void node::submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                  reply_owner reply)
{
    if (const auto owner = local_owner()) {
        owner->submit(job, terms, std::move(reply));
    } else {
        reply(without_owner("not_the_owner"));
    }
}

void node::cancel(const std::string& job, reply_owner reply)
{
    if (const auto owner = local_owner()) {
        owner->cancel(job, std::move(reply));
    } else {
        reply(without_owner("not_the_owner"));
    }
}

void node::find(const std::string& job, reply_owner reply)
{
    if (const auto owner = local_owner()) {
        owner->find(job, std::move(reply));
    } else {
        reply(without_owner("not_the_owner"));
    }
}

void node::count_pending(const std::string& queue, reply_owner reply)
{
    if (const auto owner = local_owner()) {
        owner->count_pending(queue, std::move(reply));
    } else {
        reply(without_owner("not_the_owner"));
    }
}

void node::ask_permission(const workflow::permission_request& request, reply_permission reply)
{
    std::thread([this, request, reply = std::move(reply)] {
        try {
            reply(parts_.permission(request));
        } catch (const error& cause) {
            LOG_EVERY_N(WARNING, 20) << "the permission service failed: " << cause.what();
            reply(std::nullopt);
        }
    }).detach();
}

void node::on_view_changed()
{
    {
        const std::lock_guard lock(mutex_);
        view_changed_ = true;
    }
    changed_.notify_all();
}

void node::update_lanes()
{
    const auto owner = local_owner();
    if (!owner) {
        return;
    }
    std::vector<std::string> names{options_.name};
    for (const auto& [name, one] : membership_->view().members) {
        if (name != options_.name) {
            names.push_back(name);
        }
    }
    owner->set_nodes(names);
}

permission_call node::lane_call(const std::string& name)
{
    if (name == options_.name) {
        return parts_.permission;
    }
    return [this, name](const workflow::permission_request& request) {
        const auto members = membership_->view().members;
        const auto found = members.find(name);
        if (found == members.end()) {
            throw transport_error(309, "node " + name + " is no member", false);
        }
        auto granted = client_.ask_permission(found->second.address, request,
                                              request.service_time + permission_margin);
        if (!granted) {
            throw transport_error(310, "the permission service did not answer " + name, true);
        }
        return *granted;
    };
}

void node::run_election()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const bool has_owner = !owner_missing_since_;
        changed_.wait_for(lock, has_owner ? election_interval : election_interval_without, [this] {
            return stopping_ || view_changed_ || owner_lost_ || store_is_away_ ||
                   offered_epoch_ != 0;
        });
        view_changed_ = false;
        const bool store_is_away = std::exchange(store_is_away_, false);
        const auto offered_epoch = std::exchange(offered_epoch_, 0);
        const bool lost = owner_lost_;
        const bool leaving = leaving_;
        lock.unlock();
        if (lost) {
            drop_owner();
        }
        update_lanes();
        log_members();
        const auto view = membership_->view();
        if (store_is_away) {
            offer_to_others(view);
        }
        const bool is_offered = offered_epoch != 0 && view.owner &&
                                view.owner->epoch == offered_epoch && !local_owner();
        if (!leaving && (is_offered || wants_to_take_over(view, now()))) {
            take_over(view.owner ? view.owner->epoch : 0);
        }
        lock.lock();
    }
}

milliseconds node::own_delay(const membership_view& view) const
{
    // Candidates take their turns in an order that differs from epoch to epoch.
    const auto epoch = view.owner ? view.owner->epoch : 0;
    const auto rank_of = [&](const std::string& name) {
        return std::hash<std::string>{}(name + "#" + std::to_string(epoch));
    };
    const auto own = rank_of(options_.name);
    const auto ahead = std::count_if(view.members.begin(), view.members.end(),
                                     [&](const auto& row) { return rank_of(row.first) < own; });
    const bool handed_over = view.owner && view.owner->owner.name.empty();
    const auto grace = handed_over || !view.owner ? milliseconds(0) : options_.take_over_grace;
    return grace + ahead * options_.take_over_step;
}

/// An owner whose store is silent lets a node go on that still reaches it.
void node::offer_to_others(const membership_view& view)
{
    if (!local_owner() || !view.owner) {
        return;
    }
    for (const auto& [name, one] : view.members) {
        if (name == options_.name) {
            continue;
        }
        try {
            if (client_.offer_ownership(one.address, view.owner->epoch, offer_timeout)) {
                parts_.log->write(
                    {.event = "ownership_offered", .request = {}, .detail = "to " + name});
                return;
            }
        } catch (const transport_error& cause) {
            LOG_EVERY_N(WARNING, 10) << "ownership can't be offered: " << cause.what();
        }
    }
}

void node::offer_ownership(std::uint64_t epoch, reply_flag reply)
{
    const bool can_take = !leaving_ && !local_owner() && membership_->has_joined() &&
                          membership_->was_renewed_within(fresh_renewal);
    if (can_take) {
        {
            const std::lock_guard lock(mutex_);
            offered_epoch_ = epoch;
        }
        changed_.notify_all();
    }
    reply(can_take);
}

void node::log_members()
{
    std::set<std::string> members;
    for (const auto& [name, one] : membership_->view().members) {
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
    const std::lock_guard lock(mutex_);
    if (view.live_owner() || owner_ || !membership_->has_joined() || !membership_->is_certain()) {
        owner_missing_since_.reset();
        return false;
    }
    if (!owner_missing_since_) {
        owner_missing_since_ = time;
    }
    return time >= *owner_missing_since_ + own_delay(view);
}

/// Returns the new head when this node has become the owner.
std::optional<chain_head> node::claim(shared_store& store, std::uint64_t known_epoch,
                                      std::uint64_t& revision)
{
    std::map<std::string, shared_record> current;
    std::uint64_t newest = 0;
    std::uint64_t ignored = 0;
    for (auto& record : list_all(store, head_prefix(), ignored)) {
        newest = std::max(newest, read_head(record.value).epoch);
        current[record.key] = std::move(record);
    }
    if (newest > known_epoch) {
        return std::nullopt; // Somebody has taken over since this node decided to.
    }
    const chain_head head{
        .epoch = newest + 1, .sequence = 0, .owner = options_.name + "/" + incarnation_};
    shared_transaction transaction;
    for (const auto& key : head_keys()) {
        const auto found = current.find(key);
        transaction.conditions.push_back(
            {key, found == current.end() ? 0 : found->second.revision});
        transaction.writes.push_back({key, write_head(head)});
    }
    const owner_record record{.epoch = head.epoch, .owner = membership_->self()};
    transaction.writes.push_back({membership_->owner_key(), write_owner(record)});
    for (int attempt = 0; attempt < most_claim_attempts; ++attempt) {
        try {
            const auto result = store.commit(transaction, claim_timeout);
            revision = result.revision;
            if (result.applied) {
                return head;
            }
            for (const auto& one : result.conflicting) {
                if (one.key == head_keys().front() && read_head(one.value) == head) {
                    revision = one.revision; // An earlier attempt was carried out.
                    return head;
                }
            }
            return std::nullopt;
        } catch (const transport_error& cause) {
            LOG(WARNING) << "the claim got no answer and is sent again: " << cause.what();
        }
    }
    return std::nullopt;
}

std::vector<std::string> node::head_keys() const
{
    std::vector<std::string> keys;
    for (std::size_t index = 0; index < options_.chains; ++index) {
        keys.push_back(head_prefix() + std::to_string(index));
    }
    return keys;
}

void node::take_over(std::uint64_t known_epoch)
{
    try {
        const auto store = parts_.stores();
        std::uint64_t revision = 0;
        const auto head = claim(*store, known_epoch, revision);
        if (!head) {
            return;
        }
        begin_ownership(*store, *head, revision);
    } catch (const error& cause) {
        LOG(WARNING) << "taking over failed: " << cause.what();
    }
    const std::lock_guard lock(mutex_);
    owner_missing_since_.reset();
}

void node::begin_ownership(shared_store& store, const chain_head& head, std::uint64_t revision)
{
    parts_.log->write(
        {.event = "owner_begins", .request = {}, .detail = "epoch " + std::to_string(head.epoch)});
    job_owner_start start{.head = head, .revision = revision, .jobs = {}, .roster = {}};
    const auto record_keys = keys();
    const auto read = [&store](const std::string& prefix) {
        std::map<std::string, std::string> values;
        std::uint64_t ignored = 0;
        for (const auto& record : list_all(store, prefix, ignored)) {
            values.emplace(record.key.substr(prefix.size()), record.value);
        }
        return values;
    };
    const auto progress = read(record_keys.progresses());
    start.jobs = workflow::read_jobs(read(record_keys.specifications()), progress);
    if (const auto roster = store.get(record_keys.roster())) {
        start.roster = workflow::read_roster(roster->value);
    }
    job_owner_parts parts{
        .head_keys = head_keys(),
        .stores = parts_.stores,
        .keys = record_keys,
        .worker_lease = options_.worker_lease,
        .ended_kept = options_.ended_kept,
        .channels = parts_.channels,
        .directory = parts_.directory,
        .permissions = [this](const std::string& name) { return lane_call(name); },
        .log = parts_.log,
        .is_certain = [this] { return membership_->is_certain(); },
        .on_store_away =
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
    }
    update_lanes();
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
    dropped->request_end();
}

void node::leave()
{
    std::shared_ptr<job_owner> owner;
    {
        const std::lock_guard lock(mutex_);
        leaving_ = true;
        owner = owner_lost_ ? nullptr : owner_;
    }
    if (owner) {
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
