#include "flamingoseam/shard/shard_state.hpp"

#include <algorithm>

namespace flamingoseam {

namespace {

constexpr int call_scan_depth = 64;
constexpr int other_scan_depth = 8;
constexpr int overdue_divisor = 2; ///< A job is overdue after this fraction of its maximum wait.

/// Ranks of queues. A lower rank is served first.
constexpr int rank_call = 0;
constexpr int rank_overdue = 1;
constexpr int rank_service = 2;
constexpr int rank_gang = 3;
constexpr int rank_batch = 4;
constexpr int rank_count = 5;

int rank_of(work_class cls)
{
    switch (cls) {
    case work_class::call:
        return rank_call;
    case work_class::service:
        return rank_service;
    case work_class::gang:
        return rank_gang;
    case work_class::batch:
        break;
    }
    return rank_batch;
}

} // namespace

resources shard_state::share_limit(const contract& terms) const
{
    return amount_of(terms.ceiling, shares_.parts_of(terms.customer));
}

resources shard_state::guarantee(const contract& terms) const
{
    return amount_of(terms.guaranteed, shares_.parts_of(terms.customer));
}

customer_usage shard_state::usage_of(const std::string& customer) const
{
    const auto found = usage_.find(customer);
    return found == usage_.end() ? customer_usage{} : found->second;
}

resources shard_state::task_size(const work_request& request) const
{
    auto size = estimates_.size(request.customer, request.kind, request.size);
    if (!pool_.could_ever_fit(size)) {
        return request.size;
    }
    return size;
}

resources shard_state::potential_unfenced_usage() const
{
    resources sum;
    if (unfenced_count_ == 0 || options_.epoch == 1) {
        return sum;
    }
    resources largest;
    for (const auto& worker : pool_.workers()) {
        largest = max(largest, worker.capacity);
    }
    for (const auto& worker : pool_.workers()) {
        if (worker.status != worker_status::unfenced) {
            continue;
        }
        const auto leased = leased_workers_.find(worker.address);
        sum += leased == leased_workers_.end() ? largest : leased->second;
    }
    return sum;
}

bool shard_state::is_within_ceiling(const contract& terms, const resources& size) const
{
    const auto used = usage_of(terms.customer).total + potential_unfenced_usage();
    return fits(used + size, share_limit(terms));
}

bool shard_state::is_guaranteed(const contract& terms, work_class cls, const resources& size) const
{
    const auto usage = usage_of(terms.customer);
    const auto& counted = terms.is_preemptible(cls) ? usage.total : usage.non_preemptible;
    return fits(counted + size, guarantee(terms));
}

void shard_state::update_usage_sums(const std::string& customer)
{
    auto& usage = usage_[customer];
    usage_sums_.headroom -= usage.headroom;
    usage_sums_.unused_guarantee -= usage.unused_guarantee;
    usage_sums_.borrowed -= usage.borrowed;
    const auto* terms = contracts_.find(customer);
    const auto guaranteed = terms == nullptr ? resources() : guarantee(*terms);
    usage.headroom =
        min(max(usage.call_peak - usage.calls, {}), max(guaranteed - usage.non_preemptible, {}));
    usage.unused_guarantee = max(guaranteed - usage.total, {});
    usage.borrowed = min(usage.total - usage.non_preemptible, max(usage.total - guaranteed, {}));
    usage_sums_.headroom += usage.headroom;
    usage_sums_.unused_guarantee += usage.unused_guarantee;
    usage_sums_.borrowed += usage.borrowed;
}

bool shard_state::leaves_headroom(const contract& terms, work_class cls, const resources& size,
                                  bool guaranteed) const
{
    const auto own = usage_of(terms.customer).headroom;
    resources reserved;
    if (cls != work_class::call) {
        reserved += own;
    }
    if (!guaranteed) {
        reserved += usage_sums_.headroom - own;
    }
    return reserved == resources() || fits(size + reserved, pool_.active_free());
}

bool shard_state::leaves_guarantees(const contract& terms, const resources& size) const
{
    const auto others = usage_sums_.unused_guarantee - usage_of(terms.customer).unused_guarantee;
    return fits(size + others, pool_.active_free() + usage_sums_.borrowed);
}

std::string shard_state::blocking_reason(const contract& terms, const request_record& record,
                                         const resources& size) const
{
    const auto cls = record.request.cls;
    if (!is_within_ceiling(terms, size)) {
        return "ceiling";
    }
    const bool guaranteed = is_guaranteed(terms, cls, size);
    if (!leaves_headroom(terms, cls, size, guaranteed)) {
        return "headroom";
    }
    if (!guaranteed && !terms.is_preemptible(cls) && !leaves_guarantees(terms, size)) {
        return "others_guarantee";
    }
    return {};
}

bool shard_state::is_overdue(const request_record& record, time_point time) const
{
    const auto* terms = terms_of(record);
    return terms != nullptr && is_job(record) &&
           time - record.submitted > terms->max_wait_of(record.request.cls) / overdue_divisor;
}

std::vector<shard_state::active_queue> shard_state::active_queues(time_point time)
{
    std::vector<active_queue> active;
    for (const auto& key : nonempty_queues_) {
        auto& queue = queues_.at(key);
        const auto* terms = contracts_.find(key.customer);
        if (terms == nullptr) {
            continue;
        }
        const auto used = usage_of(key.customer).total;
        const auto guaranteed = guarantee(*terms);
        auto share = dominant_share(used, guaranteed);
        if (!fits(used, guaranteed)) {
            share = 1.0 + dominant_share(used, terms->ceiling) / terms->weight;
        }
        const bool overdue = is_overdue(*queue.items.front(), time);
        active.push_back({.key = key,
                          .queue = &queue,
                          .rank = overdue ? rank_overdue : rank_of(key.cls),
                          .share = share});
    }
    std::ranges::stable_sort(
        active, {}, [](const active_queue& item) { return std::pair(item.rank, item.share); });
    return active;
}

void shard_state::schedule(time_point time)
{
    ++counts_.passes;
    auto active = active_queues(time);
    for (int rank = 0; rank < rank_count; ++rank) {
        while (place_round(active, rank, time)) {
        }
    }
}

bool shard_state::place_round(std::vector<active_queue>& active, int rank, time_point time)
{
    bool progress = false;
    for (auto& candidate : active) {
        if (candidate.rank != rank || candidate.blocked || candidate.queue->items.empty()) {
            continue;
        }
        candidate.blocked = !place_next(candidate, time);
        progress |= !candidate.blocked;
    }
    return progress;
}

bool shard_state::place_next(active_queue& active, time_point time)
{
    const auto* terms = contracts_.find(active.key.customer);
    int depth = active.key.cls == work_class::call ? call_scan_depth : other_scan_depth;
    auto item = active.queue->items.begin();
    while (item != active.queue->items.end() && depth-- > 0) {
        auto& record = **item++;
        const auto result = record.request.cls == work_class::gang
                                ? place_gang(record, *terms, time)
                                : place_task(record, *terms, time);
        if (result == placement_result::placed) {
            return true;
        }
        if (result == placement_result::blocked && record.held_by != "yielding" &&
            active.key.cls == work_class::call) {
            return false;
        }
    }
    return false;
}

placement_policy& shard_state::policy_for(work_class cls)
{
    if (cls == work_class::call) {
        return *policies_.calls;
    }
    return cls == work_class::service ? *policies_.services : *policies_.packing;
}

placement_query shard_state::make_query(const request_record& record, const contract& terms) const
{
    placement_query query{.size = {}, .zones = terms.zones, .spread = nullptr, .skip = {}};
    const bool may_probe = record.request.idempotent;
    const bool may_use_reserved = gang_reservation_.record == nullptr ||
                                  gang_reservation_.record == &record ||
                                  record.request.cls == work_class::call;
    if ((probing_.empty() || may_probe) && may_use_reserved) {
        return query;
    }
    query.skip = [this, may_probe, may_use_reserved](std::size_t worker) {
        return (!may_probe && probing_.contains(worker)) ||
               (!may_use_reserved && gang_reservation_.workers.contains(worker));
    };
    return query;
}

job_spread shard_state::spread_of(const request_record& record) const
{
    job_spread spread;
    for (const auto& slot : record.tasks) {
        if (slot.phase == task_phase::started) {
            const auto& worker = pool_.at(slot.worker);
            ++spread.per_rack[worker.rack];
            ++spread.per_zone[worker.zone];
        }
    }
    return spread;
}

bool shard_state::is_ready(request_record& record, std::size_t count, time_point time)
{
    for (std::size_t i = 0; i < count; ++i) {
        if (!is_open(record, record.waiting[i])) {
            return false;
        }
    }
    if (time < record.not_before) {
        record.held_by = "backoff";
        return false;
    }
    return true;
}

std::optional<shard_state::placement_result> shard_state::place_claimed(request_record& record,
                                                                        const contract& terms,
                                                                        const resources& size,
                                                                        time_point time)
{
    const auto claim = claims_.find(key_of(record.request.customer, record.request.request_id));
    if (claim == claims_.end()) {
        return std::nullopt;
    }
    const auto chosen = claim->second.worker;
    const auto& worker = pool_.at(chosen);
    if (!worker.accepts() || time > claim->second.expires) {
        drop_claim(record);
        return std::nullopt;
    }
    if (!fits(size, worker.free() + claim->second.size) || !is_within_ceiling(terms, size)) {
        record.held_by = "yielding";
        return placement_result::blocked;
    }
    drop_claim(record);
    start_task(record, record.waiting.front(), chosen, time);
    return placement_result::placed;
}

shard_state::placement_result shard_state::place_task(request_record& record, const contract& terms,
                                                      time_point time)
{
    const auto cls = record.request.cls;
    if (!is_ready(record, 1, time)) {
        return placement_result::retry_later;
    }
    const auto index = record.waiting.front();
    const auto size = task_size(record.request);
    if (const auto result = place_claimed(record, terms, size, time)) {
        return *result;
    }
    record.held_by = blocking_reason(terms, record, size);
    if (record.held_by == "ceiling") {
        request_share(terms, size);
        if (!terms.is_preemptible(cls) && preempt_for(record, terms, true, time)) {
            record.held_by = "yielding";
        }
    }
    if (!record.held_by.empty()) {
        return placement_result::blocked;
    }
    auto query = make_query(record, terms);
    query.size = size;
    const auto spread = cls == work_class::service ? spread_of(record) : job_spread();
    query.spread = &spread;
    if (const auto worker = policy_for(cls).choose(pool_, query)) {
        start_task(record, index, *worker, time);
        return placement_result::placed;
    }
    record.held_by = "no_room";
    if (is_guaranteed(terms, cls, size) && preempt_for(record, terms, false, time)) {
        record.held_by = "yielding";
    }
    return placement_result::blocked;
}

shard_state::placement_result shard_state::place_gang(request_record& record, const contract& terms,
                                                      time_point time)
{
    if (!is_ready(record, record.waiting.size(), time)) {
        return placement_result::retry_later;
    }
    const auto size = task_size(record.request);
    const auto count = static_cast<int>(record.waiting.size());
    record.held_by = blocking_reason(terms, record, size * count);
    if (record.held_by == "ceiling") {
        request_share(terms, size * count);
    }
    if (!record.held_by.empty() && record.held_by != "headroom") {
        return placement_result::blocked;
    }
    auto query = make_query(record, terms);
    query.size = size;
    std::vector<std::size_t> workers;
    if (record.held_by.empty()) {
        workers = place_all_or_none(pool_, *policies_.packing, query, count);
    }
    if (workers.empty()) {
        record.held_by = "gang";
        reserve_for_gang(record, terms, time);
        return placement_result::blocked;
    }
    for (const auto worker : workers) {
        pool_.release(worker, size);
        start_task(record, record.waiting.front(), worker, time);
    }
    if (gang_reservation_.record == &record) {
        gang_reservation_ = {};
    }
    return placement_result::placed;
}

void shard_state::start_task(request_record& record, int index, std::size_t worker, time_point time)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    const auto size = task_size(record.request);
    if (slot.attempt == 0) {
        start_waits_.at(static_cast<std::size_t>(record.request.cls))
            .push_back(std::chrono::duration_cast<milliseconds>(time - record.submitted));
    }
    ++slot.attempt;
    slot.phase = task_phase::started;
    slot.task_id = task_id_of(record, index);
    slot.worker = worker;
    slot.reserved = size;
    slot.started_at = time;
    slot.preempting = false;
    pool_.reserve(worker, size);
    change_usage(record, size, 1);
    running_.emplace(slot.task_id, task_ref{&record, index});
    running_on_.at(worker).insert(slot.task_id);
    record.waiting.pop_front();
    --queues_[{record.request.customer, record.request.cls}].waiting_tasks;
    if (record.waiting.empty()) {
        dequeue(record);
    }
    if (probing_.erase(worker) > 0) {
        set_status(worker, worker_status::quarantined);
    }
    ++counts_.starts;
    const auto& request = record.request;
    actions_.starts.push_back({.worker = pool_.at(worker).address,
                               .task = {.task_id = slot.task_id,
                                        .customer = request.customer,
                                        .request_id = request.request_id,
                                        .index = index,
                                        .cls = request.cls,
                                        .kind = request.kind,
                                        .payload = request.payload,
                                        .traceparent = request.traceparent,
                                        .size = size,
                                        .idempotent = request.idempotent}});
}

