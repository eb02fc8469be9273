#include "flamingoseam/core/hash.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/shard/explain.hpp"
#include "flamingoseam/shard/shard_state.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds decay_interval{1000};
constexpr std::int64_t decay_divisor = 64;
constexpr int max_task_attempts = 3;

resources decayed(const resources& peak, const resources& current)
{
    const auto step = [](std::int64_t value) {
        return value - (value + decay_divisor - 1) / decay_divisor;
    };
    return max(
        {step(peak.milli_cpus), step(peak.memory_mb), step(peak.accelerators), step(peak.slots)},
        current);
}

} // namespace

shard_state::shard_state(shard_options options, const contract_table& contracts,
                         const journal_record& journal, time_point time)
    : options_(std::move(options)), contracts_(contracts), shares_(journal.shares),
      journal_sequence_(journal.sequence), started_at_(time), last_decay_(time)
{
    load_journal(journal, time);
}

void shard_state::on_vm_list(const std::vector<vm_entry>& vms, time_point time)
{
    for (const auto& vm : vms) {
        const auto size_before = pool_.size();
        const auto index = pool_.add(vm.address, vm.zone, vm.rack);
        if (pool_.size() > size_before) {
            running_on_.emplace_back();
            ++unfenced_count_;
        }
        const bool is_leaving = vm.leaving || drained_.contains(vm.address);
        const bool was_leaving = leaving_.contains(vm.address);
        if (is_leaving && !was_leaving) {
            leaving_.insert(vm.address);
            if (pool_.at(index).accepts()) {
                set_status(index, worker_status::leaving);
            }
            evacuate_jobs(index, time);
        } else if (!is_leaving && was_leaving) {
            leaving_.erase(vm.address);
            if (pool_.at(index).status == worker_status::leaving) {
                set_status(index, worker_status::active);
            }
        }
    }
}

bool shard_state::drain(const std::string& address, time_point time)
{
    const auto index = pool_.find(address);
    if (!index) {
        return false;
    }
    drained_.insert(address);
    const auto& worker = pool_.at(*index);
    on_vm_list({{.address = address, .zone = worker.zone, .rack = worker.rack}}, time);
    return true;
}

void shard_state::evacuate_jobs(std::size_t worker, time_point time)
{
    const auto task_ids = running_on_.at(worker);
    for (const auto& task_id : task_ids) {
        const auto task = running_.at(task_id);
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        if (is_job(*task.record) && !slot.preempting && !slot.cancelling) {
            preempt(task, time);
        }
    }
}

void shard_state::set_status(std::size_t worker, worker_status status)
{
    const auto previous = pool_.at(worker).status;
    unfenced_count_ -= previous == worker_status::unfenced ? 1 : 0;
    unfenced_count_ += status == worker_status::unfenced ? 1 : 0;
    pool_.set_status(worker, status);
}

void shard_state::on_report(const std::string& address, const command_response& report,
                            time_point time)
{
    const auto index = pool_.find(address);
    if (!index) {
        return;
    }
    const auto& worker = pool_.at(*index);
    const bool other_incarnation =
        !worker.incarnation.empty() && worker.incarnation != report.incarnation;
    if (other_incarnation) {
        health_.forget(*index);
        probing_.erase(*index);
    }
    pool_.set_capacity(*index, report.incarnation, report.capacity);
    std::set<std::string> reported;
    for (const auto& task : report.tasks) {
        reported.insert(task.task.task_id);
    }
    handle_lost_tasks(*index, reported, time);
    for (const auto& task : report.tasks) {
        adopt_task(*index, task, time);
    }
    auto status = worker_status::active;
    if (leaving_.contains(address)) {
        status = worker_status::leaving;
    } else if (health_.is_quarantined(*index)) {
        status = worker_status::quarantined;
    }
    set_status(*index, status);
    const auto leased = leased_workers_.find(address);
    if (leased == leased_workers_.end() || !(leased->second == report.capacity)) {
        leased_workers_[address] = report.capacity;
        actions_.journal = true;
    }
    if (status == worker_status::leaving) {
        evacuate_jobs(*index, time);
    }
    resolve_unreported_tasks(time);
    schedule(time);
}

