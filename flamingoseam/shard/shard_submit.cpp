#include "flamingoseam/core/hash.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/shard/explain.hpp"
#include "flamingoseam/shard/shard_state.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr milliseconds assumed_run_time{50};

outcome refusal(const std::string& reason, const std::string& detail)
{
    return {.kind = verdict::not_run, .reason = reason, .detail = detail};
}

outcome unconfirmed_outcome(const std::string& reason, const std::string& detail)
{
    return {.kind = verdict::may_have_run, .reason = reason, .detail = detail};
}

std::uint64_t hash_content(const work_request& request)
{
    return short_hash(request.kind + '\n' + std::string(to_string(request.cls)) + '\n' +
                      std::to_string(request.tasks) + '\n' + request.payload);
}

std::string text_of(const resources& amount)
{
    return std::to_string(amount.milli_cpus) + " milli-CPUs, " + std::to_string(amount.memory_mb) +
           " MB, " + std::to_string(amount.accelerators) + " accelerators, " +
           std::to_string(amount.slots) + " slots";
}

} // namespace

std::string shard_state::key_of(const std::string& customer, const std::string& request_id) const
{
    return customer + "/" + request_id;
}

const contract* shard_state::terms_of(const request_record& record) const
{
    return contracts_.find(record.request.customer);
}

void shard_state::answer(std::uint64_t token, const outcome& result)
{
    counts_.refusals += result.kind == verdict::not_run ? 1 : 0;
    actions_.answers.push_back({.token = token, .result = result});
}

void shard_state::answer_all(request_record& record, const outcome& result)
{
    const auto reported = downgrade_if_unconfirmed(result, record.request.request_id);
    for (const auto token : record.waiters) {
        answer(token, reported);
    }
    record.waiters.clear();
}

outcome shard_state::downgrade_if_unconfirmed(outcome result, const std::string& request_id) const
{
    const bool repeatable = !request_id.starts_with(entry_id_prefix);
    if (result.kind == verdict::not_run && repeatable && !ownership_confirmed_) {
        result.kind = verdict::may_have_run;
        result.detail += " (another scheduler may have taken over the shard)";
    }
    return result;
}

void shard_state::submit(std::uint64_t token, const work_request& request, time_point time,
                         wall_time wall)
{
    if (join_existing_request(token, request)) {
        return;
    }
    auto refused = refuse_submit(request, wall);
    if (!refused) {
        refused = check_queue(request, *contracts_.find(request.customer));
    }
    const bool unconfirmed = may_have_run_under_earlier_owner(request);
    if (refused) {
        refused->kind = unconfirmed ? verdict::may_have_run : refused->kind;
        answer(token, downgrade_if_unconfirmed(*refused, request.request_id));
        return;
    }
    const auto& terms = *contracts_.find(request.customer);
    auto& record = make_record(request, time, wall);
    record.unconfirmed = unconfirmed;
    record.waiters.push_back(token);
    budgets_[request.customer].on_new_request(terms.retry_budget_percent);
    if (is_job(record)) {
        record.accepted = false;
        request_journal_write({.kind = pending_write::write_kind::accept,
                               .sequence = journal_sequence_ + 1,
                               .key = key_of(request.customer, request.request_id),
                               .result = {}});
        return;
    }
    deadlines_.emplace(time + wait_limit(record), key_of(request.customer, request.request_id));
    enqueue(record);
    schedule(time);
}

bool shard_state::join_existing_request(std::uint64_t token, const work_request& request)
{
    const auto found = requests_.find(key_of(request.customer, request.request_id));
    if (found == requests_.end()) {
        return false;
    }
    auto& record = *found->second;
    if (record.content_hash != 0 && record.content_hash != hash_content(request)) {
        answer(token, refusal("id_conflict",
                              "request id " + request.request_id +
                                  " was already used for a request with different content"));
    } else if (record.ended && !is_job(record)) {
        answer(token, record.result);
    } else if (is_job(record) && record.accepted) {
        answer(token,
               unconfirmed_outcome("accepted", "the job was already accepted; query its state"));
    } else {
        record.waiters.push_back(token);
    }
    return true;
}

