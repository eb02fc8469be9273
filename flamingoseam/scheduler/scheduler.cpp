#include "flamingoseam/scheduler/scheduler.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/hash.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/store/cell_records.hpp"
#include "flamingoseam/worker/vm_list.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <random>

namespace flamingoseam {

namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds watch_wait{5000};
constexpr milliseconds vm_list_interval{1000};
constexpr milliseconds peer_interval{500};
constexpr milliseconds peer_timeout{500};
constexpr std::size_t peers_per_round = 3; ///< However many peers there are.
constexpr milliseconds ownership_interval{250};
constexpr milliseconds suspicious_gap{2000}; ///< Between two ticks; the process was paused.
constexpr unsigned operator_threads = 16;

std::int64_t monotonic_ms()
{
    return std::chrono::duration_cast<milliseconds>(now().time_since_epoch()).count();
}

/// Returns the shard of a VM, an empty text when the layout has none for it.
std::string shard_of(const cell_settings& cell, const vm_entry& vm)
{
    for (const auto& shard : cell.shards) {
        if (shard.zone == vm.zone && std::ranges::find(shard.racks, vm.rack) != shard.racks.end()) {
            return shard.id;
        }
    }
    return {};
}

} // namespace

scheduler::scheduler(scheduler_settings settings, std::unique_ptr<config_store> store)
    : settings_(std::move(settings)), store_(std::move(store)), spans_(settings_.span_file),
      random_(std::random_device()())
{
    const endpoint rpc{settings_.address, settings_.rpc_port};
    self_ = to_string(rpc);
    last_tick_ = now();
    rpc_server_ = std::make_unique<rpc_server>(rpc, *this);
    operator_server_ = std::make_unique<http_server>(
        http_server_options{.address = settings_.address,
                            .port = settings_.operator_port,
                            .max_threads = operator_threads},
        [this](const http_request& request) { return handle_operator(request); });
}

scheduler::~scheduler()
{
    stopping_ = true;
    for (auto& thread : threads_) {
        thread.join();
    }
    operator_server_.reset();
    rpc_server_.reset();
}

void scheduler::run()
{
    for (auto* loop : {&ownership_, &journals_, &shares_, &endings_}) {
        threads_.emplace_back([loop] { loop->run(std::chrono::seconds(1), [] {}); });
    }
    threads_.emplace_back([this] { run_watch(); });
    threads_.emplace_back([this] { run_membership(); });
    threads_.emplace_back([this] { run_vm_list(); });
    threads_.emplace_back([this] { run_peers(); });
    LOG(INFO) << "scheduler listens on " << self_;
    control_.run(tick_interval, [this] { after_batch(); });
    stopping_ = true;
    for (auto& [id, shard] : owned_) {
        shard->abandon();
    }
    for (auto* loop : {&ownership_, &journals_, &shares_, &endings_}) {
        loop->stop();
    }
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    owned_.clear();
    LOG(INFO) << "scheduler has ended in order";
}

void scheduler::shut_down()
{
    control_.post([this] {
        if (draining_) {
            return;
        }
        LOG(INFO) << "draining: no new work is accepted";
        draining_ = true;
        drain_deadline_ = now() + settings_.drain_timeout;
        for (auto& [id, shard] : owned_) {
            shard->state().set_draining(true);
        }
    });
}

void scheduler::after_batch()
{
    const auto time = now();
    if (time - last_tick_ >= tick_interval) {
        note_gap(time);
        last_tick_ = time;
        tick(time);
    }
    dispatch_all(time);
}

void scheduler::note_gap(time_point time)
{
    if (time - last_tick_ > suspicious_gap) {
        LOG(WARNING) << "control was paused; contracts are confirmed before new work starts";
        last_store_contact_ms_ = 0;
        last_peer_contact_ms_ = 0;
        for (auto& [id, shard] : owned_) {
            shard->state().set_ownership_confirmed(has_authority(time));
        }
    }
}

bool scheduler::is_isolated(time_point time) const
{
    if (settings_.peers.empty()) {
        return false;
    }
    const auto time_ms = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
    const auto newest = std::max(last_store_contact_ms_.load(), last_peer_contact_ms_.load());
    return time_ms - newest > settings_.isolation_grace.count();
}

bool scheduler::has_authority(time_point time) const
{
    const auto time_ms = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
    const auto certain = settings_.member_lease * 3 / 4;
    return time_ms - last_renewal_ms_ < certain.count();
}

void scheduler::tick(time_point time)
{
    for (auto& [id, shard] : owned_) {
        shard->state().set_ownership_confirmed(has_authority(time));
        shard->state().set_store_available(store_available_);
        shard->state().tick(time);
        offer_shares(*shard, time);
    }
    if (time - last_ownership_ >= ownership_interval) {
        last_ownership_ = time;
        consider_ownership(time);
        observe();
    }
    if (draining_) {
        drain_step(time);
    }
}

void scheduler::dispatch_all(time_point time)
{
    std::vector<std::string> superseded;
    for (auto& [id, shard] : owned_) {
        const auto wishes = shard->dispatch();
        send_wishes(*shard, wishes, time);
        if (shard->superseded) {
            superseded.push_back(id);
        }
    }
    for (const auto& id : superseded) {
        drop_shard(id);
    }
    write_journals();
}

void scheduler::observe()
{
    resources reserved;
    resources capacity;
    for (auto& [id, shard] : owned_) {
        for (const auto& worker : shard->state().pool().workers()) {
            reserved += worker.reserved;
            capacity += worker.capacity;
        }
        const auto waits = shard->state().take_waits();
        for (std::size_t i = 0; i < waits.size(); ++i) {
            for (const auto wait : waits.at(i)) {
                metrics_.observe_wait(static_cast<work_class>(i), wait);
            }
        }
    }
    metrics_.set_packing(reserved, capacity);
    metrics_.set_control_cost();
    metrics_.owned_shards().Set(static_cast<double>(owned_.size()));
}

