#include "flamingoseam/node/job_owner.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds tick{25};
constexpr milliseconds batch_spacing{10}; ///< Events in quicker succession are handled together.
/// An owner that gets no proof of its ownership from the store renews leases for this long after a
/// majority of the workers has answered it. Above the time from the start of a poll to the end of
/// the next one.
constexpr milliseconds renewals_after_answers{2'500};
/// The longest time for which an owner renews leases without a proof from the store.
constexpr milliseconds max_renewals_without_store{30'000};

} // namespace

class job_owner::owner_commit_source final : private commit_source {
public:
    owner_commit_source(job_owner& owner, std::size_t index, const job_owner_start& start)
        : owner_(owner), index_(index)
    {
        commit_source& source = *this;
        stream_ = std::make_unique<commit_stream>(
            commit_stream_options{.head_key = owner.dependencies_.head_keys[index]},
            owner.dependencies_.stores(), start.head, start.revision, source);
    }

    commit_stream& stream() { return *stream_; }

private:
    workflow::record_batch take_batch(std::size_t max_changes) override
    {
        auto batch = owner_.loop_.ask<workflow::record_batch>(
            [this, max_changes] { return owner_.take_batch(index_, max_changes); });
        records_ = batch.changes.size();
        return batch;
    }

    void on_stored(time_point sent) override
    {
        owner_.proof_.record(sent, proof_source::commit);
        owner_.post_decision([&owner = owner_, index = index_, records = records_] {
            owner.meter_.record_transaction(records);
            owner.state_.on_stored(index);
            owner.set_store_unreachable(false); // Although another stream may still retry.
        });
    }

    void on_superseded() override { owner_.report_superseded(); }

    void on_store_unreachable() override
    {
        owner_.post_decision([&owner = owner_] { owner.on_store_unreachable(); });
    }

    job_owner& owner_;
    std::size_t index_;
    std::size_t records_ = 0; ///< Records of the batch in flight; used by the stream's thread only.
    std::unique_ptr<commit_stream> stream_;
};

job_owner::job_owner(job_owner_start start, job_owner_dependencies dependencies)
    : dependencies_(std::move(dependencies)), epoch_(start.head.epoch),
      proof_(start.claim_sent, proof_source::claim), assignments_(dependencies_.shard),
      meter_(now(), {.process = read_processor_times().process}),
      loop_([this](const step_times& times) { record_step(times); },
            [this](const std::string& cause) { handle_failure(cause); }),
      state_({.epoch = start.head.epoch,
              .keys = dependencies_.keys,
              .ended_retention = dependencies_.ended_kept,
              .streams = dependencies_.head_keys.size()}),
      certain_at_(now()), earlier_certainty_(start.earlier_certainty.value_or(milliseconds(0))),
      earlier_starts_end_(certain_at_ + earlier_certainty_),
      earlier_ended_(!start.earlier_certainty),
      earlier_renewals_limit_(certain_at_ + earlier_certainty_ + max_renewals_without_store +
                              renewals_after_answers),
      earlier_renewals_end_(start.earlier_certainty ? time_point::max() : certain_at_)
{
    if (start.earlier_certainty) {
        state_.await_earlier_owner();
    }
    state_.load(std::move(start.jobs.jobs), start.leased_workers, now(), wall_now());
    std::set<std::string> unreadable;
    for (const auto& job : start.jobs.unreadable) {
        unreadable.insert(job.id);
        dependencies_.log->write(
            {.event = "job_unreadable", .request = job.id, .detail = job.reason});
    }
    state_.set_unreadable_jobs(std::move(unreadable));
    permission_dispatcher_ = std::make_unique<permission_dispatcher>(
        dependencies_.permissions,
        [this](std::uint64_t number, auto grants) {
            post_decision([this, number, grants = std::move(grants)] {
                state_.on_permission(number, grants, now());
            });
        },
        [this](const permission_timing& timing) {
            dependencies_.metrics->observe_permission(timing);
        });
    for (std::size_t index = 0; index < dependencies_.head_keys.size(); ++index) {
        streams_.push_back(std::make_unique<owner_commit_source>(*this, index, start));
    }
    if (dependencies_.shard.count > 1) {
        borrower_ = std::make_unique<worker_borrower>(dependencies_.borrow_workers);
    }
    post_decision([this] {
        open_sessions();
        if (dependencies_.usage != nullptr) {
            dependencies_.usage->record("sessions opened, epoch " + std::to_string(epoch_));
        }
    });
    try {
        start_threads();
    } catch (...) {
        ending_ = true; // Ends the threads that have been started.
        throw;
    }
}

/// Starts the control thread last, since the other threads can end without it.
void job_owner::start_threads()
{
    directory_thread_ = service_thread("worker list", [this] { watch_workers(); });
    if (dependencies_.shard.count > 1) {
        assignments_thread_ = service_thread("assignments", [this] { watch_assignments(); });
    }
    proof_thread_ = service_thread("ownership", [this] { prove_ownership(); });
    loop_thread_ = service_thread("control", [this] {
        loop_.run(
            tick, [this] { after_batch(); }, batch_spacing);
    });
}

job_owner::~job_owner()
{
    run_until_done("the end of an owner", [this] { request_stop(); });
    run_until_done("the end of an owner", [this] { wait_for_batch(); });
    streams_.clear();
    loop_.stop();
    loop_thread_.join();
    borrower_.reset();
    permission_dispatcher_.reset();
    sessions_.clear();
    retired_sessions_.clear();
    directory_thread_.join();
    proof_thread_.join();
    assignments_thread_.join();
    answer_all_unknown();
}

/// Waits until the control thread has finished the batch of events that it may be handling, after
/// which it does not access the commit streams any more.
void job_owner::wait_for_batch()
{
    const auto wait_for_step = [this] { loop_.ask<bool>([] { return true; }); };
    wait_for_step(); // The decisions after this step may still be in progress;
    wait_for_step(); // this step runs after them.
}

void job_owner::request_stop()
{
    ending_ = true;
    dependencies_.metrics->set_owner({.is_owner = false});
    dependencies_.metrics->set_load({});
    permission_dispatcher_->request_stop();
    loop_.post([this] {
        for (auto& [worker, session] : sessions_) {
            session->request_stop();
        }
        answer_all_unknown();
    });
}

/// Answers the calls that wait for the store with the verdict `unknown`; the next owner has the
/// outcome of their changes.
void job_owner::answer_all_unknown()
{
    for (auto& [token, reply] : std::exchange(replies_, {})) {
        reply({.verdict = owner_verdict::unknown, .reason = "owner_changed"});
    }
}

/// Answers that the state of a job is not known if its stored records can't be read. Returns
/// whether it has answered.
bool job_owner::answer_unreadable(const std::string& job,
                                  const owner_service::owner_reply& reply) const
{
    if (!state_.is_unreadable(job)) {
        return false;
    }
    reply({.verdict = owner_verdict::unknown, .reason = "unreadable_record"});
    return true;
}

/// Queues a step that uses the state, and is left out once this owner acts no more: an exception
/// may have left the state incomplete.
void job_owner::post_decision(std::function<void()> step)
{
    loop_.post([this, step = std::move(step)] {
        if (!acts_no_more_) {
            step();
        }
    });
}

std::uint64_t job_owner::store_reply(owner_service::owner_reply reply)
{
    replies_.emplace(next_token_, std::move(reply));
    return next_token_++;
}

void job_owner::submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                       owner_service::owner_reply reply)
{
    loop_.post([this, job, terms, reply = std::move(reply)]() mutable {
        if (handing_over_ || acts_no_more_) {
            reply({.verdict = owner_verdict::no_owner, .reason = "owner_changes"});
            return;
        }
        if (answer_unreadable(job.id, reply)) {
            return;
        }
        state_.submit(store_reply(std::move(reply)), job, terms, now(), wall_now());
    });
}

