#include "flamingoseam/scheduler/owned_shard.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/log/log.hpp"

#include <glog/logging.h>

#include <iterator>

namespace flamingoseam {

owned_shard::owned_shard(shard_entry entry, std::unique_ptr<shard_state> state, post_function post,
                         milliseconds worker_lease)
    : entry_(std::move(entry)), state_(std::move(state)), post_(std::move(post)),
      worker_lease_(worker_lease)
{
}

owned_shard::~owned_shard()
{
    stop_links();
}

std::uint64_t owned_shard::add_reply(scheduler_service::reply_outcome reply)
{
    const auto token = next_token_++;
    pending_replies_.emplace(token, std::move(reply));
    return token;
}

void owned_shard::open_link(const vm_entry& vm)
{
    if (links_.contains(vm.address)) {
        return;
    }
    const worker_link_options options{.worker = endpoint_from_string(vm.address),
                                      .shard = entry_.shard,
                                      .owner = entry_.owner,
                                      .epoch = entry_.epoch,
                                      .lease = worker_lease_};
    try {
        links_.emplace(vm.address, std::make_unique<http_worker_link>(options, *this));
    } catch (const resource_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "worker " << vm.address
                                 << " gets no work until there is a thread for its link: "
                                 << cause.what();
    }
}

void owned_shard::apply_vm_list(const std::vector<vm_entry>& vms, time_point time)
{
    for (const auto& worker : state_->pool().workers()) {
        last_listed_.try_emplace(worker.address, time);
    }
    for (const auto& vm : vms) {
        last_listed_[vm.address] = time;
    }
    state_->on_vm_list(vms, time);
    for (const auto& vm : vms) {
        open_link(vm);
    }
    for (auto it = last_listed_.begin(); it != last_listed_.end();) {
        const bool missing = time - it->second > worker_lease_ + worker_lease_ / 4;
        it = missing && handle_missing_worker(it->first, time) ? last_listed_.erase(it)
                                                               : std::next(it);
    }
}

bool owned_shard::handle_missing_worker(const std::string& address, time_point time)
{
    const auto index = state_->pool().find(address);
    if (index && fenced_workers_.contains(address) &&
        state_->pool().at(*index).status != worker_status::lost) {
        // The list may be wrong. While the worker still responds, its tasks continue to run, so it
        // is only excluded from new tasks.
        const auto& worker = state_->pool().at(*index);
        state_->on_vm_list(
            {{.address = address, .zone = worker.zone, .rack = worker.rack, .leaving = true}},
            time);
        return false;
    }
    state_->on_worker_lost(address, time);
    const auto link = links_.find(address);
    if (link != links_.end()) {
        link->second->request_stop();
        retired_links_.push_back(std::move(link->second));
        links_.erase(link);
    }
    fenced_workers_.erase(address);
    return true;
}

std::vector<share_request> owned_shard::dispatch()
{
    auto actions = state_->take_actions();
    journal_write_needed |= actions.journal;
    for (const auto& action : actions.starts) {
        const auto link = links_.find(action.worker);
        if (link != links_.end()) {
            link->second->start(action.task);
        }
    }
    for (const auto& action : actions.controls) {
        const auto link = links_.find(action.worker);
        if (link != links_.end()) {
            link->second->control(action.stop);
        }
    }
    for (auto& action : actions.answers) {
        const auto reply = pending_replies_.find(action.token);
        if (reply != pending_replies_.end()) {
            reply->second(std::move(action.result));
            pending_replies_.erase(reply);
        }
    }
    return std::move(actions.share_requests);
}

void owned_shard::abandon()
{
    stop_links();
    state_->abandon();
    dispatch();
    answer_waiting_callers();
}

void owned_shard::abandon_incomplete()
{
    stop_links();
    answer_waiting_callers();
}

void owned_shard::stop_links()
{
    for (auto& [address, link] : links_) {
        link->request_stop();
    }
}

void owned_shard::answer_waiting_callers()
{
    for (auto& confirmation : pending_confirmations) {
        confirmation.reply(false);
    }
    pending_confirmations.clear();
    for (auto& [token, reply] : pending_replies_) {
        reply({.kind = verdict::may_have_run,
               .reason = "owner_changed",
               .detail = "the owner of the shard changed before the request had completed"});
    }
    pending_replies_.clear();
}

void owned_shard::on_report(const std::string& address, const command_response& report)
{
    post_([address, report](owned_shard& shard) {
        shard.fenced_workers_.insert(address);
        shard.state_->on_report(address, report, now());
        const auto link = shard.links_.find(address);
        if (link != shard.links_.end()) {
            link->second->resume();
        }
    });
}

void owned_shard::on_start_result(const std::string& address, const start_result& result)
{
    if (result.started) {
        return;
    }
    post_([address, result](owned_shard& shard) {
        shard.state_->on_start_result(address, result, now());
    });
}

void owned_shard::on_event(const std::string& address, const task_event& event)
{
    post_([address, event](owned_shard& shard) { shard.state_->on_event(address, event, now()); });
}

void owned_shard::on_lost(const std::string& address)
{
    post_([address](owned_shard& shard) {
        const log_scope scope({.worker = address, .shard = shard.entry_.shard});
        LOG(WARNING) << "worker is lost: its lease has expired without a response";
        shard.state_->on_worker_lost(address, now());
    });
}

void owned_shard::on_stale_epoch(const std::string& address, std::uint64_t newest_epoch)
{
    post_([address, newest_epoch](owned_shard& shard) {
        if (newest_epoch > shard.entry_.epoch && !shard.superseded) {
            const log_scope scope({.worker = address, .shard = shard.entry_.shard});
            LOG(WARNING) << "worker has accepted epoch " << newest_epoch
                         << "; the epoch of this owner is " << shard.entry_.epoch;
            shard.superseded = true;
        }
    });
}

} // namespace flamingoseam
