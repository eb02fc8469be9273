#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/journal_store.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/peer/rendezvous.hpp"
#include "flamingoseam/scheduler/scheduler.hpp"
#include "flamingoseam/store/cell_records.hpp"

#include <glog/logging.h>

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr milliseconds settle_time{500};     ///< After a member has joined, before taking.
constexpr milliseconds handover_delay{3000}; ///< A new member is live this long before it gets one.
constexpr milliseconds take_timeout{3000};
constexpr milliseconds wish_interval{200};
constexpr milliseconds offer_interval{1000};
constexpr milliseconds share_timeout{1000};
constexpr wall_time oldest_offer = std::chrono::minutes(50);
constexpr wall_time oldest_transfer = std::chrono::hours(1);

} // namespace

owned_shard* scheduler::find_shard(const std::string& shard_id)
{
    const auto found = owned_.find(shard_id);
    return found == owned_.end() ? nullptr : found->second.get();
}

void scheduler::with_shard(const std::string& shard_id, std::uint64_t epoch,
                           const std::function<void(owned_shard&)>& use)
{
    control_.post([this, shard_id, epoch, use] {
        auto* shard = find_shard(shard_id);
        if (shard != nullptr && shard->entry().epoch == epoch) {
            use(*shard);
        }
    });
}

void scheduler::take_store_events(const store_events& events, bool complete)
{
    std::vector<std::string> changed;
    if (complete) {
        members_.clear();
    }
    for (const auto& record : events.records) {
        try {
            if (record.key.starts_with(member_prefix)) {
                take_member(record);
            } else if (record.key.starts_with(shard_prefix)) {
                take_shard_record(from_json<shard_record>(record.value).entry);
            } else if (record.key.starts_with(contract_prefix)) {
                take_contract(
                    {.value = from_json<contract>(record.value), .revision = record.revision},
                    changed);
            }
        } catch (const error& cause) {
            LOG(ERROR) << "record " << record.key << " can't be read: " << cause.what();
        }
    }
    has_cell_view_ = true;
    if (!changed.empty()) {
        contracts_changed();
    }
}

void scheduler::take_contract(const contract_record& record, std::vector<std::string>& changed)
{
    if (contracts_.apply(record)) {
        const log_scope scope({.customer = record.value.customer});
        LOG(INFO) << "contract version " << record.value.version << " is in force here";
        changed.push_back(record.value.customer);
    }
    revision_ = contracts_.revision();
}

void scheduler::take_member(const store_record& record)
{
    const auto name = name_in_key(record.key, member_prefix);
    if (record.deleted) {
        members_.erase(name);
        last_ownership_ = {}; // Its shards wait for a new owner.
    } else if (members_.try_emplace(name, member{.seen = now()}).second) {
        last_join_ = now();
    }
}

void scheduler::take_contracts(const std::vector<contract_record>& records)
{
    std::vector<std::string> changed;
    for (const auto& record : records) {
        take_contract(record, changed);
    }
    if (!changed.empty()) {
        contracts_changed();
    }
}

void scheduler::contracts_changed()
{
    for (auto& [id, shard] : owned_) {
        shard->state().on_contracts_changed(now());
    }
}

void scheduler::take_shard_record(const shard_entry& entry)
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
    std::int64_t sharing = 0;
    bool ours = false;
    for (const auto& shard : settings_.cell.shards) {
        sharing += shard.initial_share ? 1 : 0;
        ours |= shard.id == shard_id && shard.initial_share;
    }
    return ours ? whole_share / sharing : 0;
}

void scheduler::consider_ownership(time_point time)
{
    if (draining_ || !joined_ || !has_cell_view_ || !store_available_ ||
        time - last_join_ < settle_time) {
        return;
    }
    std::vector<std::string> live;
    for (const auto& [name, one] : members_) {
        live.push_back(name);
    }
    for (const auto& setting : settings_.cell.shards) {
        consider_shard(setting, live, time);
    }
}

