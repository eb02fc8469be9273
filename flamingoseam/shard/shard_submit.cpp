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

outcome doubt(const std::string& reason, const std::string& detail)
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
    return std::to_string(amount.milli_cpus) + " milli-processors, " +
           std::to_string(amount.memory_mb) + " MB, " + std::to_string(amount.accelerators) +
           " accelerators, " + std::to_string(amount.slots) + " slots";
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
    const auto certain = as_certain(result, record.request.request_id);
    for (const auto token : record.waiters) {
        answer(token, certain);
    }
    record.waiters.clear();
}

outcome shard_state::as_certain(outcome result, const std::string& request_id) const
{
    const bool repeatable = !request_id.starts_with(entry_id_prefix);
    if (result.kind == verdict::not_run && repeatable && !authority_) {
        result.kind = verdict::may_have_run;
        result.detail += " (another scheduler may own the shard by now)";
    }
    return result;
}

void shard_state::submit(std::uint64_t token, const work_request& request, time_point time,
                         wall_time wall)
{
    if (join_known(token, request)) {
        return;
    }
    auto refused = refuse_submit(request, wall);
    if (!refused) {
        refused = check_queue(request, *contracts_.find(request.customer));
    }
    const bool doubtful = may_be_of_earlier_owner(request);
    if (refused) {
        refused->kind = doubtful ? verdict::may_have_run : refused->kind;
        answer(token, as_certain(*refused, request.request_id));
        return;
    }
    const auto& terms = *contracts_.find(request.customer);
    auto& record = make_record(request, time, wall);
    record.doubtful = doubtful;
    record.waiters.push_back(token);
    budgets_[request.customer].on_fresh(terms.retry_budget_percent);
    if (is_job(record)) {
        record.accepted = false;
        request_journal({.what = pending_write::purpose::accept,
                         .sequence = journal_sequence_ + 1,
                         .key = key_of(request.customer, request.request_id),
                         .result = {}});
        return;
    }
    deadlines_.emplace(time + wait_limit(record), key_of(request.customer, request.request_id));
    enqueue(record);
    schedule(time);
}

bool shard_state::join_known(std::uint64_t token, const work_request& request)
{
    const auto found = requests_.find(key_of(request.customer, request.request_id));
    if (found == requests_.end()) {
        return false;
    }
    auto& record = *found->second;
    if (record.content_hash != 0 && record.content_hash != hash_content(request)) {
        answer(token, refusal("id_conflict", "request id " + request.request_id +
                                                 " belongs to a request with other content"));
    } else if (record.ended && !is_job(record)) {
        answer(token, record.result);
    } else if (is_job(record) && record.accepted) {
        answer(token, doubt("accepted", "the job was accepted before; ask for its state"));
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
        return refusal("contract_behind", "this scheduler knows version " +
                                              std::to_string(terms->version) +
                                              " of the contract, the entry a newer one");
    }
    return check_possible(request, *terms);
}

std::optional<outcome> shard_state::check_id(const work_request& request, wall_time wall) const
{
    if (request.first_attempt) {
        return std::nullopt;
    }
    const auto made = time_of_request_id(request.request_id);
    if (!made) {
        return doubt("bad_request_id", "a repeat needs a UUID of version 7 as its request id");
    }
    if (*made < wall - options_.id_window) {
        return doubt("id_too_old", "what became of a request this old is no longer known");
    }
    if (*made > wall + options_.clock_skew) {
        return doubt("id_from_future", "the request id's time is ahead of the clock");
    }
    if (!authority_ && request.cls == work_class::call) {
        return doubt("owner_unconfirmed",
                     "another scheduler may own the shard by now and have run the request");
    }
    if (!may_be_of_earlier_owner(request)) {
        return std::nullopt;
    }
    if (!request.idempotent) {
        return doubt("owner_changed", "an earlier owner of the shard may have run the request");
    }
    if (is_recovering()) {
        return doubt("recovering", "an earlier owner's workers have not all reported");
    }
    return std::nullopt;
}

bool shard_state::may_be_of_earlier_owner(const work_request& request) const
{
    if (request.first_attempt || request.cls != work_class::call || options_.epoch == 1) {
        return false;
    }
    const auto made = time_of_request_id(request.request_id);
    return !recovered_ || !made || *made <= fenced_at_ + options_.clock_skew;
}

