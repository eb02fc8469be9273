#include "flamingoseam/node/job_owner.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/node/load_line.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds tick{25};
constexpr milliseconds batch_spacing{4};     ///< Events that come faster are decided on together.
constexpr milliseconds ended_margin{10'000}; ///< Owners' clocks differ by less.
constexpr milliseconds directory_wait{10'000};
constexpr milliseconds directory_pause{250};   ///< Between readings that found a change.
constexpr std::size_t most_queues_logged = 16; ///< In a second, those with the most waiting steps.

} // namespace

class job_owner::chain_link final : private commit_source {
public:
    chain_link(job_owner& owner, std::size_t index, const job_owner_start& start)
        : owner_(owner), index_(index)
    {
        commit_source& source = *this;
        chain_ = std::make_unique<commit_chain>(
            commit_chain_options{.head_key = owner.parts_.head_keys[index]}, owner.parts_.stores(),
            start.head, start.revision, source);
    }

    commit_chain& chain() { return *chain_; }

private:
    workflow::record_batch take_batch(std::size_t most) override
    {
        auto batch = owner_.loop_.ask<workflow::record_batch>(
            [this, most] { return owner_.state_.take_batch(index_, most, now(), wall_now()); });
        records_ = batch.changes.size();
        return batch;
    }

    void on_stored() override
    {
        owner_.loop_.post([&owner = owner_, index = index_, records = records_] {
            owner.meter_.note_transaction(records);
            owner.state_.on_stored(index);
            owner.set_store_silent(false); // Although another chain may wait for its next attempt.
        });
    }

    void on_superseded() override { owner_.report_superseded(); }

    void on_store_silent() override
    {
        owner_.loop_.post([&owner = owner_] { owner.on_store_silent(); });
    }

    job_owner& owner_;
    std::size_t index_;
    std::size_t records_ = 0; ///< Of the batch under way; of the chain's thread.
    std::unique_ptr<commit_chain> chain_;
};

job_owner::job_owner(job_owner_start start, job_owner_parts parts)
    : parts_(std::move(parts)), epoch_(start.head.epoch),
      meter_(now(), {.process = read_processor_times().process}),
      loop_([this](const step_times& times) { note_step(times); }),
      state_({.epoch = start.head.epoch,
              .keys = parts_.keys,
              .ended_retention = parts_.ended_kept + ended_margin,
              .chains = parts_.head_keys.size()})
{
    state_.load(std::move(start.jobs), start.roster, now(), wall_now());
    lanes_ = std::make_unique<permission_lanes>(
        parts_.permissions,
        [this](std::uint64_t number, auto grants) {
            loop_.post([this, number, grants = std::move(grants)] {
                state_.on_permission(number, grants, now());
            });
        },
        [this](const permission_timing& timing) { parts_.metrics->observe_permission(timing); });
    for (std::size_t index = 0; index < parts_.head_keys.size(); ++index) {
        chains_.push_back(std::make_unique<chain_link>(*this, index, start));
    }
    loop_.post([this] { open_sessions(); });
    loop_thread_ = std::thread([this] {
        loop_.run(
            tick, [this] { after_batch(); }, batch_spacing);
    });
    directory_thread_ = std::thread([this] { watch_workers(); });
}

job_owner::~job_owner()
{
    request_end();
    finish_batch();
    chains_.clear();
    loop_.stop();
    loop_thread_.join();
    lanes_.reset();
    sessions_.clear();
    retired_.clear();
    directory_thread_.join();
    answer_unknown();
}

/// Waits until the control thread has left the group of events that it may be in, after which it
/// does not touch the chains any more.
void job_owner::finish_batch()
{
    const auto wait_for_step = [this] { loop_.ask<bool>([] { return true; }); };
    wait_for_step(); // The decisions that follow this step may still go on;
    wait_for_step(); // this one begins after them.
}

void job_owner::request_end()
{
    ending_ = true;
    parts_.metrics->set_owner({.is_owner = false});
    parts_.metrics->set_load({});
    lanes_->request_end();
    loop_.post([this] {
        for (auto& [worker, session] : sessions_) {
            session->request_end();
        }
        answer_unknown();
    });
}

/// Answers the calls that wait for the store; the next owner knows what became of their changes.
void job_owner::answer_unknown()
{
    for (auto& [token, reply] : std::exchange(replies_, {})) {
        reply({.verdict = owner_verdict::unknown, .reason = "owner_changed"});
    }
}

std::uint64_t job_owner::keep(owner_service::reply_owner reply)
{
    replies_.emplace(next_token_, std::move(reply));
    return next_token_++;
}

void job_owner::submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                       owner_service::reply_owner reply)
{
    loop_.post([this, job, terms, reply = std::move(reply)]() mutable {
        if (leaving_ || superseded_) {
            reply({.verdict = owner_verdict::no_owner, .reason = "owner_changes"});
            return;
        }
        state_.submit(keep(std::move(reply)), job, terms, now(), wall_now());
    });
}

