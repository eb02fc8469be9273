#include "flamingoseam/entry/router.hpp"

#include "flamingoseam/contract/key.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/peer/rendezvous.hpp"

#include <algorithm>
#include <set>
#include <thread>

namespace flamingoseam {

namespace {

constexpr milliseconds retry_delay{20};
constexpr milliseconds push_timeout{500};
constexpr int max_shards_tried = 3;

/// Checks whether a refusal may be followed by a retry at the same shard, once it has another owner
/// or its owner has newer contracts.
bool is_transient(const std::string& reason)
{
    static const std::set<std::string, std::less<>> reasons = {
        "not_owner", "draining", "owner_changed", "contract_behind", "contract_unconfirmed"};
    return reasons.contains(reason);
}

/// Checks whether another shard may have free capacity for a request that was refused for this
/// reason.
bool is_capacity_refusal(const std::string& reason)
{
    static const std::set<std::string, std::less<>> reasons = {"queue_full", "would_wait_too_long",
                                                               "wait_exceeded", "never_fits"};
    return reasons.contains(reason);
}

milliseconds time_left(time_point deadline)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(deadline - now()));
}

} // namespace

void cell_map::apply(const exchange_message& message)
{
    const std::lock_guard lock(mutex_);
    for (const auto& entry : message.shards) {
        auto& stored = shards_[entry.shard];
        if (entry.epoch >= stored.epoch) {
            stored = entry;
        }
    }
    bool keys_changed = false;
    for (const auto& record : message.contracts) {
        keys_changed |= contracts_.apply(record);
    }
    if (keys_changed) {
        rebuild_keys();
    }
    changed_.notify_all();
}

void cell_map::rebuild_keys()
{
    customer_by_key_hash_.clear();
    for (const auto& terms : contracts_.all()) {
        for (const auto& hash : terms.key_hashes) {
            customer_by_key_hash_[hash] = terms.customer;
        }
    }
}

std::string cell_map::owner_of(const std::string& shard) const
{
    const std::lock_guard lock(mutex_);
    const auto found = shards_.find(shard);
    return found == shards_.end() ? std::string() : found->second.owner;
}

void cell_map::remove_owner(const std::string& shard, const std::string& owner)
{
    const std::lock_guard lock(mutex_);
    const auto found = shards_.find(shard);
    if (found != shards_.end() && found->second.owner == owner) {
        found->second.owner.clear();
    }
}

std::string cell_map::wait_for_owner(const std::string& shard, time_point deadline)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, deadline, [&] {
        const auto found = shards_.find(shard);
        return found != shards_.end() && !found->second.owner.empty();
    });
    const auto found = shards_.find(shard);
    return found == shards_.end() ? std::string() : found->second.owner;
}

std::vector<std::string> cell_map::shards_in(const std::vector<std::string>& zones) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> shards;
    for (const auto& [id, entry] : shards_) {
        if (zones.empty() || std::ranges::find(zones, entry.zone) != zones.end()) {
            shards.push_back(id);
        }
    }
    return shards;
}

std::optional<contract> cell_map::contract_for_key(const std::string& key) const
{
    const auto hash = hash_key(key);
    const std::lock_guard lock(mutex_);
    const auto found = customer_by_key_hash_.find(hash);
    if (found == customer_by_key_hash_.end()) {
        return std::nullopt;
    }
    return *contracts_.find(found->second);
}

exchange_message cell_map::contracts_since(std::uint64_t revision) const
{
    const std::lock_guard lock(mutex_);
    return {
        .revision = contracts_.revision(), .contracts = contracts_.since(revision), .shards = {}};
}

std::uint64_t cell_map::revision() const
{
    const std::lock_guard lock(mutex_);
    return contracts_.revision();
}

void router::change_open_requests(const std::string& shard, int change)
{
    const std::lock_guard lock(mutex_);
    open_requests_[shard] += change;
}

std::string router::less_loaded(const std::vector<std::string>& shards)
{
    const std::lock_guard lock(mutex_);
    std::uniform_int_distribution<std::size_t> index(0, shards.size() - 1);
    const auto& first = shards[index(random_)];
    const auto& second = shards[index(random_)];
    return open_requests_[second] < open_requests_[first] ? second : first;
}

std::vector<std::string> router::shards_to_try(const work_request& request, const contract& terms)
{
    auto shards = map_.shards_in(terms.zones);
    if (shards.empty()) {
        return {};
    }
    const bool is_job = request.cls != work_class::call;
    if (is_job || !request.request_id.starts_with(entry_id_prefix)) {
        return {choose_by_hash(request.request_id, shards)};
    }
    std::vector<std::string> order;
    while (!shards.empty() && order.size() < max_shards_tried) {
        order.push_back(less_loaded(shards));
        std::erase(shards, order.back());
    }
    return order;
}