void shard_state::handle_lost_tasks(std::size_t worker, const std::set<std::string>& except,
                                    time_point time)
{
    const auto task_ids = running_on_.at(worker);
    for (const auto& task_id : task_ids) {
        if (!except.contains(task_id)) {
            const auto task = running_.at(task_id);
            handle_lost_task(*task.record, task.index, "worker_lost", time);
        }
    }
}

request_record& shard_state::find_or_make_record(const task_start& task, time_point time)
{
    const auto found = requests_.find(key_of(task.customer, task.request_id));
    if (found != requests_.end()) {
        return *found->second;
    }
    work_request request;
    request.customer = task.customer;
    request.request_id = task.request_id;
    request.kind = task.kind;
    request.payload = task.payload;
    request.traceparent = task.traceparent;
    request.cls = task.cls;
    request.size = task.size;
    request.idempotent = task.idempotent;
    auto& record = make_record(request, time, wall_time(0));
    record.waiting.clear();
    record.opened = 1;
    return record;
}

void shard_state::adopt_task(std::size_t worker, const task_report& report, time_point time)
{
    const auto& task = report.task;
    if (const auto found = running_.find(task.task_id); found != running_.end()) {
        const auto started = found->second;
        if (report.state != task_state::running) {
            handle_task_end(*started.record, started.index, report.state, report.output, time);
        }
        return;
    }
    const bool is_call = task.cls == work_class::call;
    const bool known = requests_.contains(key_of(task.customer, task.request_id));
    if (!is_call && !known) {
        stop_unexpected_task(worker, report);
        return;
    }
    auto& record = find_or_make_record(task, time);
    auto& slot = record.tasks.at(static_cast<std::size_t>(task.index));
    const bool unreported = slot.phase == task_phase::started && slot.task_id.empty();
    const bool unplaced = is_call && slot.phase == task_phase::waiting && slot.attempt == 0;
    if (record.ended || !(unreported || unplaced)) {
        stop_unexpected_task(worker, report);
        return;
    }
    const bool is_final = report.state == task_state::finished ||
                          (report.state == task_state::failed && !task.idempotent);
    if (report.state == task_state::running || is_final) {
        attach_running_task(record, worker, task, time);
    }
    if (is_final) {
        handle_task_end(record, task.index, report.state, report.output, time);
    } else if (report.state != task_state::running) {
        record_earlier_attempt(record, report, time);
    } else if (record.cancelled) {
        slot.cancelling = true;
        stop_unexpected_task(worker, report);
    }
}

void shard_state::stop_unexpected_task(std::size_t worker, const task_report& report)
{
    if (report.state == task_state::running) {
        actions_.controls.push_back(
            {.worker = pool_.at(worker).address,
             .stop = {.task_id = report.task.task_id, .control = task_control::stop}});
    }
}

void shard_state::attach_running_task(request_record& record, std::size_t worker,
                                      const task_start& task, time_point time)
{
    dequeue(record);
    if (!is_job(record)) {
        record.waiting.clear();
    }
    auto& slot = record.tasks.at(static_cast<std::size_t>(task.index));
    slot.phase = task_phase::started;
    slot.task_id = task.task_id;
    slot.worker = worker;
    slot.reserved = task.size;
    slot.started_at = time;
    slot.attempt = std::max(slot.attempt, 1);
    pool_.reserve(worker, task.size);
    change_usage(record, task.size, 1);
    running_.emplace(slot.task_id, task_ref{&record, task.index});
    running_on_.at(worker).insert(slot.task_id);
    enqueue(record);
}

void shard_state::record_earlier_attempt(request_record& record, const task_report& report,
                                         time_point time)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(report.task.index));
    slot.attempt = std::max(slot.attempt, 1);
    const bool runs_again = !record.waiting.empty() && record.request.idempotent;
    if (is_job(record) || runs_again) {
        // A newer attempt may be on a worker that has not reported yet;
        // resolve_unreported_tasks() decides then.
        return;
    }
    dequeue(record);
    record.waiting.clear();
    record.result.reason = "task_" + std::string(to_string(report.state));
    finish_task(record, report.task.index, task_phase::unknown, time);
}