void job_owner::cancel(const std::string& job, owner_service::owner_reply reply)
{
    loop_.post([this, job, reply = std::move(reply)]() mutable {
        const bool exists = !acts_no_more_ && state_.find(job).has_value();
        if (handing_over_ || acts_no_more_ || (!exists && !is_certain())) {
            reply({.verdict = owner_verdict::no_owner, .reason = "owner_changes"});
            return;
        }
        if (!answer_unreadable(job, reply)) {
            state_.cancel(store_reply(std::move(reply)), job, now(), wall_now());
        }
    });
}

void job_owner::find(const std::string& job, owner_service::owner_reply reply)
{
    loop_.post([this, job, reply = std::move(reply)] {
        if (answer_unreadable(job, reply)) {
            return;
        }
        const auto phase = acts_no_more_ ? std::nullopt : state_.find(job);
        if (phase) {
            reply({.verdict = owner_verdict::accepted, .phase = workflow::to_string(*phase)});
        } else if (acts_no_more_ || !is_certain()) {
            reply({.verdict = owner_verdict::no_owner, .reason = "owner_changes"});
        } else {
            reply({.verdict = owner_verdict::not_found});
        }
    });
}

void job_owner::count_pending(const std::string& queue, owner_service::owner_reply reply)
{
    loop_.post([this, queue, reply = std::move(reply)] {
        if (acts_no_more_) {
            reply({.verdict = owner_verdict::no_owner, .reason = "owner_changes"});
            return;
        }
        reply({.verdict = owner_verdict::accepted, .pending = state_.count_pending(queue)});
    });
}