std::string shard_state::task_id_of(const request_record& record, int index) const
{
    const auto attempt = record.tasks.at(static_cast<std::size_t>(index)).attempt;
    return key_of(record.request.customer, record.request.request_id) + "/" +
           std::to_string(index) + "/" + std::to_string(options_.epoch) + "." +
           std::to_string(attempt);
}

bool shard_state::is_open(request_record& record, int index)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    if (is_job(record) && index >= record.opened) {
        record.held_by = "window";
        open_window(record);
        return false;
    }
    if (!slot.checkpointed) {
        return true;
    }
    record.held_by = "window";
    if (slot.resume_sequence == 0 && store_available_) {
        slot.resume_sequence = journal_sequence_ + 1;
        request_journal_write({.kind = pending_write::write_kind::open,
                               .sequence = slot.resume_sequence,
                               .key = key_of(record.request.customer, record.request.request_id),
                               .result = {}});
    }
    return false;
}

void shard_state::open_window(request_record& record)
{
    const bool open_all = record.request.cls != work_class::batch;
    const auto window =
        record.request.idempotent ? options_.task_window : options_.non_idempotent_task_window;
    const auto wanted = open_all ? record.request.tasks
                                 : std::min(record.request.tasks, record.waiting.front() + window);
    if (record.opening >= wanted || !store_available_) {
        return;
    }
    record.opening = wanted;
    request_journal_write({.kind = pending_write::write_kind::open,
                           .sequence = journal_sequence_ + 1,
                           .key = key_of(record.request.customer, record.request.request_id),
                           .result = {}});
}

