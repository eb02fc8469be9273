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
constexpr int most_task_attempts = 3;

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
      journal_sequence_(journal.sequence), began_(time), last_decay_(time)
{
    load_journal(journal, time);
}

void shard_state::on_vm_list(const std::vector<vm_entry>& vms, time_point time)
{
    for (const auto& vm : vms) {
        const auto known = pool_.size();
        const auto index = pool_.add(vm.address, vm.zone, vm.rack);
        if (pool_.size() > known) {
            running_on_.emplace_back();
            ++unfenced_;
        }
        const bool leaves = vm.leaving || drained_.contains(vm.address);
        const bool was_leaving = leaving_.contains(vm.address);
        if (leaves && !was_leaving) {
            leaving_.insert(vm.address);
            if (pool_.at(index).accepts()) {
                set_status(index, worker_status::leaving);
            }
            move_away(index, time);
        } else if (!leaves && was_leaving) {
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

void shard_state::move_away(std::size_t worker, time_point time)
{
    const auto task_ids = running_on_.at(worker);
    for (const auto& task_id : task_ids) {
        const auto task = running_.at(task_id);
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        if (is_job(*task.record) && !slot.yielding && !slot.cancelling) {
            yield(task, time);
        }
    }
}

void shard_state::set_status(std::size_t worker, worker_status status)
{
    const auto before = pool_.at(worker).status;
    unfenced_ -= before == worker_status::unfenced ? 1 : 0;
    unfenced_ += status == worker_status::unfenced ? 1 : 0;
    pool_.set_status(worker, status);
}

void shard_state::on_report(const std::string& address, const command_answer& report,
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
    lose_all(*index, reported, time);
    for (const auto& task : report.tasks) {
        adopt(*index, task, time);
    }
    auto status = worker_status::active;
    if (leaving_.contains(address)) {
        status = worker_status::leaving;
    } else if (health_.is_quarantined(*index)) {
        status = worker_status::quarantined;
    }
    set_status(*index, status);
    const auto known = roster_.find(address);
    if (known == roster_.end() || !(known->second == report.capacity)) {
        roster_[address] = report.capacity;
        actions_.journal = true;
    }
    if (status == worker_status::leaving) {
        move_away(*index, time);
    }
    settle_unseen(time);
    schedule(time);
}

void shard_state::lose_all(std::size_t worker, const std::set<std::string>& except, time_point time)
{
    const auto task_ids = running_on_.at(worker);
    for (const auto& task_id : task_ids) {
        if (!except.contains(task_id)) {
            const auto task = running_.at(task_id);
            task_lost(*task.record, task.index, "worker_lost", time);
        }
    }
}

request_record& shard_state::record_for(const task_start& task, time_point time)
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

void shard_state::adopt(std::size_t worker, const task_report& report, time_point time)
{
    const auto& task = report.task;
    if (const auto mine = running_.find(task.task_id); mine != running_.end()) {
        const auto known = mine->second;
        if (report.state != task_state::running) {
            end_started(*known.record, known.index, report.state, report.output, time);
        }
        return;
    }
    const bool is_call = task.cls == work_class::call;
    const bool known = requests_.contains(key_of(task.customer, task.request_id));
    if (!is_call && !known) {
        stop_extra(worker, report);
        return;
    }
    auto& record = record_for(task, time);
    auto& slot = record.tasks.at(static_cast<std::size_t>(task.index));
    const bool unseen = slot.phase == task_phase::started && slot.task_id.empty();
    const bool unplaced = is_call && slot.phase == task_phase::waiting && slot.attempt == 0;
    if (record.ended || !(unseen || unplaced)) {
        stop_extra(worker, report);
        return;
    }
    const bool is_final = report.state == task_state::finished ||
                          (report.state == task_state::failed && !task.idempotent);
    if (report.state == task_state::running || is_final) {
        take_running(record, worker, task, time);
    }
    if (is_final) {
        end_started(record, task.index, report.state, report.output, time);
    } else if (report.state != task_state::running) {
        note_earlier_attempt(record, report, time);
    } else if (record.cancelled) {
        slot.cancelling = true;
        stop_extra(worker, report);
    }
}

void shard_state::stop_extra(std::size_t worker, const task_report& report)
{
    if (report.state == task_state::running) {
        actions_.controls.push_back(
            {.worker = pool_.at(worker).address,
             .stop = {.task_id = report.task.task_id, .control = task_control::stop}});
    }
}

void shard_state::take_running(request_record& record, std::size_t worker, const task_start& task,
                               time_point time)
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
    slot.began = time;
    slot.attempt = std::max(slot.attempt, 1);
    pool_.reserve(worker, task.size);
    change_usage(record, task.size, 1);
    running_.emplace(slot.task_id, task_ref{&record, task.index});
    running_on_.at(worker).insert(slot.task_id);
    enqueue(record);
}

void shard_state::note_earlier_attempt(request_record& record, const task_report& report,
                                       time_point time)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(report.task.index));
    slot.attempt = std::max(slot.attempt, 1);
    const bool runs_again = !record.waiting.empty() && record.request.idempotent;
    if (is_job(record) || runs_again) {
        return; // A newer attempt may be on a worker that has not reported; settle_unseen decides.
    }
    dequeue(record);
    record.waiting.clear();
    record.result.reason = "task_" + std::string(to_string(report.state));
    finish_task(record, report.task.index, task_phase::unknown, time);
}