std::optional<outcome> shard_state::refuse_submit(const work_request& request, wall_time wall) const
{
    const auto* terms = contracts_.find(request.customer);
    if (auto refused = check_id(request, wall)) {
        return refused;
    }
    if (draining_) {
        return refusal("draining", "this scheduler is shutting down");
    }
    if (terms == nullptr) {
        return refusal("no_contract", "no contract is known for " + request.customer);
    }
    if (terms->version < request.contract_version) {
        return refusal("contract_behind", "this scheduler has version " +
                                              std::to_string(terms->version) +
                                              " of the contract; the entry has a newer version");
    }
    return check_feasibility(request, *terms);
}

std::optional<outcome> shard_state::check_id(const work_request& request, wall_time wall) const
{
    if (request.first_attempt) {
        return std::nullopt;
    }
    const auto created = time_of_request_id(request.request_id);
    if (!created) {
        return unconfirmed_outcome("bad_request_id",
                                   "the request id of a repeat must be a version 7 UUID");
    }
    if (*created < wall - options_.id_window) {
        return unconfirmed_outcome(
            "id_too_old",
            "the request id is too old; the outcome of the request is no longer known");
    }
    if (*created > wall + options_.clock_skew) {
        return unconfirmed_outcome("id_from_future",
                                   "the time in the request id is later than the current time");
    }
    if (!ownership_confirmed_ && request.cls == work_class::call) {
        return unconfirmed_outcome(
            "owner_unconfirmed",
            "another scheduler may have taken over the shard and run the request");
    }
    if (!may_have_run_under_earlier_owner(request)) {
        return std::nullopt;
    }
    if (!request.idempotent) {
        return unconfirmed_outcome("owner_changed",
                                   "an earlier owner of the shard may have run the request");
    }
    if (is_recovering()) {
        return unconfirmed_outcome("recovering",
                                   "not all workers of an earlier owner have reported yet");
    }
    return std::nullopt;
}

bool shard_state::may_have_run_under_earlier_owner(const work_request& request) const
{
    if (request.first_attempt || request.cls != work_class::call || options_.epoch == 1) {
        return false;
    }
    const auto created = time_of_request_id(request.request_id);
    return !recovered_ || !created || *created <= fenced_at_ + options_.clock_skew;
}

std::optional<outcome> shard_state::check_feasibility(const work_request& request,
                                                      const contract& terms) const
{
    const auto simultaneous_tasks = request.cls == work_class::gang ? request.tasks : 1;
    const auto need = request.size * simultaneous_tasks;
    if (!fits(need, terms.ceiling)) {
        return refusal("above_ceiling", "requires " + text_of(need) +
                                            " at the same time; the contract's "
                                            "ceiling is " +
                                            text_of(terms.ceiling));
    }
    if (!is_recovering() && recovered_ && !pool_.could_ever_fit(request.size)) {
        return refusal("never_fits",
                       "no worker is large enough for a task of " + text_of(request.size));
    }
    if (request.cls == work_class::call) {
        return std::nullopt;
    }
    if (!store_available_) {
        return refusal("store_unavailable",
                       "jobs are accepted only while the configuration store is available");
    }
    if (journal_bytes_ > options_.max_journal_bytes) {
        return refusal("journal_full", "the shard's journal has no space for another job");
    }
    return std::nullopt;
}

std::optional<outcome> shard_state::check_queue(const work_request& request, const contract& terms)
{
    const auto& queue = queues_[{request.customer, request.cls}];
    if (static_cast<int>(queue.items.size()) >= terms.queue_limit) {
        return refusal("queue_full",
                       std::to_string(queue.items.size()) +
                           " requests are already waiting; the contract's queue_limit is " +
                           std::to_string(terms.queue_limit));
    }
    if (request.cls != work_class::call) {
        return std::nullopt;
    }
    const auto limit = request.wait_limit.count() > 0
                           ? std::min(request.wait_limit, terms.max_wait_of(request.cls))
                           : terms.max_wait_of(request.cls);
    const auto wait = expected_wait(request, terms);
    if (wait > limit) {
        return refusal("would_wait_too_long",
                       "the expected wait is about " + std::to_string(wait.count()) +
                           " ms; the limit is " + std::to_string(limit.count()) + " ms");
    }
    return std::nullopt;
}

