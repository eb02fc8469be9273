#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/journal_store.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/peer/rendezvous.hpp"
#include "flamingoseam/scheduler/scheduler.hpp"
#include "flamingoseam/store/cell_records.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds join_settle_time{500}; ///< Delay of takeovers after a member has joined.
constexpr milliseconds handover_delay{3000};  ///< Minimum age of a member before a shard is
///< handed over to it.
constexpr milliseconds takeover_timeout{3000};
constexpr milliseconds takeover_pause{3000}; ///< Between an error and the next takeover.
constexpr milliseconds share_request_interval{200};
constexpr milliseconds offer_interval{1000};
constexpr milliseconds share_timeout{1000};
constexpr wall_time max_offer_age = std::chrono::minutes(50);
constexpr wall_time max_transfer_age = std::chrono::hours(1);

} // namespace

owned_shard* scheduler::find_shard(const std::string& shard_id)
{
    const auto found = owned_.find(shard_id);
    return found == owned_.end() ? nullptr : found->second.get();
}

void scheduler::post_to_shard(const std::string& shard_id, std::uint64_t epoch,
                              const std::function<void(owned_shard&)>& function)
{
    control_loop_.post([this, shard_id, epoch, function] {
        auto* shard = find_shard(shard_id);
        if (shard != nullptr && shard->entry().epoch == epoch) {
            function(*shard);
        }
    });
}

void scheduler::apply_store_events(const store_events& events, bool is_full_list)
{
    std::vector<std::string> changed;
    if (is_full_list) {
        members_.clear();
    }
    for (const auto& record : events.records) {
        try {
            if (record.key.starts_with(member_prefix)) {
                apply_member_record(record);
            } else if (record.key.starts_with(shard_prefix)) {
                apply_shard_entry(from_json<shard_record>(record.value).entry);
            } else if (record.key.starts_with(contract_prefix)) {
                apply_contract_record(
                    {.value = from_json<contract>(record.value), .revision = record.revision},
                    changed);
            }
        } catch (const error& cause) {
            LOG(ERROR) << "record " << record.key << " can't be parsed: " << cause.what();
        }
    }
    has_cell_view_ = true;
    if (!changed.empty()) {
        notify_contracts_changed();
    }
}

void scheduler::apply_contract_record(const contract_record& record,
                                      std::vector<std::string>& changed)
{
    if (contracts_.apply(record)) {
        const log_scope scope({.customer = record.value.customer});
        LOG(INFO) << "contract version " << record.value.version << " is in force here";
        changed.push_back(record.value.customer);
    }
    revision_ = contracts_.revision();
}

void scheduler::apply_member_record(const store_record& record)
{
    const auto name = name_in_key(record.key, member_prefix);
    if (record.deleted) {
        members_.erase(name);
        last_ownership_ = {}; // Run at once: the member's shards need a new owner.
    } else if (members_.try_emplace(name, member{.first_seen = now()}).second) {
        last_member_join_ = now();
    }
}

void scheduler::apply_contract_records(const std::vector<contract_record>& records)
{
    std::vector<std::string> changed;
    for (const auto& record : records) {
        apply_contract_record(record, changed);
    }
    if (!changed.empty()) {
        notify_contracts_changed();
    }
}

void scheduler::notify_contracts_changed()
{
    for (auto& [id, shard] : owned_) {
        shard->state().on_contracts_changed(now());
    }
}

void scheduler::apply_shard_entry(const shard_entry& entry)
{
    auto& known = shards_[entry.shard];
    if (entry.epoch < known.epoch) {
        return;
    }
    known = entry;
    auto* shard = find_shard(entry.shard);
    if (shard != nullptr && entry.epoch > shard->entry().epoch) {
        shard->superseded = true;
    }
}

