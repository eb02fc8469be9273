#include "tests/workflow_model_detail.hpp"

#include "flamingoseam/node/ownership_proof.hpp"

#include <algorithm>
#include <utility>

// The part of the model in which owners use workers through sessions. What is named after a
// function of node::job_owner or node::worker_session does what that function does.

namespace flamingoseam::model {

using detail::lease;
using detail::order_timeout;
using detail::simulation_start;
using node::max_earlier_certainty;
using node::max_proof_age;

namespace {

constexpr milliseconds batch_spacing{10};
constexpr milliseconds renewals_after_answers{2'500};
constexpr milliseconds max_renewals_without_store{30'000};
constexpr milliseconds max_age_without_read{1'000};
constexpr milliseconds stop_retry_delay{100};
constexpr double min_clock_rate = 0.98;
constexpr milliseconds expiry_margin{150};
constexpr milliseconds initial_retry_delay{50};
constexpr milliseconds max_retry_delay{500};
constexpr milliseconds rejection_delay{1'000};

} // namespace

// Faults.

void workflow_model::schedule_process_faults(int span)
{
    const auto any_shard = [this] {
        return static_cast<std::size_t>(between(0, options_.shards - 1).count());
    };
    const auto repeat = [this, span](int times, const action& fault) {
        for (int index = 0; index < times; ++index) {
            at(between(300, span), fault);
        }
    };
    repeat(options_.restart_bursts, [this] {
        auto& target =
            *workers_[static_cast<std::size_t>(between(0, options_.workers - 1).count())];
        restart_process(target, static_cast<int>(between(2, 4).count()));
    });
    repeat(options_.owner_replacements, [this, any_shard] { replace_owner(any_shard(), 0); });
    repeat(options_.address_swaps, [this] { swap_addresses(); });
    repeat(options_.store_cuts,
           [this, any_shard] { cut_store(any_shard(), between(3'000, 35'000)); });
    repeat(options_.partitions, [this, any_shard] { cut_partition(any_shard()); });
    repeat(options_.pair_cuts, [this] { cut_pairs(); });
    repeat(options_.owner_pauses, [this] { pause_owner(); });
    repeat(options_.owner_freezes, [this] { freeze_owner(); });
}

/// Cuts the node of an owner off from the store, and lets other owners follow.
void workflow_model::cut_store(std::size_t shard, milliseconds length)
{
    const auto current = owners_[shard];
    if (!current) {
        return;
    }
    store_cuts_[current->node] = now_ + length;
    if (chance(0.5)) {
        node_cuts_[current->node] = now_ + length;
    }
    at(between(500, 3'000), [this, shard, current] {
        if (owners_[shard] == current) {
            replace_owner(shard, options_.chain_length - 1);
        }
    });
}

/// Lets another owner take over from one that is not told so.
void workflow_model::replace_owner(std::size_t shard, int followers)
{
    if (!owners_[shard]) {
        return;
    }
    begin_owner(shard);
    if (followers > 0) {
        at(between(200, 4'000), [this, shard, followers] { replace_owner(shard, followers - 1); });
    }
}

/// Cuts the node of an owner and many workers off from the store and the other nodes.
void workflow_model::cut_partition(std::size_t shard)
{
    const auto current = owners_[shard];
    if (!current) {
        return;
    }
    const auto length = between(8'000, 35'000);
    const double share = between(40, 90).count() / 100.0;
    for (const auto& target : workers_) {
        const bool is_inside = chance(share);
        for (std::size_t node = 0; node < static_cast<std::size_t>(options_.nodes); ++node) {
            if ((node == current->node) != is_inside) {
                cuts_[{node, target->entry.id}] = now_ + length;
            }
        }
    }
    cut_store(shard, length);
    node_cuts_[current->node] = now_ + length;
}

/// Cuts some workers off from all nodes but one, or from some.
void workflow_model::cut_pairs()
{
    const auto until = now_ + between(3'000, 15'000);
    const auto& holder = owners_[static_cast<std::size_t>(between(0, options_.shards - 1).count())];
    const bool spares_holder = holder && chance(0.6);
    for (const auto& target : workers_) {
        if (!chance(0.3)) {
            continue;
        }
        for (std::size_t node = 0; node < static_cast<std::size_t>(options_.nodes); ++node) {
            const bool is_cut = spares_holder ? node != holder->node : chance(0.5);
            if (is_cut) {
                cuts_[{node, target->entry.id}] = until;
            }
        }
    }
}

void workflow_model::pause_owner()
{
    const auto& paused = owners_[static_cast<std::size_t>(between(0, options_.shards - 1).count())];
    if (paused) {
        paused->paused_until = clock() + between(300, 3'000);
    }
}

void workflow_model::freeze_owner()
{
    const auto& frozen = owners_[static_cast<std::size_t>(between(0, options_.shards - 1).count())];
    if (frozen) {
        frozen->frozen_until = clock() + between(300, 12'000);
        frozen->paused_until = std::max(frozen->paused_until, frozen->frozen_until);
        trace("", name_of(*frozen) + " stands still");
        if (chance(0.5)) {
            at(between(500, 4'000), [this, frozen, shard = frozen->shard] {
                if (owners_[shard] == frozen) {
                    replace_owner(shard, 0);
                }
            });
        }
    }
}

/// Puts a step of an owner's process off while that stands still. Returns whether it has.
bool workflow_model::defer_if_frozen(const owner_ptr& sender, const action& step)
{
    const auto left = std::chrono::ceil<milliseconds>(sender->frozen_until - clock());
    if (left <= milliseconds(0)) {
        return false;
    }
    at(left + between(0, 20), step);
    return true;
}

/// Lets a worker end and begin anew under its id, several times in quick succession.
void workflow_model::restart_process(worker& target, int times)
{
    if (now_ < target.down_until) {
        return; // It is restarting.
    }
    trace("", target.entry.id + " ends");
    std::set<task_name> crashed;
    for (const auto& [name, run] : target.runs) {
        crashed.insert(name.task);
    }
    for (const auto& end : target.ended) {
        crashed.insert(end.name.task);
    }
    for (const auto& task : crashed) {
        ++jobs_[task.job]->crashes[task];
    }
    const bool breaks_connections = !chance(options_.silent_restart_share);
    for (const auto& held : std::exchange(target.held, {})) {
        if (breaks_connections) {
            at(call_delay(),
               [this, held] { handle_poll(held.sender, held.used, held.number, std::nullopt); });
        }
    }
    target.runs.clear();
    target.ended.clear();
    target.lease_until = milliseconds(0);
    target.life = ++lives_;
    const auto down = breaks_connections && times == 1 ? between(20, 1'500) : between(5, 250);
    target.down_until = now_ + down;
    at(down, [this, &target, times] {
        target.down_until = milliseconds(0);
        begin_life(target);
        at(between(100, 1'500), [this, &target] {
            target.listed = target.entry;
            send_worker_lists();
        });
        if (times > 1) {
            at(between(30, 1'200), [this, &target, times] { restart_process(target, times - 1); });
        }
    });
}

/// Lets two workers restart, each at the other's address.
void workflow_model::swap_addresses()
{
    auto& first = *workers_[static_cast<std::size_t>(between(0, options_.workers - 1).count())];
    auto& second = *workers_[static_cast<std::size_t>(between(0, options_.workers - 1).count())];
    if (&first == &second || now_ < first.down_until || now_ < second.down_until) {
        return;
    }
    restart_process(first, 1);
    restart_process(second, 1);
    std::swap(first.entry.address, second.entry.address);
}

void workflow_model::begin_life(worker& target)
{
    if (!target.incarnations.empty() && chance(options_.clock_step_share)) {
        target.time_of_day -= between(500, 20'000);
    }
    auto born = (simulation_start + now_ + target.time_of_day).count();
    while (!target.incarnations.insert(born).second) {
        ++born;
    }
    target.entry.incarnation = born;
    target.life = ++lives_;
    target.runs.clear();
    target.refused_up_to.clear();
    target.ended.clear();
    target.hidden_until.clear();
    target.next_end = 1;
    target.epoch = 0;
    target.lease_until = milliseconds(0);
    target.started_at = now_;
    trace("", target.entry.id + " begins its life " + std::to_string(born));
}

milliseconds workflow_model::worker_clock(const worker& target) const
{
    return now_ - target.started_at + milliseconds(1);
}

bool workflow_model::is_cut(const owner& sender, const worker& target) const
{
    const auto cut = cuts_.find({sender.node, target.entry.id});
    return target.disconnected || (cut != cuts_.end() && cut->second > now_);
}

/// Checks whether a worker refuses a connection, or has closed it as it has restarted since.
bool workflow_model::is_refused(const worker& target, std::uint64_t connected_life) const
{
    const bool is_closed =
        options_.keeps_connections && connected_life != 0 && connected_life != target.life;
    return is_closed || now_ < target.down_until;
}

milliseconds workflow_model::call_delay()
{
    return chance(options_.slow_call_share) ? between(30, 600) : between(1, 30);
}

// Owners.

bool workflow_model::reaches_store(const owner& sender) const
{
    return !store_unreachable_ && !is_cut_off(store_cuts_, sender.node);
}

bool workflow_model::is_cut_off(const std::map<std::size_t, milliseconds>& cuts,
                                std::size_t node) const
{
    const auto cut = cuts.find(node);
    return cut != cuts.end() && cut->second > now_;
}

void workflow_model::begin_owner(std::size_t shard)
{
    const auto& earlier = newest_[shard];
    std::vector<std::size_t> candidates;
    for (std::size_t node = 0; node < static_cast<std::size_t>(options_.nodes); ++node) {
        if (!is_cut_off(store_cuts_, node) &&
            !(earlier && earlier->node == node && !earlier->is_killed)) {
            candidates.push_back(node);
        }
    }
    if (store_unreachable_ || candidates.empty()) {
        at(milliseconds(200), [this, shard, earlier] {
            if (newest_[shard] == earlier) {
                begin_owner(shard);
            }
        });
        return;
    }
    const auto started = std::make_shared<owner>(workflow_options{
        .epoch = ++epochs_[shard], .keys = keys_of(shard), .streams = detail::streams});
    started->shard = shard;
    started->epoch = epochs_[shard];
    started->node = candidates[static_cast<std::size_t>(
        between(0, static_cast<int>(candidates.size()) - 1).count())];
    started->earlier = earlier;
    started->proof = clock();
    newest_[shard] = started;
    owners_[shard] = nullptr; // Until the stored state is read.
    at(between(5, 200), [this, started] {
        if (newest_[started->shard] == started) {
            owners_[started->shard] = started;
        }
        load_owner(started);
    });
}

void workflow_model::load_owner(const owner_ptr& started)
{
    trace("", name_of(*started) + " begins on node " + std::to_string(started->node));
    const auto keys = keys_of(started->shard);
    auto& state = started->state;
    state.set_permission_call_slots(options_.permission_call_slots);
    state.set_lending_limits(
        {.shard = started->shard, .shards = owners_.size(), .cell_workers = workers_.size()});
    const bool has_earlier = started->epoch > 1;
    started->earlier_certainty = has_earlier ? max_earlier_certainty : milliseconds(0);
    started->certain_at = clock();
    started->earlier_starts_end = clock() + started->earlier_certainty;
    started->earlier_ended = !has_earlier;
    started->earlier_renewals_limit =
        clock() + started->earlier_certainty + max_renewals_without_store + renewals_after_answers;
    started->earlier_renewals_end = has_earlier ? time_point::max() : clock();
    if (has_earlier) {
        state.await_earlier_owner();
    }
    std::vector<worker_entry> leased_workers;
    if (const auto found = records_.find(keys.leased_workers()); found != records_.end()) {
        leased_workers = read_leased_workers(found->second);
    }
    state.load(
        read_jobs(records_below(keys.specification_prefix()), records_below(keys.progress_prefix()))
            .jobs,
        leased_workers, clock(), simulation_start + now_);
    processes_.push_back(started);
    if (options_.slow_takeover_share > 0 && chance(options_.slow_takeover_share)) {
        started->paused_until = clock() + between(300, 3'000);
    }
    post(started, [this, started] { open_sessions(started); });
    send_worker_list(started->shard);
    prove_ownership(started);
    if (started->earlier && !started->earlier->is_killed) {
        ask_earlier_to_stop(started, clock() + max_earlier_certainty);
    }
}

void workflow_model::ask_earlier_to_stop(const owner_ptr& later, time_point end)
{
    const auto earlier = later->earlier;
    if (!earlier || clock() >= end || later->earlier_ended || !later->active) {
        later->earlier.reset();
        return;
    }
    const bool is_lost =
        chance(0.2) || is_cut_off(node_cuts_, earlier->node) || is_cut_off(node_cuts_, later->node);
    at(is_lost ? milliseconds(200) : between(2, 100), [this, later, earlier, end, is_lost] {
        const bool has_stopped = !is_lost && stop_earlier(earlier);
        if (later->earlier_ended || !later->active) {
            later->earlier.reset();
        } else if (has_stopped) {
            const bool renew_no_more = earlier->earlier_renewals_end <= clock();
            post(later, [later, renew_no_more] {
                later->earlier_stopped = true;
                later->earlier_renew_no_more = renew_no_more;
            });
            later->earlier.reset();
        } else {
            at(stop_retry_delay, [this, later, end] { ask_earlier_to_stop(later, end); });
        }
    });
}

/// Answers as node::stop_owner() does.
bool workflow_model::stop_earlier(const owner_ptr& earlier)
{
    if (earlier->is_killed) {
        return false;
    }
    if (earlier->is_dropped) {
        return earlier->stopped;
    }
    report_superseded(earlier);
    return earlier->earlier_ended;
}

void workflow_model::report_superseded(const owner_ptr& superseded)
{
    if (!superseded->active || std::exchange(superseded->acts_no_more, true)) {
        return;
    }
    trace("", name_of(*superseded) + " is superseded");
    at(between(1, 100), [this, superseded] { drop_owner(superseded); });
}

void workflow_model::drop_owner(const owner_ptr& dropped)
{
    if (dropped->is_killed || std::exchange(dropped->is_dropped, true)) {
        return;
    }
    dropped->stopped = dropped->earlier_ended;
    dropped->active = false;
    dropped->earlier.reset();
    for (const auto& [index, used] : dropped->sessions) {
        used->ending = true;
    }
    std::erase(processes_, dropped);
    auto& current = owners_[dropped->shard];
    if (current == dropped) {
        current.reset();
        if (newest_[dropped->shard] == dropped) {
            begin_owner(dropped->shard);
        }
    }
}

void workflow_model::prove_ownership(const owner_ptr& sender)
{
    if (defer_if_frozen(sender, [=, this] { prove_ownership(sender); })) {
        return;
    }
    if (!sender->active || sender->acts_no_more) {
        return;
    }
    at(milliseconds(250), [this, sender] { prove_ownership(sender); });
    if (clock() - sender->proof < max_age_without_read || !reaches_store(*sender)) {
        return;
    }
    at(between(3, 60), [this, sender, sent = clock()] {
        if (!reaches_store(*sender)) {
            return;
        }
        if (sender->epoch == epochs_[sender->shard]) {
            sender->proof = std::max(sender->proof, sent);
        } else {
            report_superseded(sender);
        }
    });
}

bool workflow_model::is_certain(const owner& sender) const
{
    return clock() - sender.proof < max_proof_age;
}

bool workflow_model::may_start(const owner& sender) const
{
    return sender.active && !sender.acts_no_more && is_certain(sender);
}

bool workflow_model::may_renew(const owner& sender) const
{
    return !sender.acts_no_more && (is_certain(sender) || clock() < sender.renewals_end);
}

/// Queues a step of the control thread.
void workflow_model::post(const owner_ptr& sender, action step)
{
    sender->steps.push_back(std::move(step));
    wake(sender);
}

void workflow_model::wake(const owner_ptr& sender)
{
    if (!sender->active || std::exchange(sender->is_batch_due, true)) {
        return;
    }
    const auto due = std::max(sender->next_batch, sender->paused_until);
    const auto left = std::chrono::ceil<milliseconds>(due - clock());
    at(std::max(milliseconds(0), left), [this, sender] { run_batch(sender); });
}

void workflow_model::run_batch(const owner_ptr& sender)
{
    sender->is_batch_due = false;
    if (!sender->active) {
        return;
    }
    if (clock() < sender->paused_until) {
        wake(sender);
        return;
    }
    sender->next_batch = clock() + batch_spacing;
    for (const auto& step : std::exchange(sender->steps, {})) {
        if (!sender->acts_no_more) {
            step();
        }
    }
    after_batch(sender);
}

void workflow_model::after_batch(const owner_ptr& sender)
{
    if (sender->acts_no_more) {
        return;
    }
    const bool certain = is_certain(*sender);
    sender->state.set_certain(certain);
    if (certain == sender->uncertain_since.has_value()) {
        sender->uncertain_since = certain ? std::nullopt : std::optional(clock());
    }
    update_renewals_end(*sender);
    update_earlier_owner(*sender);
    bound_earlier_renewals(*sender);
    if (clock() >= sender->earlier_renewals_end) {
        sender->state.on_earlier_renewals_ended();
    }
    sender->state.tick(clock());
    process_actions(sender, sender->state.take_actions());
    write_store(sender);
}

void workflow_model::update_renewals_end(owner& sender)
{
    const auto time = clock();
    if (!sender.uncertain_since) {
        sender.certain_at = time;
        sender.renewals_end = time + renewals_after_answers;
    } else if (const auto answered = sender.state.majority_answered_at(sender.proof)) {
        sender.renewals_end =
            std::min(std::max(*answered, sender.certain_at) + renewals_after_answers,
                     sender.certain_at + max_renewals_without_store);
    }
}

void workflow_model::update_earlier_owner(owner& sender)
{
    if (sender.earlier_ended || (!sender.earlier_stopped && clock() < sender.earlier_starts_end)) {
        return;
    }
    sender.earlier_ended = true;
    sender.state.on_earlier_owner_ended(clock());
}

void workflow_model::bound_earlier_renewals(owner& sender)
{
    const auto time = clock();
    const bool have_stopped = sender.earlier_stopped &&
                              (!options_.tells_of_earlier_renewals || sender.earlier_renew_no_more);
    if (have_stopped && sender.earlier_renewals_end > time) {
        set_earlier_renewals_end(sender, time);
    } else if (sender.earlier_renewals_end != time_point::max()) {
        return;
    } else if (sender.state.has_majority_accepted()) {
        set_earlier_renewals_end(sender, time + sender.earlier_certainty + renewals_after_answers);
    } else if (time >= sender.earlier_renewals_limit) {
        set_earlier_renewals_end(sender, time);
    }
}

void workflow_model::set_earlier_renewals_end(owner& sender, time_point end)
{
    sender.earlier_renewals_end = end;
    for (const auto& [index, used] : sender.sessions) {
        used->earlier_renewals_end = std::min(used->earlier_renewals_end, end);
    }
    trace("", name_of(sender) + " expects the end of earlier renewals at " +
                  std::to_string((end - time_point{}) / milliseconds(1)) +
                  (sender.earlier_stopped ? ", the earlier owner has stopped" : ""));
}

/// Handles the store's answer that a batch is stored.
void workflow_model::receive_stored(const owner_ptr& sender, std::size_t stream, time_point sent)
{
    if (defer_if_frozen(sender, [=, this] { receive_stored(sender, stream, sent); })) {
        return;
    }
    at(between(1, 20), [this, sender, stream, sent] {
        if (!reaches_store(*sender)) {
            receive_stored(sender, stream, sent);
            return;
        }
        sender->proof = std::max(sender->proof, sent);
        post(sender, [this, sender, stream] {
            sender->streams_in_flight.erase(stream);
            sender->state.on_stored(stream);
            sender->store_silent = false;
            sender->state.set_store_available(true);
        });
    });
}

void workflow_model::dispatch_to_sessions(const owner_ptr& sender, const workflow_actions& actions)
{
    const auto session_of = [&](std::size_t index) {
        const auto found = sender->sessions.find(index);
        return found == sender->sessions.end() ? nullptr : found->second;
    };
    for (const auto index : actions.released_workers) {
        retire_session(*sender, index);
    }
    for (const auto& order : actions.stops) {
        const auto used = session_of(order.worker);
        if (used && options_.stop_withdraws_start &&
            std::erase_if(used->starts,
                          [&](const auto& start) { return start.order.name == order.name; }) > 0) {
            post_start_result(sender, used, order.name, start_outcome::not_sent);
        }
        if (used && std::ranges::find(used->stops, order.name) == used->stops.end()) {
            used->stops.push_back(order.name);
            run_orders(sender, used);
        }
    }
    for (const auto& order : actions.starts) {
        const auto used = session_of(order.worker);
        if (!used || used->ending) {
            post(sender, [this, sender, order] {
                sender->state.on_start(order.worker, order.name, start_outcome::not_sent, clock());
            });
            continue;
        }
        used->starts.push_back({order, clock()});
        used->has_runs = true;
        run_orders(sender, used);
    }
    for (const auto& [index, time] : actions.reports_needed) {
        if (const auto used = session_of(index)) {
            used->report_expected = time;
        }
    }
    for (const auto& order : actions.forgets) {
        if (const auto used = session_of(order.worker)) {
            forget(sender, used, order);
        }
    }
    for (const auto& permit : actions.renewal_permits) {
        if (const auto used = session_of(permit.worker)) {
            used->may_renew = used->may_renew ||
                              (!used->unreachable && permit.silent_since == used->silent_since);
        }
    }
}

void workflow_model::open_sessions(const owner_ptr& sender)
{
    for (std::size_t index = 0; index < sender->state.workers().size(); ++index) {
        const auto& state = sender->state.workers().at(index);
        if (!state.listed && !state.lease_stored) {
            continue;
        }
        const auto found = sender->sessions.find(index);
        if (found == sender->sessions.end()) {
            open_session(sender, index);
            continue;
        }
        const auto used = found->second;
        if (used->address != state.entry.address) {
            retire_session(*sender, index);
            open_session(sender, index);
            continue;
        }
        if (!state.listed || state.entry.leaving) {
            for (const auto& start : std::exchange(used->starts, {})) {
                post_start_result(sender, used, start.order.name, start_outcome::not_sent);
            }
        }
        expect_incarnation(sender, used, state.entry.incarnation);
    }
}

void workflow_model::open_session(const owner_ptr& sender, std::size_t index)
{
    const auto& state = sender->state.workers().at(index);
    if (state.silence_stored && !state.unreachable) {
        sender->state.on_unreachable_changed(index, true, clock(), clock());
    }
    const auto own_end = state.unreachable ? state.silent_since : clock();
    const auto earlier_end =
        state.silence_loaded ? own_end : std::max(own_end, sender->earlier_renewals_end);
    const auto base = options_.raise_token ? state.entry.token_base : 0;
    const auto used = std::make_shared<session>(
        node::worker_session_options{.id = {.worker = index, .number = ++sender->last_session},
                                     .epoch = base + sender->epoch,
                                     .earlier_incarnations = sender->met_incarnations[index],
                                     .lease = lease,
                                     .is_renewal_withheld = state.unreachable,
                                     .earlier_renewals_end = earlier_end,
                                     .earlier_starts_end = sender->earlier_starts_end},
        state.entry, clock());
    sender->sessions.emplace(index, used);
    run_polls(sender, used);
}

void workflow_model::retire_session(owner& sender, std::size_t index)
{
    const auto found = sender.sessions.find(index);
    if (found != sender.sessions.end()) {
        found->second->released = true;
        found->second->ending = true;
        sender.met_incarnations[index] = found->second->incarnations + 1;
        sender.sessions.erase(found);
    }
}

// Sessions.

/// Returns the worker that has the address of a session, which may be another one than the
/// session's.
workflow_model::worker& workflow_model::worker_at(const session& used) const
{
    const auto found = std::ranges::find_if(
        workers_, [&](const auto& item) { return item->entry.address == used.address; });
    return **found;
}

std::uint64_t workflow_model::token_of(const session& used) const
{
    return used.options.epoch * node::tokens_per_epoch +
           std::min(used.incarnations, node::tokens_per_epoch - 1);
}

bool workflow_model::is_current(const owner& sender, const session& used) const
{
    const auto found = sender.sessions.find(used.options.id.worker);
    return found != sender.sessions.end() &&
           found->second->options.id.number == used.options.id.number;
}

void workflow_model::begin_incarnation(session& used)
{
    ++used.incarnations;
    used.forget_up_to = 0;
    used.awaits_report = true;
}

void workflow_model::expect_incarnation(const owner_ptr& sender, const session_ptr& used,
                                        std::int64_t incarnation)
{
    if (incarnation <= std::max(used->incarnation, used->listed_incarnation)) {
        return;
    }
    used->listed_incarnation = incarnation;
    begin_incarnation(*used);
    // The other thread cancels the poll a moment later.
    at(milliseconds(0), [this, sender, used] {
        if (used->is_poll_sent) {
            ++used->poll_number;
            used->is_poll_sent = false;
            used->poll_life = 0;
        }
        used->next_poll = clock();
        used->awaited_end = 0;
        run_polls(sender, used);
    });
}

void workflow_model::forget(const owner_ptr& sender, const session_ptr& used,
                            const forget_order& order)
{
    const bool is_ignored = options_.forgets_after_report && used->awaits_report;
    if (order.incarnation == used->incarnation && !is_ignored) {
        used->forget_up_to = std::max(used->forget_up_to, order.up_to);
    }
    if (used->awaited_end != 0 && used->forget_up_to >= used->awaited_end) {
        run_polls(sender, used);
    }
}

milliseconds workflow_model::extend_lease(const owner& sender, session& used)
{
    return may_renew(sender) && used.may_renew ? used.clock.extend(used.options.lease, clock())
                                               : milliseconds(0);
}

void workflow_model::record_clock(session& used, milliseconds time)
{
    if (time == milliseconds(0)) {
        return;
    }
    if (used.clock.has_restarted(time)) {
        begin_incarnation(used);
        used.clock = node::lease_clock(used.options.lease);
    }
    used.clock.record(time, clock());
}

void workflow_model::run_polls(const owner_ptr& sender, const session_ptr& used)
{
    if (defer_if_frozen(sender, [=, this] { run_polls(sender, used); })) {
        return;
    }
    if (used->ending || sender->is_killed || used->is_poll_sent ||
        is_waiting_for_storage(sender, used)) {
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(used->next_poll - clock());
    if (left > milliseconds(0)) {
        at(left, [this, sender, used] { run_polls(sender, used); });
    } else {
        send_poll(sender, used);
    }
}

bool workflow_model::is_waiting_for_storage(const owner_ptr& sender, const session_ptr& used)
{
    if (used->awaited_end == 0) {
        return false;
    }
    const auto left = std::chrono::ceil<milliseconds>(used->storage_wait_end - clock());
    if (used->forget_up_to < used->awaited_end && left > milliseconds(0)) {
        at(left, [this, sender, used] { run_polls(sender, used); });
        return true;
    }
    used->awaited_end = 0;
    if (!used->report_expected) {
        used->next_poll = clock() + used->options.report_spacing;
    }
    return false;
}

void workflow_model::send_poll(const owner_ptr& sender, const session_ptr& used)
{
    node::renew_call call{.epoch = token_of(*used), .lease_until = extend_lease(*sender, *used)};
    call.forget_up_to = used->unreachable || used->is_poll_repeated ? 0 : used->forget_up_to;
    call.wait = used->clock.is_known() ? next_wait(*sender, *used) : milliseconds(0);
    trace("", name_of(*sender) + " polls " + used->id + " with token " +
                  std::to_string(call.epoch) + ", forgets up to " +
                  std::to_string(call.forget_up_to));
    const auto timeout = call.wait + used->options.answer_timeout;
    used->asked = clock();
    used->answer_due = used->asked + timeout;
    used->asked_token = call.epoch;
    used->is_poll_sent = true;
    const auto number = ++used->poll_number;
    at(timeout, [this, sender, used, number] { handle_poll(sender, used, number, std::nullopt); });
    if (is_cut(*sender, worker_at(*used))) {
        return;
    }
    at(call_delay(), [this, sender, used, call, number, life = used->poll_life] {
        auto& target = worker_at(*used);
        if (is_cut(*sender, target)) {
            return;
        }
        if (is_refused(target, life)) {
            handle_poll(sender, used, number, std::nullopt);
            return;
        }
        accept_session_poll(sender, used, target, call, number);
    });
}

void workflow_model::accept_session_poll(const owner_ptr& sender, const session_ptr& used,
                                         worker& target, const node::renew_call& call,
                                         std::uint64_t number)
{
    const auto reply = [this, sender, used, number, &target](node::renew_answer answer) {
        at(call_delay(),
           [this, sender, used, number, &target, answer = std::move(answer), life = target.life] {
               if (!is_cut(*sender, target)) {
                   handle_poll(sender, used, number, answer, life);
               }
           });
    };
    if (target.entry.id != used->id) {
        reply({.outcome = node::renew_answer::kind::wrong_incarnation,
               .clock = worker_clock(target),
               .report = {}});
        return;
    }
    if (options_.check_fence && call.epoch < target.epoch) {
        reply({.outcome = node::renew_answer::kind::fenced,
               .clock = worker_clock(target),
               .report = {}});
        return;
    }
    trace("", target.entry.id + " accepts a poll with token " + std::to_string(call.epoch) +
                  ", forgets up to " + std::to_string(call.forget_up_to));
    target.epoch = std::max(target.epoch, call.epoch);
    if (call.lease_until != milliseconds(0)) {
        const auto until = target.started_at + call.lease_until;
        target.lease_until = std::max(target.lease_until, std::min(until, now_ + lease));
    }
    const auto newest = target.ended.empty() ? 0 : target.ended.back().number;
    drop_ends(target, options_.forget_after_storing ? call.forget_up_to : newest, name_of(*sender));
    const held_poll held{sender, used, number, now_ + call.wait};
    if (!target.ended.empty() || call.wait == milliseconds(0)) {
        answer_poll(target, held);
        return;
    }
    target.held.push_back(held);
    at(call.wait, [this, &target, held] {
        const auto same = std::ranges::find_if(target.held, [&](const held_poll& other) {
            return other.used == held.used && other.number == held.number;
        });
        if (same != target.held.end()) {
            target.held.erase(same);
            answer_poll(target, held);
        }
    });
}

void workflow_model::answer_poll(worker& target, const held_poll& held)
{
    node::renew_answer answer{.clock = worker_clock(target), .report = make_report(target)};
    at(call_delay(), [this, held, &target, answer = std::move(answer), life = target.life] {
        if (!is_cut(*held.sender, target)) {
            handle_poll(held.sender, held.used, held.number, answer, life);
        }
    });
}

/// Answers the polls that wait for news, a moment later, when more may have happened.
void workflow_model::answer_held_polls(worker& target)
{
    if (target.held.empty()) {
        return;
    }
    at(milliseconds(0), [this, &target] {
        for (const auto& held : std::exchange(target.held, {})) {
            answer_poll(target, held);
        }
    });
}

milliseconds workflow_model::next_wait(const owner& sender, session& used) const
{
    const auto& options = used.options;
    if (!used.may_renew) {
        return options.min_poll_wait;
    }
    if (!used.report_expected) {
        const bool is_idle = !used.has_runs && may_start(sender);
        return is_idle ? options.idle_poll_wait : options.poll_wait;
    }
    const auto left = std::chrono::ceil<milliseconds>(*used.report_expected - clock());
    used.report_expected.reset();
    return std::clamp(left, options.min_poll_wait, options.poll_wait);
}

void workflow_model::handle_poll(const owner_ptr& sender, const session_ptr& used,
                                 std::uint64_t number, std::optional<node::renew_answer> answer,
                                 std::uint64_t life)
{
    if (defer_if_frozen(sender, [=, this] { handle_poll(sender, used, number, answer, life); })) {
        return;
    }
    if (number != used->poll_number || !used->is_poll_sent || used->ending || sender->is_killed) {
        return;
    }
    used->is_poll_sent = false;
    used->poll_life = life;
    if (!answer) {
        handle_lost_poll(sender, used);
    } else {
        used->is_poll_repeated = false;
        record_clock(*used, answer->clock);
        handle_renewal(sender, used, std::move(*answer));
    }
    run_polls(sender, used);
}

void workflow_model::handle_lost_poll(const owner_ptr& sender, const session_ptr& used)
{
    if (clock() < used->answer_due && !used->is_poll_repeated) {
        used->is_poll_repeated = true;
        used->next_poll = clock();
        return;
    }
    used->is_poll_repeated = false;
    fail_poll(sender, used);
    used->next_poll = clock() + used->retry_delay;
}

void workflow_model::handle_renewal(const owner_ptr& sender, const session_ptr& used,
                                    node::renew_answer answer)
{
    if (answer.outcome == node::renew_answer::kind::fenced) {
        report_fenced(sender, *used, used->asked_token);
        used->next_poll =
            clock() + (used->asked_token == token_of(*used) ? rejection_delay : milliseconds(0));
        return;
    }
    if (answer.outcome == node::renew_answer::kind::wrong_incarnation) {
        set_unreachable(sender, used, true);
        post_emptied(sender, used, emptied_reason::replaced);
        used->next_poll = clock() + rejection_delay;
        return;
    }
    used->retry_delay = initial_retry_delay;
    used->emptied = false;
    used->has_runs = !answer.report.present.empty() || !answer.report.ended.empty();
    if (answer.report.incarnation != used->incarnation) {
        used->incarnation = answer.report.incarnation;
        begin_incarnation(*used);
        used->clock = node::lease_clock(used->options.lease);
        used->clock.record(answer.clock, clock());
    }
    used->awaits_report = false;
    const auto newest_end =
        answer.report.ended.empty() ? std::int64_t{0} : answer.report.ended.back().number;
    answer.report.asked = used->asked;
    used->answered_asked = used->asked;
    set_unreachable(sender, used, false);
    post(sender, [this, sender, used, report = std::move(answer.report)] {
        if (is_current(*sender, *used)) {
            sender->state.on_report(used->options.id.worker, report, clock(),
                                    simulation_start + now_);
        }
    });
    used->next_poll = clock();
    used->storage_wait_end = clock() + used->options.storage_wait;
    used->awaited_end = newest_end;
}

void workflow_model::fail_poll(const owner_ptr& sender, const session_ptr& used)
{
    set_unreachable(sender, used, true);
    used->retry_delay = std::min(2 * used->retry_delay, max_retry_delay);
    const auto time = clock();
    const auto has_expired = [&] {
        if (used->clock.is_known() && !used->clock.has_expired(time)) {
            return false;
        }
        if (used->clock.is_known() && used->answered_asked >= used->options.earlier_starts_end) {
            return true;
        }
        const auto max_earlier_lease =
            scaled(used->options.lease, 1 / min_clock_rate) + expiry_margin;
        return time > used->earlier_renewals_end &&
               time - used->earlier_renewals_end > max_earlier_lease;
    };
    if (used->emptied || !has_expired()) {
        return;
    }
    used->emptied = true;
    trace("", name_of(*sender) + " takes " + used->id + " for empty");
    post_emptied(sender, used, emptied_reason::lease_expired);
}

void workflow_model::post_emptied(const owner_ptr& sender, const session_ptr& used,
                                  emptied_reason reason)
{
    post(sender, [this, sender, used, reason] {
        const auto index = used->options.id.worker;
        if (!is_current(*sender, *used)) {
            return;
        }
        sender->state.on_emptied(index, reason, clock(), simulation_start + now_);
        if (!sender->state.workers().at(index).listed) {
            retire_session(*sender, index);
        }
    });
}

void workflow_model::set_unreachable(const owner_ptr& sender, const session_ptr& used,
                                     bool unreachable)
{
    if (used->unreachable == unreachable) {
        return;
    }
    used->unreachable = unreachable;
    if (unreachable) {
        used->may_renew = false;
        used->silent_since = clock();
    }
    post(sender, [this, sender, used, unreachable, since = used->silent_since] {
        if (is_current(*sender, *used)) {
            sender->state.on_unreachable_changed(used->options.id.worker, unreachable, since,
                                                 clock());
        }
    });
}

void workflow_model::report_fenced(const owner_ptr& sender, const session& used,
                                   std::uint64_t sent_token)
{
    if (!used.released && sent_token == token_of(used)) {
        trace("", name_of(*sender) + " is fenced by " + used.id);
        report_superseded(sender);
    }
}

void workflow_model::run_orders(const owner_ptr& sender, const session_ptr& used)
{
    if (defer_if_frozen(sender, [=, this] { run_orders(sender, used); })) {
        return;
    }
    if (used->ending || sender->is_killed) {
        return;
    }
    while (!used->sent_order && send_next_order(sender, used)) {
    }
}

bool workflow_model::send_next_order(const owner_ptr& sender, const session_ptr& used)
{
    if (!used->stops.empty() && (used->is_stop_next || used->starts.empty())) {
        used->is_stop_next = false;
        used->sent_order.emplace();
        used->sent_order->call.name = used->stops.front();
        used->stops.pop_front();
        used->sent_order->call.epoch = token_of(*used);
        send_order(sender, used);
        return true;
    }
    if (!used->starts.empty()) {
        used->is_stop_next = true;
        prepare_start(sender, used);
        return true;
    }
    return false;
}

void workflow_model::prepare_start(const owner_ptr& sender, const session_ptr& used)
{
    auto start = std::move(used->starts.front());
    used->starts.pop_front();
    const auto lease_until = extend_lease(*sender, *used);
    const bool is_late = clock() - start.queued_at > used->options.max_start_age;
    if (is_late || lease_until == milliseconds(0) || !may_start(*sender)) {
        post_start_result(sender, used, start.order.name, start_outcome::not_sent);
        return;
    }
    used->sent_order = {.is_start = true,
                        .call = {.name = start.order.name,
                                 .payload = start.order.payload,
                                 .checkpoint = start.order.checkpoint,
                                 .ticket = start.order.ticket,
                                 .epoch = token_of(*used),
                                 .lease_until = lease_until}};
    send_order(sender, used);
}

void workflow_model::send_order(const owner_ptr& sender, const session_ptr& used)
{
    auto& sent = *used->sent_order;
    trace(sent.call.name.task.job, name_of(*sender) + " sends the " +
                                       (sent.is_start ? "start of " : "stop of ") +
                                       to_string(sent.call.name) + " to " + used->id);
    sent.sent_at = clock();
    const auto number = ++used->order_number;
    at(order_timeout,
       [this, sender, used, number] { handle_order(sender, used, number, std::nullopt); });
    const auto life = worker_at(*used).life;
    if (is_cut(*sender, worker_at(*used))) {
        return;
    }
    if (sent.is_start && chance(options_.late_order_share)) {
        at(between(2'000, 12'000), [this, sender, used, order = sent, life] {
            auto& target = worker_at(*used);
            if (now_ >= target.down_until) {
                accept_order(*sender, *used, target, order, 0, life);
            }
        });
        return;
    }
    at(call_delay(),
       [this, sender, used, order = sent, number, life, connected = used->order_life] {
           auto& target = worker_at(*used);
           if (is_cut(*sender, target)) {
               return;
           }
           std::optional<node::order_answer> answer;
           if (!is_refused(target, connected)) {
               answer = accept_order(*sender, *used, target, order, number, life);
               if (chance(options_.repeated_order_share)) {
                   answer.reset(); // The connection breaks before the answer.
               } else if (chance(options_.lost_answer_share)) {
                   return;
               }
           }
           at(call_delay(),
              [this, sender, used, number, &target, answer, answering = answer ? target.life : 0] {
                  if (!is_cut(*sender, target)) {
                      handle_order(sender, used, number, answer, answering);
                  }
              });
       });
}

node::order_answer workflow_model::accept_order(const owner& sender, const session& used,
                                                worker& target,
                                                const node::detail::sent_order& order,
                                                std::uint64_t number, std::uint64_t life)
{
    if (target.entry.id != used.id) {
        return {.outcome = start_outcome::wrong_incarnation, .clock = worker_clock(target)};
    }
    const bool is_awaited = used.sent_order && used.order_number == number && !used.released &&
                            sender.epoch == epochs_[sender.shard];
    const bool is_late = !is_awaited || order.is_repeated;
    if (is_late && life != target.life && !options_.late_orders_reach_next_life) {
        return {.outcome = start_outcome::fenced, .clock = worker_clock(target)};
    }
    const auto& call = order.call;
    if (!order.is_start) {
        const bool is_accepted = accept_stop(target, call.epoch, call.name);
        return {.outcome = is_accepted ? start_outcome::started : start_outcome::fenced,
                .clock = worker_clock(target)};
    }
    const auto until = std::min(target.started_at + call.lease_until, now_ + lease);
    const auto outcome = accept_start(target, call.epoch,
                                      {.worker = used.options.id.worker,
                                       .name = call.name,
                                       .payload = call.payload,
                                       .checkpoint = call.checkpoint,
                                       .ticket = call.ticket},
                                      until);
    return {.outcome = outcome, .clock = worker_clock(target)};
}

void workflow_model::handle_order(const owner_ptr& sender, const session_ptr& used,
                                  std::uint64_t number, std::optional<node::order_answer> answer,
                                  std::uint64_t life)
{
    if (defer_if_frozen(sender, [=, this] { handle_order(sender, used, number, answer, life); })) {
        return;
    }
    if (number != used->order_number || !used->sent_order || sender->is_killed) {
        return;
    }
    used->order_life = life;
    auto& sent = *used->sent_order;
    const bool may_repeat = !sent.is_repeated && clock() - sent.sent_at < order_timeout / 2 &&
                            (!sent.is_start || may_start(*sender));
    if (!answer && may_repeat) {
        sent.is_repeated = true;
        sent.call.epoch = sent.is_start ? sent.call.epoch : token_of(*used);
        send_order(sender, used);
        return;
    }
    const auto received = answer.value_or(node::order_answer{});
    record_clock(*used, received.clock);
    const auto order = std::move(*used->sent_order);
    used->sent_order.reset();
    if (received.outcome == start_outcome::fenced) {
        report_fenced(sender, *used, order.call.epoch);
    }
    if (order.is_start) {
        post_start_result(sender, used, order.call.name, received.outcome);
    } else if (received.outcome == start_outcome::started) {
        post(sender, [this, sender, used, name = order.call.name] {
            sender->state.on_stop(used->options.id.worker, name, clock());
        });
    }
    run_orders(sender, used);
}

void workflow_model::post_start_result(const owner_ptr& sender, const session_ptr& used,
                                       const run_name& name, start_outcome outcome)
{
    post(sender, [this, sender, used, name, outcome] {
        sender->state.on_start(used->options.id.worker, name, outcome, clock());
    });
}

} // namespace flamingoseam::model