void shard_state::resolve_unreported_tasks(time_point time)
{
    if (recovered_ || unfenced_count_ > 0) {
        return;
    }
    recovered_ = true;
    fenced_at_ = options_.began + std::chrono::duration_cast<milliseconds>(time - started_at_);
    for (auto& [key, record] : requests_) {
        if (record->ended) {
            continue;
        }
        for (std::size_t i = 0; i < record->tasks.size() && !record->ended; ++i) {
            auto& slot = record->tasks[i];
            if (slot.phase == task_phase::started && slot.task_id.empty()) {
                handle_lost_task(*record, static_cast<int>(i), "owner_changed", time);
            }
        }
    }
}

void shard_state::on_worker_lost(const std::string& address, time_point time)
{
    const auto index = pool_.find(address);
    if (!index || pool_.at(*index).status == worker_status::lost) {
        return;
    }
    set_status(*index, worker_status::lost);
    handle_lost_tasks(*index, {}, time);
    resolve_unreported_tasks(time);
    schedule(time);
}

void shard_state::on_start_result(const std::string& address, const start_result& result,
                                  time_point time)
{
    const auto found = running_.find(result.task_id);
    if (found == running_.end() || result.started) {
        return;
    }
    const auto task = found->second;
    const auto worker = pool_.find(address);
    if (worker && pool_.at(*worker).accepts()) {
        set_status(*worker, worker_status::unfenced);
    }
    release_task(*task.record, task.index);
    --task.record->tasks.at(static_cast<std::size_t>(task.index)).attempt;
    requeue_task(*task.record, task.index, time);
}

void shard_state::on_event(const std::string& address, const task_event& event, time_point time)
{
    const auto found = running_.find(event.task_id);
    if (found == running_.end() || event.state == task_state::running) {
        return;
    }
    const auto task = found->second;
    const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
    if (pool_.at(slot.worker).address != address) {
        return;
    }
    if (event.state == task_state::finished) {
        estimates_.observe(task.record->request.customer, task.record->request.kind, event.usage,
                           slot.reserved, event.run_time);
    }
    handle_task_end(*task.record, task.index, event.state, event.output, time);
    schedule(time);
}

void shard_state::handle_task_end(request_record& record, int index, task_state state,
                                  const std::string& output, time_point time)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    const auto worker = slot.worker;
    const bool cancelling = slot.cancelling;
    release_task(record, index);
    if (state == task_state::finished) {
        record_health(record, worker, false, time);
        record.result.output = is_job(record) ? "" : output;
        record.result.worker = pool_.at(worker).address;
        finish_task(record, index, task_phase::done, time);
        return;
    }
    if (cancelling || record.cancelled) {
        record.result.reason = "cancelled";
        finish_task(record, index, task_phase::unknown, time);
        return;
    }
    if (state == task_state::failed) {
        record_health(record, worker, true, time);
        record.result.reason = "task_failed";
        record.result.worker = pool_.at(worker).address;
        if (may_retry(record, slot.attempt)) {
            requeue_task(record, index, time);
        } else {
            finish_task(record, index, task_phase::failed, time);
        }
        return;
    }
    if (state == task_state::checkpointed) {
        slot.checkpointed = is_job(record) && !record.request.idempotent;
        actions_.journal |= slot.checkpointed;
        requeue_task(record, index, time);
        return;
    }
    record.result.reason = "task_stopped";
    if (record.request.idempotent) {
        requeue_task(record, index, time);
    } else {
        finish_task(record, index, task_phase::unknown, time);
    }
}

void shard_state::record_health(const request_record& record, std::size_t worker, bool failed,
                                time_point time)
{
    const bool was_quarantined = health_.is_quarantined(worker);
    const auto kind = record.request.customer + "/" + record.request.kind;
    const bool quarantine = health_.on_ended(worker, kind, failed, pool_.size(), time);
    if (quarantine && pool_.at(worker).accepts()) {
        set_status(worker, worker_status::quarantined);
    }
    if (was_quarantined && !health_.is_quarantined(worker)) {
        probing_.erase(worker);
        if (pool_.at(worker).status == worker_status::quarantined) {
            set_status(worker, worker_status::active);
        }
    }
}