outcome router::submit(work_request request, const contract& terms, time_point deadline)
{
    request.customer = terms.customer;
    request.contract_version = terms.version;
    const bool first_attempt = request.first_attempt;
    bool sent = false;
    outcome result = no_answer_outcome(request, first_attempt, sent);
    for (const auto& shard : shards_to_try(request, terms)) {
        change_open_requests(shard, 1);
        result = submit_to(shard, request, sent, deadline);
        change_open_requests(shard, -1);
        const bool try_next_shard =
            result.kind == verdict::not_run && is_capacity_refusal(result.reason);
        if (!try_next_shard || now() >= deadline) {
            return result;
        }
    }
    return result;
}

outcome router::no_answer_outcome(const work_request& request, bool first_attempt, bool sent) const
{
    if (sent) {
        return {.kind = verdict::may_have_run,
                .reason = "no_answer",
                .detail =
                    "request " + request.request_id + " was sent, but no response came in time"};
    }
    return {.kind = first_attempt ? verdict::not_run : verdict::may_have_run,
            .reason = "no_owner",
            .detail = "no scheduler that owns the shard could be reached; this attempt was not "
                      "sent"};
}

outcome router::submit_to(const std::string& shard, work_request& request, bool& sent,
                          time_point deadline)
{
    const bool first_attempt = request.first_attempt;
    auto last_outcome = no_answer_outcome(request, first_attempt, sent);
    while (now() < deadline) {
        const auto owner = map_.wait_for_owner(shard, deadline);
        if (owner.empty()) {
            return last_outcome;
        }
        const auto scheduler = endpoint_from_string(owner);
        try {
            const auto timeout = time_left(deadline);
            auto result = client_.submit(scheduler, shard, request, timeout);
            if (!is_transient(result.reason)) {
                return result;
            }
            const bool retry_same_owner = result.reason.starts_with("contract");
            const bool may_have_run = result.kind != verdict::not_run;
            last_outcome = std::move(result);
            if (may_have_run) {
                if (last_outcome.reason != "not_owner") {
                    return last_outcome;
                }
            }
            if (retry_same_owner) {
                push_contracts(scheduler);
            } else {
                map_.remove_owner(shard, owner);
            }
        } catch (const transport_error& cause) {
            sent |= cause.sent();
            if (cause.sent()) {
                request.first_attempt = false;
            }
            last_outcome = no_answer_outcome(request, first_attempt, sent);
        }
        std::this_thread::sleep_for(std::min(retry_delay, time_left(deadline)));
    }
    return last_outcome;
}

void router::push_contracts(const endpoint& owner)
{
    try {
        client_.exchange(owner, map_.contracts_since(0), push_timeout);
    } catch (const transport_error&) {
        return;
    }
}

std::optional<std::string> router::find_job(const contract& terms, const std::string& request_id,
                                            time_point deadline)
{
    auto shards = map_.shards_in({});
    const auto preferred_shard = choose_by_hash(request_id, map_.shards_in(terms.zones));
    std::ranges::stable_sort(
        shards, {}, [&preferred_shard](const auto& shard) { return shard != preferred_shard; });
    for (const auto& shard : shards) {
        const auto owner =
            shard == preferred_shard ? map_.wait_for_owner(shard, deadline) : map_.owner_of(shard);
        if (owner.empty()) {
            continue;
        }
        try {
            auto found = client_.find_job(endpoint_from_string(owner), shard, terms.customer,
                                          request_id, time_left(deadline));
            if (found) {
                return found;
            }
        } catch (const transport_error&) {
            continue;
        }
    }
    return std::nullopt;
}

outcome router::cancel(const contract& terms, const std::string& request_id, time_point deadline)
{
    outcome last_outcome{.kind = verdict::may_have_run,
                         .reason = "unknown_request",
                         .detail = "no reachable shard has a record of request " + request_id};
    auto shards = map_.shards_in({});
    const auto preferred_shard = choose_by_hash(request_id, map_.shards_in(terms.zones));
    std::ranges::stable_sort(
        shards, {}, [&preferred_shard](const auto& shard) { return shard != preferred_shard; });
    for (const auto& shard : shards) {
        const auto owner = map_.owner_of(shard);
        if (owner.empty()) {
            continue;
        }
        try {
            auto result = client_.cancel(endpoint_from_string(owner), shard, terms.customer,
                                         request_id, time_left(deadline));
            if (result.reason != "unknown_request" && result.reason != "not_owner") {
                return result;
            }
        } catch (const transport_error& cause) {
            last_outcome.reason = "no_answer";
            last_outcome.detail = cause.what();
        }
    }
    return last_outcome;
}

} // namespace flamingoseam