std::int64_t scheduler::initial_share(const std::string& shard_id) const
{
    std::int64_t sharing_shards = 0;
    bool has_initial_share = false;
    for (const auto& shard : settings_.cell.shards) {
        sharing_shards += shard.initial_share ? 1 : 0;
        has_initial_share |= shard.id == shard_id && shard.initial_share;
    }
    return has_initial_share ? whole_share / sharing_shards : 0;
}

void scheduler::update_ownership(time_point time)
{
    if (draining_ || !joined_ || !has_cell_view_ || !store_available_ ||
        time - last_member_join_ < join_settle_time) {
        return;
    }
    std::vector<std::string> live;
    for (const auto& [name, record] : members_) {
        live.push_back(name);
    }
    for (const auto& setting : settings_.cell.shards) {
        update_shard_ownership(setting, live, time);
    }
}

void scheduler::update_shard_ownership(const shard_setting& setting,
                                       const std::vector<std::string>& live, time_point time)
{
    const auto preferred = choose_by_hash(setting.id, live);
    auto* shard = find_shard(setting.id);
    if (shard != nullptr) {
        const auto other = members_.find(preferred);
        if (preferred != own_address_ && other != members_.end() &&
            time - other->second.first_seen > handover_delay) {
            shard->state().set_draining(true);
            hand_over(*shard);
        } else if (preferred == own_address_ && shard->handing_over && !shard->release_queued) {
            shard->state().set_draining(false);
            shard->handing_over = false;
        }
        return;
    }
    const auto known = shards_.find(setting.id);
    const auto owner = known == shards_.end() ? std::string() : known->second.owner;
    const bool is_unowned = owner.empty() || owner == own_address_ || !members_.contains(owner);
    const bool may_take_over = time >= next_takeover_;
    if (may_take_over && preferred == own_address_ && is_unowned &&
        !takeovers_.contains(setting.id)) {
        start_takeover(setting);
    }
}

void scheduler::start_takeover(const shard_setting& setting)
{
    takeovers_.insert(setting.id);
    const shard_entry requested{
        .shard = setting.id, .zone = setting.zone, .epoch = 0, .owner = own_address_};
    std::set<std::string> others;
    for (const auto& [name, record] : members_) {
        if (name != own_address_) {
            others.insert(name);
        }
    }
    const auto share = initial_share(setting.id);
    ownership_loop_.post([this, requested, others, share] {
        const auto deadline = now() + takeover_timeout;
        std::optional<shard_entry> taken;
        std::optional<stored_journal> journal;
        try {
            taken = claim_shard(
                *store_, requested,
                [&others](const std::string& owner) { return !others.contains(owner); }, deadline);
            if (taken) {
                journal = fence_journal(*store_, taken->shard, taken->epoch, own_address_, share,
                                        deadline);
            }
        } catch (...) {
            LOG(ERROR) << "shard " << requested.shard
                       << " can't be taken over: " << describe_current_exception();
        }
        control_loop_.post([this, requested, taken, journal] {
            takeovers_.erase(requested.shard);
            if (taken && journal && !draining_) {
                start_taken_shard(*taken, *journal);
            }
        });
    });
}

void scheduler::start_taken_shard(const shard_entry& entry, const stored_journal& journal)
{
    const bool has_started = run_guarded(
        "the start of a shard", [&] { start_owned_shard(entry, journal.record, journal.version); });
    if (!has_started) {
        next_takeover_ = now() + takeover_pause;
    }
}

void scheduler::start_owned_shard(const shard_entry& entry, const journal_record& journal,
                                  std::uint64_t version)
{
    if (find_shard(entry.shard) != nullptr || shards_[entry.shard].epoch > entry.epoch) {
        return;
    }
    shards_[entry.shard] = entry;
    auto record = journal;
    record.shares.forget_older_than(wall_now() - max_transfer_age);
    auto state = std::make_unique<shard_state>(
        shard_options{
            .shard = entry.shard, .owner = own_address_, .epoch = entry.epoch, .began = wall_now()},
        contracts_, record, now());
    const auto post = [this, id = entry.shard,
                       epoch = entry.epoch](const std::function<void(owned_shard&)>& function) {
        post_to_shard(id, epoch, function);
    };
    auto shard =
        std::make_unique<owned_shard>(entry, std::move(state), post, settings_.worker_lease);
    shard->journal_version = version;
    shard->next_sequence = record.sequence + 1;
    shard->state().on_contracts_changed(now());
    shard->apply_vm_list(vms_[entry.shard], now());
    const log_scope scope({.shard = entry.shard});
    LOG(INFO) << "owner since epoch " << entry.epoch << ", " << journal.jobs.size()
              << " jobs in the journal";
    owned_[entry.shard] = std::move(shard);
}