void job_owner::set_nodes(const std::vector<std::string>& nodes)
{
    permission_dispatcher_->set_nodes(nodes);
    post_decision([this, slots = nodes.size()] { state_.set_permission_call_slots(slots); });
}

bool job_owner::hand_over(workflow::record_change last, milliseconds timeout)
{
    handing_over_ = true;
    const auto end = now() + timeout;
    const auto left = [end] {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(end - now()));
    };
    bool finished = true;
    for (std::size_t index = streams_.size(); index-- > 0;) {
        auto& stream = streams_[index]->stream();
        stream.finish(index == 0 ? std::optional(last) : std::nullopt);
        finished = stream.wait_finished(left()) && finished;
    }
    request_stop();
    return finished;
}

void job_owner::on_report(const session_id& session, workflow::worker_report report)
{
    post_decision([this, session, report = std::move(report)] {
        if (is_current(session)) {
            state_.on_report(session.worker, report, now(), wall_now());
        }
    });
}

void job_owner::on_start(std::size_t worker, const workflow::run_name& name,
                         workflow::start_outcome outcome)
{
    dependencies_.metrics->count_start(outcome);
    post_decision([this, worker, name, outcome] { state_.on_start(worker, name, outcome, now()); });
}

void job_owner::on_stop(std::size_t worker, const workflow::run_name& name)
{
    post_decision([this, worker, name] { state_.on_stop(worker, name, now()); });
}

void job_owner::on_unreachable_changed(const session_id& session, bool unreachable,
                                       time_point silent_since)
{
    post_decision([this, session, unreachable, silent_since] {
        if (is_current(session)) {
            state_.on_unreachable_changed(session.worker, unreachable, silent_since, now());
        }
    });
}

void job_owner::on_emptied(const session_id& session, workflow::emptied_reason reason)
{
    post_decision([this, session, reason] {
        if (!is_current(session)) {
            return;
        }
        state_.on_emptied(session.worker, reason, now(), wall_now());
        if (!state_.workers().at(session.worker).listed) {
            retire_session(session.worker);
        }
    });
}

/// Checks whether a session is the newest one with its worker. What an earlier one still reports
/// says nothing of the worker at its new address.
bool job_owner::is_current(const session_id& session) const
{
    const auto found = sessions_.find(session.worker);
    return found != sessions_.end() && found->second->number() == session.number;
}

void job_owner::on_fenced(std::size_t worker)
{
    LOG(WARNING) << "worker " << worker << " has accepted a newer owner than epoch " << epoch_;
    report_superseded();
}

bool job_owner::may_start() const
{
    return !ending_ && !acts_no_more_ && !handing_over_ && is_certain();
}

bool job_owner::may_renew() const
{
    return !ending_ && !acts_no_more_ && (is_certain() || boot_now() < renewals_end_.load());
}

void job_owner::on_store_unreachable()
{
    set_store_unreachable(true);
    dependencies_.on_store_unreachable();
}

void job_owner::set_store_unreachable(bool unreachable)
{
    if (store_unreachable_ == unreachable) {
        return;
    }
    store_unreachable_ = unreachable;
    state_.set_store_available(!unreachable);
    dependencies_.log->write({.event = unreachable ? "store_silent" : "store_answers"});
}