void job_owner::cancel(const std::string& job, owner_service::reply_owner reply)
{
    loop_.post([this, job, reply = std::move(reply)]() mutable {
        const bool is_known = state_.find(job).has_value();
        if (leaving_ || superseded_ || (!is_known && !parts_.is_certain())) {
            reply({.verdict = owner_verdict::no_owner, .reason = "owner_changes"});
            return;
        }
        state_.cancel(keep(std::move(reply)), job, wall_now());
    });
}

void job_owner::find(const std::string& job, owner_service::reply_owner reply)
{
    loop_.post([this, job, reply = std::move(reply)] {
        const auto phase = state_.find(job);
        if (phase) {
            reply({.verdict = owner_verdict::accepted, .phase = workflow::to_string(*phase)});
        } else if (superseded_ || !parts_.is_certain()) {
            reply({.verdict = owner_verdict::no_owner, .reason = "owner_changes"});
        } else {
            reply({.verdict = owner_verdict::not_found});
        }
    });
}

void job_owner::count_pending(const std::string& queue, owner_service::reply_owner reply)
{
    loop_.post([this, queue, reply = std::move(reply)] {
        reply({.verdict = owner_verdict::accepted, .pending = state_.count_pending(queue)});
    });
}

void job_owner::set_nodes(const std::vector<std::string>& nodes)
{
    lanes_->set_nodes(nodes);
    loop_.post([this, lanes = nodes.size()] { state_.set_permission_call_slots(lanes); });
}

bool job_owner::hand_over(workflow::record_change last, milliseconds limit)
{
    loop_.post([this] { leaving_ = true; });
    const auto end = now() + limit;
    const auto left = [end] {
        return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(end - now()));
    };
    bool finished = true;
    for (std::size_t index = chains_.size(); index-- > 0;) {
        auto& chain = chains_[index]->chain();
        chain.finish(index == 0 ? std::optional(last) : std::nullopt);
        finished = chain.wait_finished(left()) && finished;
    }
    request_end();
    return finished;
}

void job_owner::on_report(std::size_t worker, workflow::worker_report report)
{
    loop_.post([this, worker, report = std::move(report)] {
        state_.on_report(worker, report, now(), wall_now());
    });
}

void job_owner::on_start(std::size_t worker, const workflow::run_name& name,
                         workflow::start_outcome outcome)
{
    parts_.metrics->count_start(outcome);
    loop_.post([this, worker, name, outcome] { state_.on_start(worker, name, outcome, now()); });
}

void job_owner::on_stop(std::size_t worker, const workflow::run_name& name)
{
    loop_.post([this, worker, name] { state_.on_stop(worker, name, now()); });
}

void job_owner::on_silence(std::size_t worker, bool silent)
{
    loop_.post([this, worker, silent] { state_.on_silence(worker, silent, wall_now()); });
}

void job_owner::on_emptied(std::size_t worker)
{
    loop_.post([this, worker] {
        state_.on_emptied(worker);
        const auto session = sessions_.find(worker);
        if (session != sessions_.end() && !state_.workers().at(worker).listed) {
            session->second->request_end();
            retired_.push_back(std::move(session->second));
            sessions_.erase(session);
        }
    });
}

void job_owner::on_fenced(std::size_t worker)
{
    LOG(WARNING) << "worker " << worker << " obeys a newer owner than epoch " << epoch_;
    report_superseded();
}

void job_owner::on_store_silent()
{
    set_store_silent(true);
    parts_.on_store_away();
}

void job_owner::set_store_silent(bool silent)
{
    if (store_is_silent_ == silent) {
        return;
    }
    store_is_silent_ = silent;
    state_.set_store_available(!silent);
    parts_.log->write({.event = silent ? "store_silent" : "store_answers"});
}

void job_owner::report_superseded()
{
    if (!superseded_.exchange(true)) {
        parts_.log->write({.event = "superseded", .detail = "epoch " + std::to_string(epoch_)});
        parts_.on_superseded();
    }
}

void job_owner::after_batch()
{
    if (ending_ || superseded_) {
        return;
    }
    const auto began = now();
    const auto passes = state_.counts().passes;
    state_.tick(began);
    auto actions = state_.take_actions();
    measure(actions, began);
    const auto decided = now();
    if (state_.counts().passes != passes) {
        parts_.metrics->observe_pass(decided - began);
    }
    const auto starts = actions.starts.size();
    dispatch(std::move(actions));
    const bool full = state_.has_full_batch();
    for (std::size_t index = 0; index < chains_.size(); ++index) {
        if (state_.has_changes(index, now())) {
            chains_[index]->chain().wake(full);
        }
    }
    note_decisions({.deciding = decided - began, .dispatching = now() - decided, .starts = starts},
                   began);
}

void job_owner::note_step(const step_times& times)
{
    meter_.note_step(times);
    parts_.metrics->observe_step(times);
}

void job_owner::note_decisions(const decision_times& times, time_point time)
{
    meter_.note_decisions(times);
    change_ages_.note(state_.changes().last_change(), time);
    if (meter_.is_due(time)) {
        set_gauges();
        report_load(time);
    }
}

