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
#include <thread>

namespace flamingoseam {

namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds watch_wait{1000};
constexpr milliseconds vm_list_interval{1000};
constexpr milliseconds peer_interval{500};
constexpr milliseconds peer_timeout{500};
constexpr std::size_t peers_per_round = 3; ///< Independent of the number of peers.
constexpr milliseconds ownership_interval{250};
constexpr milliseconds max_tick_gap{2000}; ///< Between two ticks. A longer gap means that
///< the process was paused.
constexpr unsigned operator_threads = 16;
constexpr milliseconds min_failure_pause{200}; ///< After an exception that is no error of a call.
constexpr milliseconds max_failure_pause{600};

std::int64_t monotonic_ms()
{
    return std::chrono::duration_cast<milliseconds>(now().time_since_epoch()).count();
}

/// Returns the id of a VM's shard, or an empty string if no shard of the layout contains its rack.
std::string shard_id_for(const cell_settings& cell, const vm_entry& vm)
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
      control_loop_(nullptr, [this](const std::string& /*cause*/) { drop_all_shards(); }),
      ownership_loop_(nullptr, [this](const std::string& /*cause*/) { post_drop_all_shards(); }),
      journal_loop_(nullptr, [this](const std::string& /*cause*/) { post_drop_all_shards(); }),
      random_(std::random_device()())
{
    const endpoint rpc{settings_.address, settings_.rpc_port};
    own_address_ = to_string(rpc);
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
    stop_threads();
    operator_server_.reset();
    rpc_server_.reset();
}

void scheduler::run()
{
    try {
        start_threads();
        LOG(INFO) << "scheduler listens on " << own_address_;
        control_loop_.run(tick_interval, [this] { after_batch(); });
    } catch (...) {
        stop_threads();
        throw;
    }
    stopping_ = true;
    for (auto& [id, shard] : owned_) {
        run_guarded("the end of a shard", [&owned = *shard] { owned.abandon(); });
    }
    stop_threads();
    owned_.clear();
    LOG(INFO) << "scheduler has shut down";
}

void scheduler::start_threads()
{
    const auto start_loop = [this](const char* name, control_loop& loop) {
        threads_.emplace_back(name, [&loop] { loop.run(std::chrono::seconds(1), [] {}); });
    };
    start_loop("ownership", ownership_loop_);
    start_loop("journal", journal_loop_);
    start_loop("shares", share_loop_);
    start_loop("destruction", destruction_loop_);
    threads_.emplace_back("store watch", [this, revision = std::uint64_t{0}]() mutable {
        repeat("the watch on the store", [&] { follow_store(revision); });
    });
    threads_.emplace_back("membership", [this] { run_membership(); });
    threads_.emplace_back("VM list", [this] {
        http_client client(settings_.vm_list);
        repeat("the reading of the VM list", [&] { read_vm_list(client); });
    });
    const auto& peers = settings_.peers;
    const auto first = peers.empty() ? 0 : short_hash(own_address_) % peers.size();
    threads_.emplace_back("peers", [this, next = std::size_t{first}]() mutable {
        repeat("the exchange with peers", [&] { exchange_with_peers(next); });
    });
}

void scheduler::stop_threads()
{
    stopping_ = true;
    for (auto* loop : {&ownership_loop_, &journal_loop_, &share_loop_, &destruction_loop_}) {
        loop->stop();
    }
    threads_.clear();
}

void scheduler::repeat(const char* duty, const std::function<void()>& action)
{
    while (!stopping_) {
        if (!run_guarded(duty, action)) {
            sleep_random(min_failure_pause, max_failure_pause);
        }
    }
}

void scheduler::shut_down()
{
    control_loop_.post([this] {
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
        check_tick_gap(time);
        last_tick_ = time;
        tick(time);
    }
    dispatch_all(time);
}

void scheduler::check_tick_gap(time_point time)
{
    if (time - last_tick_ > max_tick_gap) {
        LOG(WARNING)
            << "control thread was paused; contracts must be confirmed before new work starts";
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
    const auto last_contact = std::max(last_store_contact_ms_.load(), last_peer_contact_ms_.load());
    return time_ms - last_contact > settings_.isolation_grace.count();
}

bool scheduler::has_authority(time_point time) const
{
    const auto time_ms = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
    const auto safe_period = settings_.member_lease * 3 / 4;
    return time_ms - last_renewal_ms_ < safe_period.count();
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
        update_ownership(time);
        update_metrics();
    }
    if (draining_) {
        continue_drain(time);
    }
}

void scheduler::dispatch_all(time_point time)
{
    std::vector<std::string> superseded;
    for (auto& [id, shard] : owned_) {
        const auto requests = shard->dispatch();
        send_share_requests(*shard, requests, time);
        if (shard->superseded) {
            superseded.push_back(id);
        }
    }
    for (const auto& id : superseded) {
        drop_shard(id);
    }
    write_journals();
}

void scheduler::update_metrics()
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
    metrics_.set_reserved_share(reserved, capacity);
    metrics_.set_processor_seconds();
    metrics_.owned_shards().Set(static_cast<double>(owned_.size()));
}

void scheduler::continue_drain(time_point time)
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
    const bool deadline_passed = time >= drain_deadline_;
    if (!owned_.empty() && !deadline_passed) {
        return;
    }
    LOG(INFO) << "drained; " << open_calls << " calls were still open";
    drained_ = true;
    leaving_ = true;
    control_loop_.stop();
}