void scheduler::consider_shard(const shard_setting& setting, const std::vector<std::string>& live,
                               time_point time)
{
    const auto preferred = choose_by_hash(setting.id, live);
    auto* shard = find_shard(setting.id);
    if (shard != nullptr) {
        const auto other = members_.find(preferred);
        if (preferred != self_ && other != members_.end() &&
            time - other->second.seen > handover_delay) {
            shard->state().set_draining(true);
            hand_over(*shard);
        } else if (preferred == self_ && shard->handing_over && !shard->release_queued) {
            shard->state().set_draining(false);
            shard->handing_over = false;
        }
        return;
    }
    const auto known = shards_.find(setting.id);
    const auto owner = known == shards_.end() ? std::string() : known->second.owner;
    const bool is_free = owner.empty() || owner == self_ || !members_.contains(owner);
    if (preferred == self_ && is_free && !taking_.contains(setting.id)) {
        begin_taking(setting);
    }
}

void scheduler::begin_taking(const shard_setting& setting)
{
    taking_.insert(setting.id);
    const shard_entry wanted{.shard = setting.id, .zone = setting.zone, .epoch = 0, .owner = self_};
    std::set<std::string> others;
    for (const auto& [name, one] : members_) {
        if (name != self_) {
            others.insert(name);
        }
    }
    const auto share = initial_share(setting.id);
    ownership_.post([this, wanted, others, share] {
        const auto deadline = now() + take_timeout;
        std::optional<shard_entry> taken;
        std::optional<stored_journal> journal;
        try {
            taken = claim_shard(
                *store_, wanted,
                [&others](const std::string& owner) { return !others.contains(owner); }, deadline);
            if (taken) {
                journal =
                    fence_journal(*store_, taken->shard, taken->epoch, self_, share, deadline);
            }
        } catch (const error& cause) {
            LOG(ERROR) << "shard " << wanted.shard << " can't be taken: " << cause.what();
        }
        control_.post([this, wanted, taken, journal] {
            taking_.erase(wanted.shard);
            if (taken && journal && !draining_) {
                begin_shard(*taken, journal->record, journal->version);
            }
        });
    });
}

void scheduler::begin_shard(const shard_entry& entry, const journal_record& journal,
                            std::uint64_t version)
{
    if (find_shard(entry.shard) != nullptr || shards_[entry.shard].epoch > entry.epoch) {
        return;
    }
    shards_[entry.shard] = entry;
    auto record = journal;
    record.shares.forget_older_than(wall_now() - oldest_transfer);
    auto state = std::make_unique<shard_state>(
        shard_options{
            .shard = entry.shard, .owner = self_, .epoch = entry.epoch, .began = wall_now()},
        contracts_, record, now());
    const auto post = [this, id = entry.shard,
                       epoch = entry.epoch](const std::function<void(owned_shard&)>& use) {
        with_shard(id, epoch, use);
    };
    auto shard =
        std::make_unique<owned_shard>(entry, std::move(state), post, settings_.worker_lease);
    shard->journal_version = version;
    shard->next_sequence = record.sequence + 1;
    shard->state().on_contracts_changed(now());
    shard->take_vm_list(vms_[entry.shard], now());
    const log_scope scope({.shard = entry.shard});
    LOG(INFO) << "owner since epoch " << entry.epoch << ", " << journal.jobs.size()
              << " jobs in the journal";
    owned_[entry.shard] = std::move(shard);
}

