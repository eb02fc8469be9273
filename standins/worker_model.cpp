#include "standins/worker_model.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

#include <sodium.h>

namespace flamingoseam::standin {

void operator>>=(const cxxtools::SerializationInfo& info, task_behaviour& value)
{
    std::int64_t run_ms = value.run_time.count();
    info.getMember("run_ms", run_ms);
    value.run_time = milliseconds(run_ms);
    info.getMember("fail", value.fail);
    flamingoseam::detail::get_text(info, "text", value.text);
    info.getMember("usage", value.usage);
}

namespace {

constexpr std::size_t most_kept_events = 20'000;
constexpr milliseconds longest_sleep{100};

task_behaviour behaviour_of(const std::string& payload)
{
    try {
        return from_json<task_behaviour>(payload);
    } catch (const parse_error&) {
        return {};
    }
}

bool is_running(const task_report& report)
{
    return report.state == task_state::running;
}

} // namespace

void operator<<=(cxxtools::SerializationInfo& info, const worker_counts& value)
{
    info.addMember("started") <<= value.started;
    info.addMember("refused_epoch") <<= value.refused_epoch;
    info.addMember("refused_capacity") <<= value.refused_capacity;
    info.addMember("lapsed_leases") <<= value.lapsed_leases;
}

void operator<<=(cxxtools::SerializationInfo& info, const ledger_entry& value)
{
    info.addMember("customer") <<= value.customer;
    info.addMember("request_id") <<= value.request_id;
    info.addMember("index") <<= value.index;
    info.addMember("began_ms") <<= value.began_ms;
    info.addMember("ended_ms") <<= value.ended_ms;
    info.addMember("state") <<= value.state;
}

worker_model::worker_model(worker_options options)
    : options_(std::move(options)),
      incarnation_(std::to_string(wall_now().count()) + "-" + std::to_string(randombytes_random()))
{
    thread_ = std::thread([this] { run(); });
}

worker_model::~worker_model()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

command_answer worker_model::command(const worker_command& request)
{
    const std::lock_guard lock(mutex_);
    command_answer answer{.incarnation = incarnation_, .capacity = options_.capacity};
    check_lease(now());
    if (options_.check_epoch && request.epoch < epoch_) {
        ++counts_.refused_epoch;
        answer.reason = "stale_epoch";
        answer.epoch = epoch_;
        return answer;
    }
    if (!request.incarnation.empty() && request.incarnation != incarnation_) {
        answer.reason = "other_incarnation";
        answer.epoch = epoch_;
        return answer;
    }
    epoch_ = std::max(epoch_, request.epoch);
    renew_lease(request.lease);
    answer.accepted = true;
    answer.epoch = epoch_;
    for (const auto& one : request.stops) {
        stop(one);
    }
    for (const auto& one : request.starts) {
        answer.results.push_back(start(one));
    }
    answer.last_event = next_event_ - 1;
    if (request.report) {
        for (const auto& [id, task] : tasks_) {
            answer.tasks.push_back(task.report);
        }
    }
    changed_.notify_all();
    return answer;
}

start_result worker_model::start(const task_start& task)
{
    if (tasks_.contains(task.task_id)) {
        return {.task_id = task.task_id, .started = true, .reason = "duplicate"};
    }
    if (!fits(used_ + task.size, options_.capacity)) {
        ++counts_.refused_capacity;
        return {.task_id = task.task_id, .started = false, .reason = "no_capacity"};
    }
    held_task held{.report = {.task = task, .output = {}},
                   .behaviour = behaviour_of(task.payload),
                   .began = now(),
                   .ends = {},
                   .ledger_index = ledger_.size()};
    held.ends = held.began + held.behaviour.run_time;
    used_ += task.size;
    ++counts_.started;
    ledger_.push_back({.customer = task.customer,
                       .request_id = task.request_id,
                       .index = task.index,
                       .began_ms = wall_now().count(),
                       .state = "running"});
    tasks_.emplace(task.task_id, std::move(held));
    return {.task_id = task.task_id, .started = true, .reason = {}};
}

void worker_model::stop(const task_stop& request)
{
    const auto found = tasks_.find(request.task_id);
    if (found == tasks_.end() || !is_running(found->second.report)) {
        return;
    }
    if (request.control == task_control::throttle) {
        return;
    }
    const auto state = request.control == task_control::checkpoint ? task_state::checkpointed
                                                                   : task_state::stopped;
    end(found->second, state, "");
}

void worker_model::end(held_task& task, task_state state, const std::string& output)
{
    task.report.state = state;
    task.report.output = output;
    used_ -= task.report.task.size;
    auto& entry = ledger_.at(task.ledger_index);
    entry.ended_ms = wall_now().count();
    entry.state = to_string(state);
    const auto usage =
        task.behaviour.usage == resources() ? task.report.task.size : task.behaviour.usage;
    events_.push_back({.sequence = next_event_++,
                       .task_id = task.report.task.task_id,
                       .state = state,
                       .output = output,
                       .usage = usage,
                       .run_time = std::chrono::duration_cast<milliseconds>(now() - task.began)});
    if (events_.size() > most_kept_events) {
        tasks_.erase(events_.front().task_id);
        events_.pop_front();
    }
}

event_batch worker_model::poll(std::uint64_t epoch, std::uint64_t after, milliseconds wait,
                               milliseconds lease)
{
    const auto until = now() + wait;
    std::unique_lock lock(mutex_);
    event_batch batch{.incarnation = incarnation_, .events = {}};
    while (true) {
        check_lease(now());
        if (options_.check_epoch && epoch < epoch_) {
            return batch;
        }
        batch.accepted = true;
        renew_lease(lease);
        const auto first = events_.empty() ? next_event_ : events_.front().sequence;
        for (auto i = std::max(after + 1, first); i < next_event_; ++i) {
            batch.events.push_back(events_.at(i - first));
        }
        if (!batch.events.empty() || now() >= until || stopping_) {
            return batch;
        }
        changed_.wait_until(lock, until);
    }
}

void worker_model::set_fail_every_task(bool fail)
{
    const std::lock_guard lock(mutex_);
    fail_every_task_ = fail;
}

worker_counts worker_model::counts()
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

std::vector<ledger_entry> worker_model::ledger()
{
    const std::lock_guard lock(mutex_);
    return ledger_;
}

void worker_model::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto time = now();
        check_lease(time);
        end_due(time);
        auto next = time + longest_sleep;
        for (const auto& [id, task] : tasks_) {
            if (is_running(task.report)) {
                next = std::min(next, task.ends);
            }
        }
        changed_.wait_until(lock, next);
    }
}

void worker_model::end_due(time_point time)
{
    std::vector<std::string> due;
    for (const auto& [id, task] : tasks_) {
        if (is_running(task.report) && task.ends <= time) {
            due.push_back(id);
        }
    }
    for (const auto& id : due) {
        auto& task = tasks_.at(id);
        const bool fails = task.behaviour.fail || fail_every_task_;
        end(task, fails ? task_state::failed : task_state::finished,
            fails ? "" : "answer to " + task.report.task.request_id + ": " + task.behaviour.text);
    }
    if (!due.empty()) {
        changed_.notify_all();
    }
}

void worker_model::renew_lease(milliseconds lease)
{
    if (lease.count() > 0) {
        lease_until_ = now() + lease;
    }
}

void worker_model::check_lease(time_point time)
{
    if (time < lease_until_) {
        return;
    }
    std::vector<std::string> running;
    for (const auto& [id, task] : tasks_) {
        if (is_running(task.report)) {
            running.push_back(id);
        }
    }
    for (const auto& id : running) {
        end(tasks_.at(id), task_state::stopped, "");
        ++counts_.lapsed_leases;
    }
}

} // namespace flamingoseam::standin