void scheduler::hand_over(owned_shard& shard)
{
    shard.handing_over = true;
    const bool is_idle = shard.state().open_calls() == 0 && !shard.journal_write_in_progress &&
                         (!shard.journal_write_needed || !store_available_);
    const bool deadline_passed = draining_ && now() >= drain_deadline_;
    if (shard.release_queued || !(is_idle || deadline_passed)) {
        return;
    }
    shard.release_queued = true;
    const auto entry = shard.entry();
    ownership_loop_.post([this, entry] {
        bool released = false;
        run_guarded("the release of a shard",
                    [&] { released = release_shard(*store_, entry, now() + takeover_timeout); });
        control_loop_.post([this, entry, released] {
            auto* shard = find_shard(entry.shard);
            if (shard == nullptr || shard->entry().epoch != entry.epoch) {
                return;
            }
            const log_scope scope({.shard = entry.shard});
            LOG(INFO) << (released ? "shard released"
                                   : "shard dropped, but its release could not be stored");
            if (released) {
                shards_[entry.shard].owner.clear();
            }
            drop_shard(entry.shard);
        });
    });
}

void scheduler::drop_shard(const std::string& shard_id)
{
    const auto found = owned_.find(shard_id);
    if (found == owned_.end()) {
        return;
    }
    auto shard = std::move(found->second);
    owned_.erase(found);
    shard->abandon();
    const log_scope scope({.shard = shard_id});
    LOG(INFO) << "no longer the owner; epoch was " << shard->entry().epoch;
    destroy_later(std::move(shard));
}

void scheduler::destroy_later(std::unique_ptr<owned_shard> dropped)
{
    std::shared_ptr<owned_shard> shard = std::move(dropped);
    destruction_loop_.post([shard = std::move(shard)]() mutable { shard.reset(); });
}

void scheduler::drop_all_shards() noexcept
{
    next_takeover_ = now() + takeover_pause;
    is_listed_ = false;
    takeovers_.clear();
    auto dropped = std::exchange(owned_, {});
    for (auto& entry : dropped) {
        run_guarded("the end of a shard", [&shard = *entry.second] { shard.abandon_incomplete(); });
        run_guarded("the end of a shard", [this, &entry] {
            LOG(ERROR) << "shard " << entry.first << " is dropped after an error; epoch was "
                       << entry.second->entry().epoch;
            destroy_later(std::move(entry.second));
        });
    }
}

void scheduler::post_drop_all_shards()
{
    control_loop_.post([this] { drop_all_shards(); });
}

void scheduler::write_journals()
{
    for (auto& [id, shard] : owned_) {
        if (!shard->journal_write_needed || shard->journal_write_in_progress) {
            continue;
        }
        shard->journal_write_needed = false;
        shard->journal_write_in_progress = true;
        auto record = shard->state().make_journal(wall_now());
        shard->next_sequence = record.sequence + 1;
        const auto epoch = shard->entry().epoch;
        const auto version = shard->journal_version;
        journal_loop_.post([this, id = id, epoch, version, record = std::move(record)] {
            auto written_version = version;
            auto result = journal_write::failed;
            while (result == journal_write::failed && !stopping_) {
                result = write_journal(*store_, id, record, written_version);
                set_store_available(result != journal_write::failed);
                if (result == journal_write::failed) {
                    sleep_random(milliseconds(50), milliseconds(200));
                }
            }
            const bool lost = result == journal_write::lost;
            control_loop_.post(
                [this, id, epoch, sequence = record.sequence, written_version, lost] {
                    handle_journal_written(id, epoch, sequence, written_version, lost);
                });
        });
    }
}