void scheduler::hand_over(owned_shard& shard)
{
    shard.handing_over = true;
    const bool settled = shard.state().open_calls() == 0 && !shard.journal_busy &&
                         (!shard.journal_wanted || !store_available_);
    const bool late = draining_ && now() >= drain_deadline_;
    if (shard.release_queued || !(settled || late)) {
        return;
    }
    shard.release_queued = true;
    const auto entry = shard.entry();
    ownership_.post([this, entry] {
        const bool released = release_shard(*store_, entry, now() + take_timeout);
        control_.post([this, entry, released] {
            auto* shard = find_shard(entry.shard);
            if (shard == nullptr || shard->entry().epoch != entry.epoch) {
                return;
            }
            const log_scope scope({.shard = entry.shard});
            LOG(INFO) << (released ? "given up" : "given up, though the store does not know it");
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
    std::shared_ptr<owned_shard> shard = std::move(found->second);
    owned_.erase(found);
    shard->abandon();
    const log_scope scope({.shard = shard_id});
    LOG(INFO) << "no longer owner, epoch was " << shard->entry().epoch;
    endings_.post([shard]() mutable { shard.reset(); });
}

void scheduler::write_journals()
{
    for (auto& [id, shard] : owned_) {
        if (!shard->journal_wanted || shard->journal_busy) {
            continue;
        }
        shard->journal_wanted = false;
        shard->journal_busy = true;
        auto record = shard->state().make_journal(wall_now());
        shard->next_sequence = record.sequence + 1;
        const auto epoch = shard->entry().epoch;
        const auto version = shard->journal_version;
        journals_.post([this, id = id, epoch, version, record = std::move(record)] {
            auto written_version = version;
            auto result = journal_write::failed;
            while (result == journal_write::failed && !stopping_) {
                result = write_journal(*store_, id, record, written_version);
                set_store_available(result != journal_write::failed);
                if (result == journal_write::failed) {
                    pause(milliseconds(50), milliseconds(200));
                }
            }
            const bool lost = result == journal_write::lost;
            control_.post([this, id, epoch, sequence = record.sequence, written_version, lost] {
                journal_done(id, epoch, sequence, written_version, lost);
            });
        });
    }
}

void scheduler::journal_done(const std::string& shard_id, std::uint64_t epoch,
                             std::uint64_t sequence, std::uint64_t version, bool lost)
{
    auto* shard = find_shard(shard_id);
    if (shard == nullptr || shard->entry().epoch != epoch) {
        return;
    }
    shard->journal_busy = false;
    if (lost) {
        shard->superseded = true;
        return;
    }
    metrics_.journal_writes().Increment();
    shard->journal_version = version;
    shard->journal_written = sequence;
    shard->state().set_store_available(true);
    shard->state().on_journal_written(sequence, now());
    std::erase_if(shard->confirmations, [sequence](const auto& waiting) {
        if (waiting.sequence > sequence) {
            return false;
        }
        waiting.reply(true);
        return true;
    });
}

void scheduler::send_wishes(owned_shard& shard, const std::vector<share_wish>& wishes,
                            time_point time)
{
    for (const auto& wish : wishes) {
        auto& last = shard.last_wish[wish.customer];
        if (time - last < wish_interval || !store_available_) {
            continue;
        }
        last = time;
        std::vector<shard_entry> others;
        for (const auto& [id, entry] : shards_) {
            if (id != shard.entry().shard && !entry.owner.empty()) {
                others.push_back(entry);
            }
        }
        std::ranges::shuffle(others, random_);
        shares_.post([this, wish, others, to = shard.entry().shard] {
            auto missing = wish.parts;
            for (const auto& other : others) {
                if (missing <= 0) {
                    return;
                }
                const share_transfer transfer{.id = make_request_id(wall_now()),
                                              .customer = wish.customer,
                                              .from_shard = other.shard,
                                              .to_shard = to,
                                              .parts = missing};
                try {
                    missing -= peers_.request_share(endpoint_from_string(other.owner), transfer,
                                                    share_timeout);
                } catch (const error&) {
                    LOG_EVERY_N(WARNING, 50) << "share of " << wish.customer << ": " << other.owner
                                             << " does not answer";
                }
            }
        });
    }
}

void scheduler::offer_shares(owned_shard& shard, time_point time)
{
    shard.state().shares().forget_older_than(wall_now() - oldest_transfer);
    for (const auto& transfer : shard.state().shares().unconfirmed()) {
        const auto made = time_of_request_id(transfer.id);
        const bool too_old = made && *made < wall_now() - oldest_offer;
        auto& last = shard.last_offer[transfer.id];
        const bool in_journal = !shard.journal_wanted && !shard.journal_busy;
        const auto receiver = shards_.find(transfer.to_shard);
        if (too_old || !in_journal || time - last < offer_interval || receiver == shards_.end() ||
            receiver->second.owner.empty()) {
            continue;
        }
        last = time;
        const auto id = shard.entry().shard;
        const auto epoch = shard.entry().epoch;
        shares_.post([this, transfer, id, epoch, owner = receiver->second.owner] {
            try {
                if (!peers_.offer_share(endpoint_from_string(owner), transfer, share_timeout)) {
                    return;
                }
            } catch (const error&) {
                return;
            }
            with_shard(id, epoch, [transfer](owned_shard& giver) {
                giver.state().shares().confirm(transfer.id);
                giver.last_offer.erase(transfer.id);
                giver.journal_wanted = true;
            });
        });
    }
}

} // namespace flamingoseam