void scheduler::sleep_random(milliseconds min_delay, milliseconds max_delay)
{
    static thread_local std::mt19937_64 engine(std::random_device{}());
    std::uniform_int_distribution<std::int64_t> delay(min_delay.count(), max_delay.count());
    const auto until = now() + milliseconds(delay(engine));
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
        LOG(WARNING) << (available ? "the store is reachable again" : "the store is unreachable");
    }
}

/// Reads all records, or waits for changes of those that have been read.
void scheduler::follow_store(std::uint64_t& revision)
{
    const bool is_full_list = !is_listed_.exchange(true);
    try {
        auto events = is_full_list ? store_->list(watched_prefix)
                                   : store_->watch(watched_prefix, revision, watch_wait);
        revision = std::max(revision, events.revision);
        set_store_available(true);
        control_loop_.post([this, events = std::move(events), is_full_list] {
            apply_store_events(events, is_full_list);
        });
    } catch (const error& cause) {
        if (is_full_list) {
            is_listed_ = false;
        }
        set_store_available(false);
        LOG_EVERY_N(WARNING, 50) << "watch on the store failed: " << cause.what();
        sleep_random(milliseconds(200), milliseconds(1000));
    } catch (...) {
        is_listed_ = false; // Changes may have been read, but not applied.
        set_store_available(false);
        throw;
    }
}

bool scheduler::join_cell(std::string& lease)
{
    lease = store_->keep_alive("", settings_.member_lease);
    const auto key = member_prefix + own_address_;
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
        if (!run_guarded("the membership", [&] { renew_membership(lease, joined); })) {
            set_store_available(false);
            sleep_random(min_failure_pause, max_failure_pause);
        }
    }
    if (!lease.empty()) {
        run_guarded("the end of the membership, which expires with its lease",
                    [&] { store_->keep_alive(lease, milliseconds(1)); });
    }
}

void scheduler::renew_membership(std::string& lease, bool& joined)
{
    const auto sent_ms = monotonic_ms();
    try {
        if (lease.empty() || !joined) {
            joined = join_cell(lease);
        } else if (store_->keep_alive(lease, settings_.member_lease).empty()) {
            LOG(WARNING) << "membership lease of this scheduler has expired; joining again";
            lease.clear();
            joined = false;
            return;
        }
        set_store_available(true);
        last_renewal_ms_ = joined ? sent_ms : 0;
        control_loop_.post([this, joined] { joined_ = joined; });
        sleep_random(settings_.member_lease / 4, settings_.member_lease / 3);
    } catch (const error&) {
        set_store_available(false);
        sleep_random(min_failure_pause, max_failure_pause);
    }
}

void scheduler::read_vm_list(http_client& client)
{
    try {
        const auto answer = client.call({.path = "/v1/vms", .timeout = peer_timeout});
        auto list = from_json<vm_list>(answer.body);
        std::map<std::string, std::vector<vm_entry>> by_shard;
        for (auto& vm : list.vms) {
            const auto shard = shard_id_for(settings_.cell, vm);
            by_shard[shard].push_back(std::move(vm));
        }
        control_loop_.post([this, by_shard = std::move(by_shard)]() mutable {
            vms_ = std::move(by_shard);
            for (auto& [id, shard] : owned_) {
                shard->apply_vm_list(vms_[id], now());
            }
        });
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 20) << "VM list could not be fetched: " << cause.what();
    }
    sleep_random(vm_list_interval, vm_list_interval + vm_list_interval / 10);
}

void scheduler::exchange_with_peers(std::size_t& next)
{
    const auto& peers = settings_.peers;
    const auto round = std::min(peers.size(), peers_per_round);
    for (std::size_t i = 0; i < round && !stopping_; ++i) {
        exchange_with(peers[next++ % peers.size()]);
    }
    sleep_random(peer_interval, peer_interval + peer_interval / 5);
}

void scheduler::exchange_with(const endpoint& peer)
{
    exchange_message response;
    try {
        response = peer_client_.exchange(
            peer, {.revision = revision_, .contracts = {}, .shards = {}}, peer_timeout);
    } catch (const error&) {
        LOG_EVERY_N(WARNING, 100) << "peer " << to_string(peer) << " is unreachable";
        return;
    }
    last_peer_contact_ms_ = monotonic_ms();
    control_loop_.post([this, response = std::move(response)] {
        for (const auto& entry : response.shards) {
            apply_shard_entry(entry);
        }
        apply_contract_records(response.contracts);
    });
}

} // namespace flamingoseam