milliseconds shard_state::wait_limit(const request_record& record) const
{
    const auto max_wait = terms_of(record)->max_wait_of(record.request.cls);
    if (record.request.wait_limit.count() > 0) {
        return std::min(record.request.wait_limit, max_wait);
    }
    return max_wait;
}

milliseconds shard_state::expected_wait(const work_request& request, const contract& terms)
{
    const auto& queue = queues_[{request.customer, request.cls}];
    if (queue.waiting_tasks == 0) {
        return milliseconds(0);
    }
    const auto declared = request.run_time.count() > 0 ? request.run_time : assumed_run_time;
    const auto run_time = estimates_.run_time(terms.customer, request.kind, declared);
    const auto concurrent_calls = std::max<std::int64_t>(1, usage_of(terms.customer).calls.slots);
    return run_time * queue.waiting_tasks / concurrent_calls;
}

request_record& shard_state::make_record(const work_request& request, time_point time,
                                         wall_time wall)
{
    auto record = std::make_unique<request_record>();
    record->request = request;
    record->tasks.resize(static_cast<std::size_t>(request.tasks));
    for (int i = 0; i < request.tasks; ++i) {
        record->waiting.push_back(i);
    }
    record->unfinished = request.tasks;
    record->opened = request.cls == work_class::call ? 1 : 0;
    record->content_hash = hash_content(request);
    record->submitted = time;
    record->submitted_wall = wall;
    ++open_requests_;
    if (request.cls == work_class::call) {
        ++open_calls_;
    } else {
        journal_bytes_ += estimate_journal_bytes(request);
    }
    auto& slot = requests_[key_of(request.customer, request.request_id)];
    slot = std::move(record);
    return *slot;
}

void shard_state::cancel(std::uint64_t token, const std::string& customer,
                         const std::string& request_id, time_point time)
{
    const auto key = key_of(customer, request_id);
    const auto found = requests_.find(key);
    if (found == requests_.end()) {
        answer(token,
               unconfirmed_outcome("unknown_request", "the shard has no record of this request"));
        return;
    }
    auto& record = *found->second;
    if (record.ended) {
        answer(token, record.result);
        return;
    }
    record.cancelled = true;
    const bool job = is_job(record);
    for (const auto index : record.waiting) {
        auto& slot = record.tasks.at(static_cast<std::size_t>(index));
        slot.phase = slot.attempt > 0 ? task_phase::unknown : task_phase::cancelled;
        --record.unfinished;
    }
    record.waiting.clear();
    dequeue(record);
    for (auto& slot : record.tasks) {
        if (slot.phase == task_phase::started && !slot.cancelling && !slot.task_id.empty()) {
            slot.cancelling = true;
            actions_.controls.push_back(
                {.worker = pool_.at(slot.worker).address,
                 .stop = {.task_id = slot.task_id, .control = task_control::stop}});
        }
    }
    outcome result = unconfirmed_outcome(
        "cancelled", "the request was cancelled while it may have been running");
    if (record.unfinished == 0) {
        finish_request(record, time);
        result = record.result;
    }
    if (!job) {
        answer(token, result);
        return;
    }
    request_journal_write({.kind = pending_write::write_kind::answer,
                           .sequence = journal_sequence_ + 1,
                           .key = key,
                           .token = token,
                           .result = result});
}

void shard_state::abandon()
{
    ownership_confirmed_ = false;
    for (const auto& [key, record] : requests_) {
        if (record->waiters.empty()) {
            continue;
        }
        const bool unstarted =
            !is_job(*record) && record->tasks.front().phase == task_phase::waiting;
        answer_all(*record,
                   unstarted && !record->unconfirmed
                       ? refusal("owner_changed", "another scheduler has taken over the shard")
                       : unconfirmed_outcome("owner_changed",
                                             "the shard's owner changed before the request ended"));
    }
    for (const auto& write : pending_writes_) {
        if (write.kind == pending_write::write_kind::answer) {
            answer(write.token,
                   unconfirmed_outcome(
                       "owner_changed",
                       "the shard's owner changed before the cancellation was stored"));
        }
    }
    pending_writes_.clear();
}

} // namespace flamingoseam