void job_owner::report_load(time_point time)
{
    const auto& changes = state_.changes();
    const state_load state{.open_jobs = state_.open_jobs(),
                           .overdue_jobs = state_.count_overdue(time),
                           .waiting_steps = state_.waiting_steps(),
                           .changes = changes.size(),
                           .oldest_change = change_ages_.age_of(changes.oldest_change(), time),
                           .permissions = lanes_->load(time),
                           .passes = state_.counts().passes,
                           .repeated_requests = state_.counts().repeated_permission_requests};
    const auto load = meter_.take(state, time, read_processor_times());
    parts_.metrics->set_load(load);
    parts_.log->write(to_event(load));
    report_queues(time);
}

void job_owner::report_queues(time_point time)
{
    auto queues = state_.take_queue_loads(time);
    parts_.metrics->set_queues(queues);
    const auto logged = std::min(queues.size(), most_queues_logged);
    std::ranges::partial_sort(queues, queues.begin() + static_cast<std::ptrdiff_t>(logged),
                              std::ranges::greater(), &workflow::queue_load::waiting_steps);
    queues.resize(logged);
    for (const auto& one : queues) {
        parts_.log->write(to_event(one));
    }
}

void job_owner::measure(const workflow::workflow_actions& actions, time_point began)
{
    for (const auto& timing : actions.first_starts) {
        parts_.metrics->observe_first_start(timing);
    }
    for (const auto& timing : actions.ends) {
        parts_.metrics->observe_end(timing);
    }
    parts_.metrics->observe_decisions(
        std::chrono::duration_cast<std::chrono::microseconds>(now() - began));
}

void job_owner::set_gauges()
{
    owner_gauges gauges{.is_owner = true,
                        .open_jobs = state_.open_jobs(),
                        .doubtful_runs = state_.count_doubtful()};
    for (std::size_t worker = 0; worker < state_.workers().size(); ++worker) {
        gauges.silent_workers += state_.workers().at(worker).silent ? 1 : 0;
    }
    parts_.metrics->set_owner(gauges);
}

void job_owner::dispatch(workflow::workflow_actions actions)
{
    const auto session_of = [this](std::size_t worker) -> worker_session* {
        const auto found = sessions_.find(worker);
        return found == sessions_.end() ? nullptr : found->second.get();
    };
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
    for (auto& request : actions.permissions) {
        lanes_->ask(std::move(request));
    }
    for (const auto number : actions.withdrawn_permissions) {
        lanes_->withdraw(number);
    }
    for (const auto& one : actions.answers) {
        answer(one);
    }
    for (auto& note : actions.notes) {
        parts_.log->write({.event = std::move(note.event),
                           .request = std::move(note.job),
                           .detail = std::move(note.detail),
                           .fields = std::move(note.fields)});
    }
}

void job_owner::answer(const workflow::caller_answer& one)
{
    auto reply = replies_.extract(one.token);
    if (reply.empty()) {
        return;
    }
    owner_answer result{.verdict = owner_verdict::accepted, .reason = one.reason};
    if (one.what == workflow::caller_answer::kind::unknown) {
        result.verdict = owner_verdict::not_found;
    } else if (one.what == workflow::caller_answer::kind::refused) {
        result.verdict = owner_verdict::refused;
        result.retry_after = one.retry_after;
    }
    reply.mapped()(result);
}

void job_owner::watch_workers()
{
    const auto directory = parts_.directory();
    while (!ending_) {
        try {
            auto workers = directory->next(directory_wait);
            if (workers && !ending_) {
                loop_.post([this, workers = std::move(*workers)] { take_worker_list(workers); });
            }
        } catch (const error& cause) {
            LOG_EVERY_N(WARNING, 20) << "the list of workers can't be read: " << cause.what();
        }
        std::this_thread::sleep_for(directory_pause);
    }
}

void job_owner::take_worker_list(const std::vector<workflow::worker_entry>& workers)
{
    if (ending_) {
        return;
    }
    state_.on_worker_list(workers, now());
    open_sessions();
    drop_finished_sessions();
}

void job_owner::open_sessions()
{
    for (std::size_t worker = 0; worker < state_.workers().size(); ++worker) {
        const auto& one = state_.workers().at(worker);
        if (!one.listed && !one.rostered) {
            continue;
        }
        auto& session = sessions_[worker];
        if (session && session->entry().address == one.entry.address) {
            continue;
        }
        if (session) {
            session->request_end();
            retired_.push_back(std::move(session));
        }
        worker_listener& listener = *this;
        session = std::make_unique<worker_session>(
            worker_session_options{.worker = worker, .epoch = epoch_, .lease = parts_.worker_lease},
            one.entry, parts_.channels, listener);
    }
}

void job_owner::drop_finished_sessions()
{
    std::erase_if(retired_, [](const auto& session) { return session->has_ended(); });
}

} // namespace flamingoseam::node
