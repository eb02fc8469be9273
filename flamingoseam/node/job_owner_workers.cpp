#include "flamingoseam/node/job_owner.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds directory_read_delay{250}; ///< Between two readings of the list.
constexpr milliseconds assignments_retry_delay{100};
constexpr milliseconds borrowing_interval{250}; ///< Between two requests for workers.

} // namespace

void job_owner::watch_workers()
{
    std::unique_ptr<worker_directory> directory;
    while (!ending_) {
        const bool is_passed_on = run_guarded("the reading of the list of workers", [&] {
            if (!directory) {
                directory = dependencies_.directory();
            }
            read_worker_list(*directory);
        });
        if (!is_passed_on) {
            directory.reset(); // What it has read is lost, so everything is read again.
        }
        std::this_thread::sleep_for(directory_read_delay);
    }
}

void job_owner::read_worker_list(worker_directory& directory)
{
    try {
        auto workers = directory.next();
        if (!ending_) {
            post_decision(
                [this, workers = std::move(workers), confirmed = directory.confirmed_at()] {
                    handle_worker_list(workers, confirmed);
                });
        }
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 20) << "the list of workers cannot be read: " << cause.what();
    }
}

void job_owner::handle_worker_list(
    const std::optional<std::vector<workflow::worker_entry>>& workers, time_point confirmed)
{
    if (ending_) {
        return;
    }
    state_.confirm_worker_list(confirmed);
    if (!workers) {
        return;
    }
    listed_workers_ = *workers;
    apply_worker_list();
}

/// Passes the workers of this shard to the decisions, once both the list and the assignments have
/// been read.
void job_owner::apply_worker_list()
{
    const bool knows_assignments = dependencies_.shard.count == 1 || assignments_known_;
    if (!listed_workers_ || !knows_assignments) {
        return;
    }
    std::map<std::string, std::size_t> service_workers;
    for (const auto& worker : *listed_workers_) {
        ++service_workers[worker.service];
    }
    state_.set_lending_limits({.shard = dependencies_.shard.index,
                               .shards = dependencies_.shard.count,
                               .cell_workers = listed_workers_->size(),
                               .service_workers = std::move(service_workers)});
    state_.on_worker_list(assignments_.select_own(*listed_workers_), now());
    open_sessions();
    drop_finished_sessions();
}

void job_owner::watch_assignments()
{
    std::optional<record_watch> watch;
    while (!ending_) {
        bool has_update = false;
        const bool is_passed_on = run_guarded("the reading of the assignments of workers", [&] {
            if (!watch) {
                watch.emplace(record_watch_options{.name = "assignments",
                                                   .prefix = dependencies_.keys.assignment_prefix(),
                                                   .report =
                                                       [this](const log_event& event) {
                                                           dependencies_.log->write(event);
                                                       }},
                              dependencies_.stores());
            }
            has_update = read_assignments(*watch);
        });
        if (!is_passed_on) {
            watch.reset(); // What it has read is lost, so everything is read again.
        }
        if (!has_update) {
            std::this_thread::sleep_for(assignments_retry_delay);
        }
    }
}

/// Returns false if the store did not answer.
bool job_owner::read_assignments(record_watch& watch)
{
    try {
        auto update = watch.next();
        post_decision([this, update = std::move(update)] { handle_assignments(update); });
        return true;
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 20) << "the assignments of workers cannot be read: " << cause.what();
        return false;
    }
}

void job_owner::handle_assignments(const record_update& update)
{
    if (ending_ || (!update.is_complete && update.records.empty())) {
        return;
    }
    const auto prefix = dependencies_.keys.assignment_prefix();
    if (update.is_complete) {
        assignments_.clear();
    }
    for (const auto& record : update.records) {
        const auto worker = record.key.substr(prefix.size());
        if (record.removed) {
            assignments_.remove(worker);
            continue;
        }
        try {
            assignments_.assign(worker, record.value);
        } catch (const parse_error& cause) {
            dependencies_.log->write(
                {.event = "assignment_unreadable", .request = {}, .detail = cause.what()});
        }
    }
    assignments_known_ = true;
    apply_worker_list();
}

/// Ends the session of a worker, if it has one. The next session uses higher fencing tokens, so
/// that calls of this one that are carried out later have no effect.
void job_owner::retire_session(std::size_t worker)
{
    auto session = sessions_.extract(worker);
    if (!session.empty()) {
        session.mapped()->release();
        met_incarnations_[worker] = session.mapped()->incarnations() + 1;
        retired_sessions_.push_back(std::move(session.mapped()));
    }
}

void job_owner::lend_workers(const workflow::worker_request& request,
                             owner_service::count_reply reply)
{
    loop_.post([this, request, reply = std::move(reply)] {
        const bool may_lend = !handing_over_ && !acts_no_more_ && is_certain();
        reply(may_lend ? state_.lend_workers(request, now()) : 0);
    });
}

/// Asks the other shards for workers if work waits for them.
void job_owner::borrow_workers(time_point time)
{
    if (!borrower_ || time < next_borrowing_) {
        return;
    }
    next_borrowing_ = time + borrowing_interval;
    if (const auto request = state_.find_worker_request(time)) {
        borrower_->request(*request);
    }
}

void job_owner::open_sessions()
{
    for (std::size_t worker = 0; worker < state_.workers().size(); ++worker) {
        const auto& state = state_.workers().at(worker);
        if (!state.listed && !state.lease_stored) {
            continue;
        }
        const auto found = sessions_.find(worker);
        if (found != sessions_.end() && found->second->entry().address == state.entry.address) {
            if (!state.listed || state.entry.leaving) {
                found->second->withdraw_starts();
            }
            found->second->expect_incarnation(state.entry.incarnation);
            continue;
        }
        retire_session(worker);
        if (state.silence_stored && !state.unreachable) {
            // The store may still say that the lease is not renewed, so the new session has to wait
            // for the end of that silence to be stored, too.
            state_.on_unreachable_changed(worker, true, now(), now());
        }
        worker_listener& listener = *this;
        auto session = std::make_unique<worker_session>(
            worker_session_options{.id = {.worker = worker, .number = ++last_session_},
                                   .epoch = state.entry.token_base + epoch_,
                                   .earlier_incarnations = met_incarnations_[worker],
                                   .lease = dependencies_.worker_lease,
                                   .is_renewal_withheld = state.unreachable,
                                   .earlier_renewals_end = earlier_renewals_end_of(state),
                                   .earlier_starts_end = earlier_starts_end_},
            state.entry, dependencies_.io->next_loops(), dependencies_.channels, listener);
        sessions_.emplace(worker, std::move(session)); // Not before, as opening it may fail.
    }
}

/// Returns when earlier owners and earlier sessions of this one stop extending the lease of a
/// worker for which a session is opened.
time_point job_owner::earlier_renewals_end_of(const workflow::fleet_worker& worker) const
{
    const auto own_end = worker.unreachable ? worker.silent_since : now();
    return worker.silence_loaded ? own_end : std::max(own_end, earlier_renewals_end_.load());
}

void job_owner::drop_finished_sessions()
{
    std::erase_if(retired_sessions_, [](const auto& session) { return session->has_ended(); });
}

} // namespace flamingoseam::node