void shard_state::settle_unseen(time_point time)
{
    if (recovered_ || unfenced_ > 0) {
        return;
    }
    recovered_ = true;
    fenced_at_ = options_.began + std::chrono::duration_cast<milliseconds>(time - began_);
    for (auto& [key, record] : requests_) {
        if (record->ended) {
            continue;
        }
        for (std::size_t i = 0; i < record->tasks.size() && !record->ended; ++i) {
            auto& slot = record->tasks[i];
            if (slot.phase == task_phase::started && slot.task_id.empty()) {
                task_lost(*record, static_cast<int>(i), "owner_changed", time);
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
    lose_all(*index, {}, time);
    settle_unseen(time);
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
    run_again(*task.record, task.index, time);
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
    end_started(*task.record, task.index, event.state, event.output, time);
    schedule(time);
}

void shard_state::end_started(request_record& record, int index, task_state state,
                              const std::string& output, time_point time)
{
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    const auto worker = slot.worker;
    const bool cancelling = slot.cancelling;
    release_task(record, index);
    if (state == task_state::finished) {
        note_health(record, worker, false, time);
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
        note_health(record, worker, true, time);
        record.result.reason = "task_failed";
        record.result.worker = pool_.at(worker).address;
        if (may_retry(record, slot.attempt)) {
            run_again(record, index, time);
        } else {
            finish_task(record, index, task_phase::failed, time);
        }
        return;
    }
    if (state == task_state::checkpointed) {
        slot.parked = is_job(record) && !record.request.idempotent;
        actions_.journal |= slot.parked;
        run_again(record, index, time);
        return;
    }
    record.result.reason = "task_stopped";
    if (record.request.idempotent) {
        run_again(record, index, time);
    } else {
        finish_task(record, index, task_phase::unknown, time);
    }
}

void shard_state::note_health(const request_record& record, std::size_t worker, bool failed,
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

void shard_state::task_lost(request_record& record, int index, const std::string& why,
                            time_point time)
{
    if (!record.tasks.at(static_cast<std::size_t>(index)).task_id.empty()) {
        release_task(record, index);
    }
    auto& slot = record.tasks.at(static_cast<std::size_t>(index));
    slot.attempt = std::max(slot.attempt, 1);
    record.result.reason = why;
    const bool again = record.request.idempotent && !record.cancelled;
    if (again && (is_job(record) || may_retry(record, slot.attempt))) {
        run_again(record, index, time);
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
    const auto most = is_job(record) ? most_task_attempts : terms->retry_attempts;
    if (attempt >= most || !budgets_[record.request.customer].take()) {
        return false;
    }
    ++counts_.retries;
    return true;
}

void shard_state::run_again(request_record& record, int index, time_point time)
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
    if (slot.yielding) {
        usage_[record.request.customer].yielding -= slot.reserved;
        yielding_.erase(slot.task_id);
    }
    running_.erase(slot.task_id);
    running_on_.at(slot.worker).erase(slot.task_id);
    slot.task_id.clear();
    slot.reserved = {};
    slot.yielding = false;
}

void shard_state::change_usage(const request_record& record, const resources& size, int sign)
{
    auto& usage = usage_[record.request.customer];
    const auto change = size * sign;
    const auto* terms = terms_of(record);
    usage.total += change;
    if (terms == nullptr || !terms->yields(record.request.cls)) {
        usage.firm += change;
    }
    if (record.request.cls == work_class::call) {
        usage.calls += change;
        usage.call_peak = max(usage.call_peak, usage.calls);
    }
    refresh_sums(record.request.customer);
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
        result.kind = record.doubtful ? verdict::may_have_run : verdict::not_run;
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

void shard_state::forget_old(time_point time)
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
        const auto& [when, key] = ended_.front();
        const bool entry_made = key.find("/" + entry_id_prefix) != std::string::npos;
        const auto kept =
            entry_made ? options_.output_retention : options_.id_window + options_.clock_skew * 2;
        if (when + kept >= time) {
            break;
        }
        const auto found = requests_.find(key);
        if (found != requests_.end() && found->second->ended && found->second->ended_at == when) {
            requests_.erase(found);
        }
        ended_.pop_front();
    }
}

void shard_state::on_contracts_changed(time_point time)
{
    for (auto& [customer, usage] : usage_) {
        usage.firm = {};
    }
    for (const auto& [task_id, task] : running_) {
        const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
        const auto* terms = terms_of(*task.record);
        if (terms == nullptr || !terms->yields(task.record->request.cls)) {
            usage_[task.record->request.customer].firm += slot.reserved;
        }
    }
    for (const auto& terms : contracts_.all()) {
        refresh_sums(terms.customer);
        const auto limit = share_limit(terms);
        std::vector<task_ref> own;
        for (const auto& [task_id, task] : running_) {
            const auto& slot = task.record->tasks.at(static_cast<std::size_t>(task.index));
            if (task.record->request.customer == terms.customer && !slot.yielding &&
                terms.yields(task.record->request.cls)) {
                own.push_back(task);
            }
        }
        for (const auto& task : own) {
            const auto usage = usage_of(terms.customer);
            if (fits(usage.total - usage.yielding, limit)) {
                break;
            }
            yield(task, time);
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
        answer_all(record, {.kind = record.doubtful ? verdict::may_have_run : verdict::not_run,
                            .reason = "wait_exceeded",
                            .detail = "no worker became free within the contract's longest wait; "
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
        refresh_sums(customer);
    }
}

void shard_state::tick(time_point time)
{
    expire_waits(time);
    enforce_yields(time);
    send_probes(time);
    decay_call_peaks(time);
    forget_old(time);
    if (hold_.record != nullptr && time > hold_.expires) {
        hold_.record->not_before = time + options_.gang_hold;
        hold_ = {};
    }
    schedule(time);
}

shard_actions shard_state::take_actions()
{
    return std::exchange(actions_, {});
}

std::array<std::vector<milliseconds>, work_class_count> shard_state::take_waits()
{
    return std::exchange(waits_, {});
}

} // namespace flamingoseam