void scheduler::drain_step(time_point time)
{
    if (drained_) {
        return;
    }
    std::size_t open_calls = 0;
    for (const auto& [id, shard] : owned_) {
        open_calls += shard->state().open_calls();
    }
    if (open_calls > 0 && time < drain_deadline_) {
        return;
    }
    for (auto& [id, shard] : owned_) {
        hand_over(*shard);
    }
    const bool late = time >= drain_deadline_;
    if (!owned_.empty() && !late) {
        return;
    }
    LOG(INFO) << "drained; " << open_calls << " calls were still open";
    drained_ = true;
    leaving_ = true;
    control_.stop();
}

void scheduler::pause(milliseconds least, milliseconds most)
{
    static thread_local std::mt19937_64 engine(std::random_device{}());
    std::uniform_int_distribution<std::int64_t> pick(least.count(), most.count());
    const auto until = now() + milliseconds(pick(engine));
    while (!stopping_ && now() < until) {
        std::this_thread::sleep_for(std::min<milliseconds>(
            milliseconds(20),
            std::chrono::duration_cast<milliseconds>(until - now()) + milliseconds(1)));
    }
}

void scheduler::set_store_available(bool available)
{
    if (available) {
        last_store_contact_ms_ = monotonic_ms();
    }
    if (store_available_.exchange(available) != available) {
        LOG(WARNING) << (available ? "the store answers again" : "the store does not answer");
    }
}

void scheduler::run_watch()
{
    std::uint64_t revision = 0;
    bool listed = false;
    while (!stopping_) {
        try {
            auto events = listed ? store_->watch(watched_prefix, revision, watch_wait)
                                 : store_->list(watched_prefix);
            revision = std::max(revision, events.revision);
            const bool complete = !listed;
            listed = true;
            set_store_available(true);
            control_.post([this, events = std::move(events), complete] {
                take_store_events(events, complete);
            });
        } catch (const error& cause) {
            set_store_available(false);
            LOG_EVERY_N(WARNING, 50) << "watch failed: " << cause.what();
            pause(milliseconds(200), milliseconds(1000));
        }
    }
}

bool scheduler::join(std::string& lease)
{
    lease = store_->keep_alive("", settings_.member_lease);
    const auto key = member_prefix + self_;
    const auto current = store_->get(key);
    const auto expected = current ? current->version : 0;
    const auto result = store_->compare_and_swap({.key = key,
                                                  .value = to_json(settings_.zone),
                                                  .expected_version = expected,
                                                  .lease = lease});
    return result.swapped;
}

void scheduler::run_membership()
{
    std::string lease;
    bool joined = false;
    while (!stopping_ && !leaving_) {
        const auto sent_ms = monotonic_ms();
        try {
            if (lease.empty() || !joined) {
                joined = join(lease);
            } else if (store_->keep_alive(lease, settings_.member_lease).empty()) {
                LOG(WARNING) << "our membership had lapsed";
                lease.clear();
                joined = false;
                continue;
            }
            set_store_available(true);
            last_renewal_ms_ = joined ? sent_ms : 0;
            control_.post([this, joined] { joined_ = joined; });
            pause(settings_.member_lease / 4, settings_.member_lease / 3);
        } catch (const error&) {
            set_store_available(false);
            pause(milliseconds(200), milliseconds(600));
        }
    }
    try {
        if (!lease.empty()) {
            store_->keep_alive(lease, milliseconds(1));
        }
    } catch (const error&) {
        LOG(WARNING) << "membership could not be ended; it lapses with its lease";
    }
}

void scheduler::run_vm_list()
{
    http_client client(settings_.vm_list);
    while (!stopping_) {
        try {
            const auto answer = client.call({.path = "/v1/vms", .timeout = peer_timeout});
            auto list = from_json<vm_list>(answer.body);
            std::map<std::string, std::vector<vm_entry>> by_shard;
            for (auto& vm : list.vms) {
                const auto shard = shard_of(settings_.cell, vm);
                by_shard[shard].push_back(std::move(vm));
            }
            control_.post([this, by_shard = std::move(by_shard)]() mutable {
                vms_ = std::move(by_shard);
                for (auto& [id, shard] : owned_) {
                    shard->take_vm_list(vms_[id], now());
                }
            });
        } catch (const error& cause) {
            LOG_EVERY_N(WARNING, 20) << "VM list: " << cause.what();
        }
        pause(vm_list_interval, vm_list_interval + vm_list_interval / 10);
    }
}

void scheduler::run_peers()
{
    const auto& peers = settings_.peers;
    std::size_t next = peers.empty() ? 0 : short_hash(self_) % peers.size();
    while (!stopping_) {
        const auto round = std::min(peers.size(), peers_per_round);
        for (std::size_t i = 0; i < round && !stopping_; ++i) {
            exchange_with(peers[next++ % peers.size()]);
        }
        pause(peer_interval, peer_interval + peer_interval / 5);
    }
}

void scheduler::exchange_with(const endpoint& peer)
{
    exchange_message theirs;
    try {
        theirs = peers_.exchange(peer, {.revision = revision_, .contracts = {}, .shards = {}},
                                 peer_timeout);
    } catch (const error&) {
        LOG_EVERY_N(WARNING, 100) << "peer " << to_string(peer) << " does not answer";
        return;
    }
    last_peer_contact_ms_ = monotonic_ms();
    control_.post([this, theirs = std::move(theirs)] {
        for (const auto& entry : theirs.shards) {
            take_shard_record(entry);
        }
        take_contracts(theirs.contracts);
    });
}

} // namespace flamingoseam
