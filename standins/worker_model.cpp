#include "standins/worker_model.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

#include <utility>

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

constexpr milliseconds max_check_gap{500}; ///< A longer gap means that the VM was paused.
constexpr std::size_t max_kept_contacts = 256;
constexpr std::size_t max_kept_events = 20'000;

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
    info.addMember("refused_session") <<= value.refused_session;
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

worker_model::worker_model(worker_options options) : options_(std::move(options)) {}

std::string worker_model::refusal(const worker_command& request) const
{
    if (options_.check_epoch && request.epoch < epoch_) {
        return "stale_epoch";
    }
    if (!request.incarnation.empty() && request.incarnation != options_.incarnation) {
        return "other_incarnation";
    }
    if (!options_.check_session) {
        return {};
    }
    const bool is_new = request.epoch > epoch_ || request.session > session_;
    if (request.report ? !is_new : !(session_open_ && request.session == session_)) {
        return "no_session";
    }
    return {};
}

command_response worker_model::command(const worker_command& request, time_point time,
                                       wall_time wall)
{
    command_response answer{.incarnation = options_.incarnation, .capacity = options_.capacity};
    advance(time, wall);
    answer.reason = refusal(request);
    if (!answer.reason.empty()) {
        answer.epoch = epoch_;
        counts_.refused_epoch += answer.reason == "stale_epoch" ? 1 : 0;
        counts_.refused_session += answer.reason == "no_session" ? 1 : 0;
        return answer;
    }
    epoch_ = std::max(epoch_, request.epoch);
    if (request.report) {
        session_ = request.session;
        session_open_ = true;
        if (running().empty()) {
            lease_until_ = time + request.lease;
        }
    }
    renew_lease(request.lease, request.answered);
    answer.contact = next_contact(time);
    answer.accepted = true;
    answer.epoch = epoch_;
    for (const auto& task : request.stops) {
        stop(task, time, wall);
    }
    for (const auto& task : request.starts) {
        answer.results.push_back(start(task, time, wall));
    }
    answer.last_event = next_event_ - 1;
    if (request.report) {
        for (const auto& [id, task] : tasks_) {
            answer.tasks.push_back(task.report);
        }
    }
    return answer;
}

start_result worker_model::start(const task_start& task, time_point time, wall_time wall)
{
    if (tasks_.contains(task.task_id)) {
        return {.task_id = task.task_id, .started = true, .reason = "duplicate"};
    }
    if (!fits(used_ + task.size, options_.capacity)) {
        ++counts_.refused_capacity;
        return {.task_id = task.task_id, .started = false, .reason = "no_capacity"};
    }
    stored_task started{.report = {.task = task, .output = {}},
                        .behaviour = behaviour_of(task.payload),
                        .began = time,
                        .ends = {},
                        .ledger_index = ledger_.size()};
    started.ends = started.began + started.behaviour.run_time;
    used_ += task.size;
    ++counts_.started;
    ledger_.push_back({.customer = task.customer,
                       .request_id = task.request_id,
                       .index = task.index,
                       .began_ms = wall.count(),
                       .state = "running"});
    tasks_.emplace(task.task_id, std::move(started));
    return {.task_id = task.task_id, .started = true, .reason = {}};
}

void worker_model::stop(const task_control_request& request, time_point time, wall_time wall)
{
    const auto found = tasks_.find(request.task_id);
    if (found == tasks_.end() || !is_running(found->second.report) ||
        request.control == task_control::throttle) {
        return;
    }
    const bool checkpoint = request.control == task_control::checkpoint;
    end(found->second, checkpoint ? task_state::checkpointed : task_state::stopped, "", time, wall);
}

void worker_model::end(stored_task& task, task_state state, const std::string& output,
                       time_point time, wall_time wall)
{
    task.report.state = state;
    task.report.output = output;
    used_ -= task.report.task.size;
    auto& entry = ledger_.at(task.ledger_index);
    entry.ended_ms = wall.count();
    entry.state = to_string(state);
    events_.push_back({.sequence = next_event_++,
                       .task_id = task.report.task.task_id,
                       .state = state,
                       .output = output,
                       .usage = task.behaviour.usage,
                       .run_time = std::chrono::duration_cast<milliseconds>(time - task.began)});
    if (events_.size() > max_kept_events) {
        tasks_.erase(events_.front().task_id);
        events_.pop_front();
    }
}

event_batch worker_model::poll(const event_poll& request, time_point time, wall_time wall)
{
    advance(time, wall);
    event_batch batch{.incarnation = options_.incarnation, .events = {}};
    const bool same_session = session_open_ && request.session == session_;
    if ((options_.check_epoch && request.epoch < epoch_) ||
        (options_.check_session && !same_session)) {
        return batch;
    }
    batch.accepted = true;
    renew_lease(request.lease, request.answered);
    batch.contact = next_contact(time);
    const auto first = events_.empty() ? next_event_ : events_.front().sequence;
    for (auto i = std::max(request.after + 1, first); i < next_event_; ++i) {
        batch.events.push_back(events_.at(i - first));
    }
    return batch;
}

std::vector<task_start> worker_model::running() const
{
    std::vector<task_start> tasks;
    for (const auto& [id, task] : tasks_) {
        if (is_running(task.report)) {
            tasks.push_back(task.report.task);
        }
    }
    return tasks;
}

time_point worker_model::next_due(time_point none) const
{
    auto next = none;
    for (const auto& [id, task] : tasks_) {
        if (is_running(task.report)) {
            next = std::min(next, task.ends);
        }
    }
    return next;
}

void worker_model::advance(time_point time, wall_time wall)
{
    check_lease(time, wall);
    std::vector<stored_task*> due;
    for (auto& [id, task] : tasks_) {
        if (is_running(task.report) && task.ends <= time) {
            due.push_back(&task);
        }
    }
    for (auto* task : due) {
        const bool fails = task->behaviour.fail || fail_every_task_;
        const auto& id = task->report.task.request_id;
        end(*task, fails ? task_state::failed : task_state::finished,
            fails ? "" : "answer to " + id + ": " + task->behaviour.text, time, wall);
    }
}

void worker_model::renew_lease(milliseconds lease, std::uint64_t answered)
{
    const auto oldest = last_contact_ + 1 - contacts_.size();
    if (answered < oldest || answered > last_contact_) {
        return;
    }
    lease_until_ = std::max(lease_until_, contacts_.at(answered - oldest) + lease);
}

std::uint64_t worker_model::next_contact(time_point time)
{
    contacts_.push_back(time);
    if (contacts_.size() > max_kept_contacts) {
        contacts_.pop_front();
    }
    return ++last_contact_;
}

void worker_model::check_lease(time_point time, wall_time wall)
{
    const auto last_check = std::exchange(last_lease_check_, time);
    if (time < lease_until_) {
        return;
    }
    session_open_ = false;
    // A paused VM pauses its tasks as well, so the tasks that end with the lease did not run during
    // the pause.
    const bool paused = time - last_check > max_check_gap;
    const auto ended = paused ? std::max(last_check, lease_until_) : time;
    const auto ended_wall = wall - std::chrono::duration_cast<milliseconds>(time - ended);
    std::vector<stored_task*> running_tasks;
    for (auto& [id, task] : tasks_) {
        if (is_running(task.report)) {
            running_tasks.push_back(&task);
        }
    }
    for (auto* task : running_tasks) {
        end(*task, task_state::stopped, "", ended, ended_wall);
        ++counts_.lapsed_leases;
    }
}

} // namespace flamingoseam::standin