void shard_state::handle_lost_task(request_record& record, int index, const std::string& reason,
                                   time_point time)
{
    if (!record.tasks.at(static_cast<std::size_t>(index)).task_id.empty()) {
        release_task(record, index);
    }
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    slot.attempt = std::max(slot.attempt, 1);
    record.result.reason = reason;
    const bool repeatable = record.request.idempotent && !record.cancelled;
    if (repeatable && (is_job(record) || may_retry(record, slot.attempt))) {
        requeue_task(record, index, time);
    } else {
        finish_task(record, index, task_phase::unknown, time);
    }
}

bool shard_state::may_retry(const request_record& record, int attempt)
{
    const auto* terms = terms_of(record);
    if (!record.request.idempotent || terms == nullptr) {
        return false;
    }
    const auto max_attempts = is_job(record) ? max_task_attempts : terms->retry_attempts;
    if (attempt >= max_attempts || !budgets_[record.request.customer].take()) {
        return false;
    }
    ++counts_.retries;
    return true;
}

void shard_state::requeue_task(request_record& record, int index, time_point time)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    slot.phase = task_phase::waiting;
    slot.task_id.clear();
    const auto* terms = terms_of(record);
    if (terms != nullptr && record.result.reason == "task_failed") {
        record.not_before = time + backoff(terms->retry_backoff, slot.attempt,
                                           short_hash(record.request.request_id) +
                                               static_cast<std::uint64_t>(index));
    }
    record.waiting.push_front(index);
    if (record.queued) {
        ++queues_[{record.request.customer, record.request.cls}].waiting_tasks;
    }
    enqueue(record);
}

void shard_state::release_task(request_record& record, int index)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    pool_.release(slot.worker, slot.reserved);
    change_usage(record, slot.reserved, -1);
    if (slot.preempting) {
        usage_[record.request.customer].preempting -= slot.reserved;
        preempting_.erase(slot.task_id);
    }
    running_.erase(slot.task_id);
    running_on_.at(slot.worker).erase(slot.task_id);
    slot.task_id.clear();
    slot.reserved = {};
    slot.preempting = false;
}

void shard_state::change_usage(const request_record& record, const resources& size, int sign)
{
    auto& usage = usage_[record.request.customer];
    const auto change = size * sign;
    const auto* terms = terms_of(record);
    usage.total += change;
    if (terms == nullptr || !terms->is_preemptible(record.request.cls)) {
        usage.non_preemptible += change;
    }
    if (record.request.cls == work_class::call) {
        usage.calls += change;
        usage.call_peak = max(usage.call_peak, usage.calls);
    }
    update_usage_sums(record.request.customer);
}

void shard_state::finish_task(request_record& record, int index, task_phase phase, time_point time)
{
    record.tasks.at(static_cast<std::size_t>(index)).phase = phase;
    --record.unfinished;
    if (record.unfinished == 0) {
        finish_request(record, time);
    }
}

void shard_state::finish_request(request_record& record, time_point time)
{
    std::map<task_phase, int> phases;
    for (const auto& slot : record.tasks) {
        ++phases[slot.phase];
    }
    auto& result = record.result;
    if (phases[task_phase::unknown] > 0) {
        result.kind = verdict::may_have_run;
    } else if (phases[task_phase::cancelled] == record.request.tasks) {
        result.kind = record.unconfirmed ? verdict::may_have_run : verdict::not_run;
        result.reason = "cancelled";
    } else {
        result.kind = verdict::ran;
        if (phases[task_phase::failed] > 0) {
            result.reason = "task_failed";
        } else {
            result.reason = phases[task_phase::cancelled] > 0 ? "cancelled" : "";
        }
    }
    if (result.kind != verdict::ran) {
        result.output.clear();
    }
    record.ended = true;
    record.ended_at = time;
    --open_requests_;
    if (is_job(record)) {
        actions_.journal = true;
        return;
    }
    --open_calls_;
    answer_all(record, result);
    const auto key = key_of(record.request.customer, record.request.request_id);
    ended_.emplace_back(time, key);
    outputs_.emplace_back(time, key);
    record.request.payload.clear();
    record.request.payload.shrink_to_fit();
}