void shard_state::enqueue(request_record& record)
{
    if (record.queued || record.waiting.empty()) {
        return;
    }
    auto& queue = queues_[{record.request.customer, record.request.cls}];
    queue.items.push_back(&record);
    nonempty_queues_.insert({record.request.customer, record.request.cls});
    queue.waiting_tasks += static_cast<int>(record.waiting.size());
    record.queued = true;
}

void shard_state::dequeue(request_record& record)
{
    drop_claim(record);
    if (gang_reservation_.record == &record) {
        gang_reservation_ = {};
    }
    if (!record.queued) {
        return;
    }
    auto& queue = queues_[{record.request.customer, record.request.cls}];
    queue.waiting_tasks -= static_cast<int>(record.waiting.size());
    queue.items.erase(std::ranges::find(queue.items, &record));
    if (queue.items.empty()) {
        nonempty_queues_.erase({record.request.customer, record.request.cls});
    }
    record.queued = false;
}

void shard_state::request_share(const contract& terms, const resources& missing)
{
    const auto used = usage_of(terms.customer).total;
    const auto needed = parts_for(used + missing, terms.ceiling);
    const auto current = shares_.parts_of(terms.customer);
    if (needed > current && needed <= whole_share) {
        actions_.share_requests.push_back({.customer = terms.customer, .parts = needed - current});
    }
}

std::int64_t shard_state::give_share(const share_transfer& request)
{
    const auto* terms = contracts_.find(request.customer);
    if (terms == nullptr) {
        return 0;
    }
    auto wanted = usage_of(request.customer).total + potential_unfenced_usage();
    for (const auto& key : nonempty_queues_) {
        if (key.customer == request.customer) {
            const auto& queue = queues_.at(key);
            wanted += queue.items.front()->request.size * queue.waiting_tasks;
        }
    }
    const auto needed = parts_for(wanted, max(terms->ceiling, wanted));
    const auto given = shares_.give(request, shares_.parts_of(request.customer) - needed);
    if (given > 0) {
        actions_.journal = true;
        update_usage_sums(request.customer);
    }
    return given;
}

void shard_state::receive_share(const share_transfer& transfer, time_point time)
{
    if (shares_.receive(transfer)) {
        actions_.journal = true;
        update_usage_sums(transfer.customer);
        schedule(time);
    }
}

} // namespace flamingoseam