std::optional<outcome> shard_state::check_possible(const work_request& request,
                                                   const contract& terms) const
{
    const auto together = request.cls == work_class::gang ? request.tasks : 1;
    const auto need = request.size * together;
    if (!fits(need, terms.ceiling)) {
        return refusal("above_ceiling", "needs " + text_of(need) +
                                            " at one time, the contract's "
                                            "ceiling is " +
                                            text_of(terms.ceiling));
    }
    if (!is_recovering() && recovered_ && !pool_.could_ever_fit(request.size)) {
        return refusal("never_fits", "no worker could hold a task of " + text_of(request.size));
    }
    if (request.cls == work_class::call) {
        return std::nullopt;
    }
    if (!store_available_) {
        return refusal("store_unavailable",
                       "jobs are accepted only while the configuration store answers");
    }
    if (journal_bytes_ > options_.most_journal_bytes) {
        return refusal("journal_full", "the shard's journal has no room for another job");
    }
    return std::nullopt;
}

std::optional<outcome> shard_state::check_queue(const work_request& request, const contract& terms)
{
    const auto& queue = queues_[{request.customer, request.cls}];
    if (static_cast<int>(queue.items.size()) >= terms.queue_limit) {
        return refusal("queue_full", std::to_string(queue.items.size()) +
                                         " requests wait already, the contract's queue_limit is " +
                                         std::to_string(terms.queue_limit));
    }
    if (request.cls != work_class::call) {
        return std::nullopt;
    }
    const auto limit = request.wait_limit.count() > 0
                           ? std::min(request.wait_limit, terms.wait_of(request.cls))
                           : terms.wait_of(request.cls);
    const auto wait = expected_wait(request, terms);
    if (wait > limit) {
        return refusal("would_wait_too_long", "would wait about " + std::to_string(wait.count()) +
                                                  " ms, the limit is " +
                                                  std::to_string(limit.count()) + " ms");
    }
    return std::nullopt;
}

milliseconds shard_state::wait_limit(const request_record& record) const
{
    const auto promised = terms_of(record)->wait_of(record.request.cls);
    if (record.request.wait_limit.count() > 0) {
        return std::min(record.request.wait_limit, promised);
    }
    return promised;
}

milliseconds shard_state::expected_wait(const work_request& request, const contract& terms)
{
    const auto& queue = queues_[{request.customer, request.cls}];
    if (queue.waiting_tasks == 0) {
        return milliseconds(0);
    }
    const auto declared = request.run_time.count() > 0 ? request.run_time : assumed_run_time;
    const auto run_time = estimates_.run_time(terms.customer, request.kind, declared);
    const auto at_once = std::max<std::int64_t>(1, usage_of(terms.customer).calls.slots);
    return run_time * queue.waiting_tasks / at_once;
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
        journal_bytes_ += to_json_size(request);
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
        answer(token, doubt("unknown_request", "the shard does not know this request"));
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
    outcome result = doubt("cancelled", "the request was stopped while it ran");
    if (record.unfinished == 0) {
        finish_request(record, time);
        result = record.result;
    }
    if (!job) {
        answer(token, result);
        return;
    }
    request_journal({.what = pending_write::purpose::answer,
                     .sequence = journal_sequence_ + 1,
                     .key = key,
                     .token = token,
                     .result = result});
}

void shard_state::abandon()
{
    authority_ = false;
    for (const auto& [key, record] : requests_) {
        if (record->waiters.empty()) {
            continue;
        }
        const bool unstarted =
            !is_job(*record) && record->tasks.front().phase == task_phase::waiting;
        answer_all(*record, unstarted && !record->doubtful
                                ? refusal("owner_changed", "another scheduler owns the shard now")
                                : doubt("owner_changed", "the owner changed before the end"));
    }
    for (const auto& write : pending_) {
        if (write.what == pending_write::purpose::answer) {
            answer(write.token, doubt("owner_changed", "the owner changed before the store knew"));
        }
    }
    pending_.clear();
}

} // namespace flamingoseam