void shard_state::purge_expired_requests(time_point time)
{
    while (!outputs_.empty() && outputs_.front().first + options_.output_retention < time) {
        const auto found = requests_.find(outputs_.front().second);
        if (found != requests_.end() && found->second->ended &&
            !found->second->result.output.empty()) {
            found->second->result.output.clear();
            found->second->result.output.shrink_to_fit();
            found->second->result.reason = "output_no_longer_kept";
        }
        outputs_.pop_front();
    }
    while (!ended_.empty()) {
        const auto& [ended_at, key] = ended_.front();
        const bool has_entry_id = key.find("/" + entry_id_prefix) != std::string::npos;
        const auto retention =
            has_entry_id ? options_.output_retention : options_.id_window + options_.clock_skew * 2;
        if (ended_at + retention >= time) {
            break;
        }
        const auto found = requests_.find(key);
        if (found != requests_.end() && found->second->ended &&
            found->second->ended_at == ended_at) {
            requests_.erase(found);
        }
        ended_.pop_front();
    }
}

void shard_state::on_contracts_changed(time_point time)
{
    for (auto& [customer, usage] : usage_) {
        usage.non_preemptible = {};
    }
    for (const auto& [task_id, task] : running_) {
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        const auto* terms = terms_of(*task.record);
        if (terms == nullptr || !terms->is_preemptible(task.record->request.cls)) {
            usage_[task.record->request.customer].non_preemptible += slot.reserved;
        }
    }
    for (const auto& terms : contracts_.all()) {
        update_usage_sums(terms.customer);
        const auto limit = share_limit(terms);
        std::vector<task_ref> candidates;
        for (const auto& [task_id, task] : running_) {
            const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
            if (task.record->request.customer == terms.customer && !slot.preempting &&
                terms.is_preemptible(task.record->request.cls)) {
                candidates.push_back(task);
            }
        }
        for (const auto& task : candidates) {
            const auto usage = usage_of(terms.customer);
            if (fits(usage.total - usage.preempting, limit)) {
                break;
            }
            preempt(task, time);
        }
    }
    schedule(time);
}

void shard_state::expire_waits(time_point time)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= time) {
        const auto key = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        const auto found = requests_.find(key);
        if (found == requests_.end() || found->second->ended || found->second->waiting.empty()) {
            continue;
        }
        auto& record = *found->second;
        dequeue(record);
        record.waiting.clear();
        if (record.tasks.front().attempt > 0) {
            finish_task(record, 0, task_phase::unknown, time);
            continue;
        }
        --open_requests_;
        --open_calls_;
        answer_all(record, {.kind = record.unconfirmed ? verdict::may_have_run : verdict::not_run,
                            .reason = "wait_exceeded",
                            .detail = "no worker became free within the contract's maximum wait; "
                                      "held by " +
                                      record.held_by});
        requests_.erase(found);
    }
}

void shard_state::send_probes(time_point time)
{
    for (const auto worker : health_.take_due_probes(time)) {
        if (pool_.at(worker).status == worker_status::quarantined) {
            probing_.insert(worker);
            set_status(worker, worker_status::active);
        }
    }
}

void shard_state::decay_call_peaks(time_point time)
{
    if (time - last_decay_ < decay_interval) {
        return;
    }
    last_decay_ = time;
    for (auto& [customer, usage] : usage_) {
        usage.call_peak = decayed(usage.call_peak, usage.calls);
        update_usage_sums(customer);
    }
}

void shard_state::tick(time_point time)
{
    expire_waits(time);
    enforce_preemptions(time);
    send_probes(time);
    decay_call_peaks(time);
    purge_expired_requests(time);
    if (gang_reservation_.record != nullptr && time > gang_reservation_.expires) {
        gang_reservation_.record->not_before = time + options_.max_gang_reservation;
        gang_reservation_ = {};
    }
    schedule(time);
}

shard_actions shard_state::take_actions()
{
    return std::exchange(actions_, {});
}

std::array<std::vector<milliseconds>, work_class_count> shard_state::take_waits()
{
    return std::exchange(start_waits_, {});
}

} // namespace flamingoseam