void scheduler::handle_journal_written(const std::string& shard_id, std::uint64_t epoch,
                                       std::uint64_t sequence, std::uint64_t version, bool lost)
{
    auto* shard = find_shard(shard_id);
    if (shard == nullptr || shard->entry().epoch != epoch) {
        return;
    }
    shard->journal_write_in_progress = false;
    if (lost) {
        shard->superseded = true;
        return;
    }
    metrics_.journal_writes().Increment();
    shard->journal_version = version;
    shard->written_sequence = sequence;
    shard->state().set_store_available(true);
    shard->state().on_journal_written(sequence, now());
    std::erase_if(shard->pending_confirmations, [sequence](const auto& confirmation) {
        if (confirmation.sequence > sequence) {
            return false;
        }
        confirmation.reply(true);
        return true;
    });
}

void scheduler::send_share_requests(owned_shard& shard, const std::vector<share_request>& requests,
                                    time_point time)
{
    for (const auto& request : requests) {
        auto& last_sent = shard.last_share_request[request.customer];
        if (time - last_sent < share_request_interval || !store_available_) {
            continue;
        }
        last_sent = time;
        std::vector<shard_entry> others;
        for (const auto& [id, entry] : shards_) {
            if (id != shard.entry().shard && !entry.owner.empty()) {
                others.push_back(entry);
            }
        }
        std::ranges::shuffle(others, random_);
        share_loop_.post([this, request, others, to = shard.entry().shard] {
            auto missing = request.parts;
            for (const auto& other : others) {
                if (missing <= 0) {
                    return;
                }
                const share_transfer transfer{.id = make_request_id(wall_now()),
                                              .customer = request.customer,
                                              .from_shard = other.shard,
                                              .to_shard = to,
                                              .parts = missing};
                try {
                    missing -= peer_client_.request_share(endpoint_from_string(other.owner),
                                                          transfer, share_timeout);
                } catch (...) {
                    LOG_EVERY_N(WARNING, 50)
                        << "share request for " << request.customer << ": " << other.owner
                        << " is unreachable: " << describe_current_exception();
                }
            }
        });
    }
}

void scheduler::offer_shares(owned_shard& shard, time_point time)
{
    shard.state().shares().forget_older_than(wall_now() - max_transfer_age);
    for (const auto& transfer : shard.state().shares().unconfirmed()) {
        const auto created = time_of_request_id(transfer.id);
        const bool too_old = created && *created < wall_now() - max_offer_age;
        auto& last_sent = shard.last_offer[transfer.id];
        const bool in_journal = !shard.journal_write_needed && !shard.journal_write_in_progress;
        const auto receiver = shards_.find(transfer.to_shard);
        if (too_old || !in_journal || time - last_sent < offer_interval ||
            receiver == shards_.end() || receiver->second.owner.empty()) {
            continue;
        }
        last_sent = time;
        const auto id = shard.entry().shard;
        const auto epoch = shard.entry().epoch;
        share_loop_.post([this, transfer, id, epoch, owner = receiver->second.owner] {
            try {
                if (!peer_client_.offer_share(endpoint_from_string(owner), transfer,
                                              share_timeout)) {
                    return;
                }
            } catch (...) {
                LOG_EVERY_N(WARNING, 50)
                    << "offer of a share to " << owner << ": " << describe_current_exception();
                return;
            }
            post_to_shard(id, epoch, [transfer](owned_shard& sender) {
                sender.state().shares().confirm(transfer.id);
                sender.last_offer.erase(transfer.id);
                sender.journal_write_needed = true;
            });
        });
    }
}

} // namespace flamingoseam