void job_owner::report_superseded()
{
    if (!acts_no_more_.exchange(true)) {
        dependencies_.on_superseded();
        dependencies_.log->write(
            {.event = "superseded", .detail = "epoch " + std::to_string(epoch_)});
    }
}

/// Stops all decisions after an error that may have left them incomplete. Another owner goes on
/// from the state in the store.
void job_owner::handle_failure(const std::string& cause)
{
    if (acts_no_more_.exchange(true)) {
        return;
    }
    if (dependencies_.on_failed) {
        dependencies_.on_failed();
    }
    dependencies_.log->write({.event = "owner_failed",
                              .request = {},
                              .detail = "epoch " + std::to_string(epoch_) + ": " + cause});
}

/// Takes changes for a commit stream; none if the owner acts no more, as they may be incomplete.
workflow::record_batch job_owner::take_batch(std::size_t stream, std::size_t max_changes)
{
    if (acts_no_more_) {
        return {};
    }
    try {
        return state_.take_batch(stream, max_changes, now());
    } catch (...) {
        handle_failure(describe_current_exception());
        return {};
    }
}

void job_owner::after_batch()
{
    if (ending_ || acts_no_more_) {
        return;
    }
    const auto started = now();
    const auto boot_started = boot_now(); // Before the questions, as the process may be paused.
    update_certainty(started);
    update_renewals_end(started, boot_started);
    update_earlier_owner(started);
    bound_earlier_renewals(started);
    if (started >= earlier_renewals_end_.load()) {
        state_.on_earlier_renewals_ended();
    }
    const auto passes = state_.counts().passes;
    update_queues(started);
    state_.tick(started);
    borrow_workers(started);
    auto actions = state_.take_actions();
    record_timings(actions, started);
    const auto decided = now();
    if (state_.counts().passes != passes) {
        dependencies_.metrics->observe_pass(decided - started);
    }
    const auto starts = actions.starts.size();
    dispatch(std::move(actions));
    const bool full = state_.has_full_batch();
    for (std::size_t index = 0; index < streams_.size(); ++index) {
        if (state_.should_write(index, now())) {
            streams_[index]->stream().wake(full);
        }
    }
    record_decisions(
        {.decision_time = decided - started, .dispatch_time = now() - decided, .starts = starts},
        started);
}

/// Passes on the configuration of the queues when this node has learnt a newer version.
void job_owner::update_queues(time_point time)
{
    if (dependencies_.queues == nullptr) {
        return;
    }
    if (const auto newest = dependencies_.queues->queues_after(queues_version_)) {
        queues_version_ = newest->version;
        state_.on_queue_configuration(*newest, time);
    }
}

/// Passes on whether it is certain that this is the only owner, and logs each change.
void job_owner::update_certainty(time_point time)
{
    const bool certain = is_certain();
    state_.set_certain(certain);
    if (certain == !uncertain_since_) {
        return;
    }
    report_certainty(certain, time);
    uncertain_since_ = certain ? std::nullopt : std::optional(time);
}

/// Logs whether it is certain that this is the only owner, and why.
void job_owner::report_certainty(bool is_certain, time_point time)
{
    const auto proof_age = proof_.age(boot_now());
    const auto* state = proof_age >= max_proof_age ? "is too old"
                        : is_certain               ? "is recent"
                                                   : "is recent, unlike the node's lease or view";
    log_event event{.event = is_certain ? "ownership_certain" : "ownership_uncertain",
                    .request = {},
                    .detail = "epoch " + std::to_string(epoch_) + ", the newest proof, by " +
                              to_string(proof_.source()) + ", " + state,
                    .fields = {{"proof_age_ms", proof_age.count()}}};
    if (uncertain_since_) {
        const auto age = std::chrono::duration_cast<milliseconds>(time - *uncertain_since_);
        event.fields.push_back({"uncertain_ms", age.count()});
    }
    dependencies_.log->write(event);
}

/// Extends the time in which leases are renewed. As long as a majority of the workers answers, no
/// later owner has been accepted by a majority, as it has to be before it regards a worker that it
/// doesn't reach as empty. A later owner can only have been accepted since the newest proof, so
/// that a worker that has restarted since then may have forgotten it.
void job_owner::update_renewals_end(time_point time, time_point boot_time)
{
    if (!uncertain_since_) {
        certain_at_ = time;
        renewals_end_ = boot_time + renewals_after_answers;
    } else if (const auto answered = state_.majority_answered_at(time - proof_.age(boot_time))) {
        const auto end = std::min(std::max(*answered, certain_at_) + renewals_after_answers,
                                  certain_at_ + max_renewals_without_store);
        renewals_end_ = boot_time + (end - time);
    }
}

/// Finds out when an earlier owner that may still be running stops renewing leases.
void job_owner::bound_earlier_renewals(time_point time)
{
    const auto known_end = earlier_renewals_end_.load();
    if (confirmed_renewals_end_ < known_end) {
        set_earlier_renewals_end(confirmed_renewals_end_, time, "the earlier owner has said so");
    } else if (known_end != time_point::max()) {
        return;
    } else if (state_.has_majority_accepted()) {
        set_earlier_renewals_end(time + earlier_certainty_ + renewals_after_answers, time,
                                 "a majority of the workers has accepted this owner");
    } else if (time >= earlier_renewals_limit_) {
        set_earlier_renewals_end(time, time, "none renews for longer without the store");
    }
}

/// Passes on when the earlier owners stop renewing leases.
void job_owner::set_earlier_renewals_end(time_point end, time_point time, const std::string& reason)
{
    earlier_renewals_end_ = end;
    for (const auto& [worker, session] : sessions_) {
        session->set_earlier_renewals_end(end);
    }
    dependencies_.log->write(
        {.event = "earlier_renewals_bounded",
         .request = {},
         .detail = "epoch " + std::to_string(epoch_) + ", " + reason,
         .fields = {{"end_in_ms", std::chrono::ceil<milliseconds>(end - time).count()}}});
}

void job_owner::dispatch(workflow::workflow_actions actions)
{
    const auto session_of = [this](std::size_t worker) -> worker_session* {
        const auto found = sessions_.find(worker);
        return found == sessions_.end() ? nullptr : found->second.get();
    };
    for (const auto worker : actions.released_workers) {
        retire_session(worker);
    }
    for (const auto& order : actions.stops) {
        if (auto* session = session_of(order.worker)) {
            session->stop(order);
        }
    }
    for (auto& order : actions.starts) {
        if (auto* session = session_of(order.worker)) {
            session->start(std::move(order));
        } else {
            on_start(order.worker, order.name, workflow::start_outcome::not_sent);
        }
    }
    for (const auto& [worker, time] : actions.reports_needed) {
        if (auto* session = session_of(worker)) {
            session->expect_report(time);
        }
    }
    for (const auto& order : actions.forgets) {
        if (auto* session = session_of(order.worker)) {
            session->forget(order);
        }
    }
    for (const auto& permit : actions.renewal_permits) {
        if (auto* session = session_of(permit.worker)) {
            session->permit_renewal(permit.silent_since);
        }
    }
    for (auto& request : actions.permissions) {
        permission_dispatcher_->enqueue(std::move(request));
    }
    for (const auto number : actions.withdrawn_permissions) {
        permission_dispatcher_->withdraw(number);
    }
    for (const auto& call_result : actions.answers) {
        answer(call_result);
    }
    for (auto& entry : actions.decisions) {
        dependencies_.log->write({.event = std::move(entry.event),
                                  .request = std::move(entry.job),
                                  .detail = std::move(entry.detail),
                                  .fields = std::move(entry.fields)});
    }
}

void job_owner::answer(const workflow::caller_answer& call_result)
{
    auto reply = replies_.extract(call_result.token);
    if (reply.empty()) {
        return;
    }
    owner_answer result{.verdict = owner_verdict::accepted, .reason = call_result.reason};
    if (call_result.kind == workflow::caller_answer::answer_kind::unknown) {
        result.verdict = owner_verdict::not_found;
    } else if (call_result.kind == workflow::caller_answer::answer_kind::refused) {
        result.verdict = owner_verdict::refused;
        result.retry_after = call_result.retry_after;
    }
    reply.mapped()(result);
}

} // namespace flamingoseam::node
