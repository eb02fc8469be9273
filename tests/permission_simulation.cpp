#include "tests/permission_simulation.hpp"

#include <algorithm>
#include <functional>
#include <random>

namespace flamingoseam::workflow {

namespace {

constexpr wall_time wall{1'000'000};
constexpr milliseconds step{10};

std::string worker_id(std::size_t worker)
{
    return "w" + std::to_string(worker);
}

} // namespace

permission_simulation::permission_simulation(permission_simulation_options options)
    : options_(options)
{
    state_.set_permission_call_slots(options_.call_slots);
    list_workers(0);
}

void permission_simulation::add_workers(std::size_t count)
{
    const auto first_new = options_.workers;
    options_.workers += count;
    for (auto& [id, job] : submitted_) {
        if (!job.permitted.empty()) {
            record_permitted(id, first_new);
        }
    }
    list_workers(first_new);
}

void permission_simulation::record_permitted(const std::string& id, std::size_t first)
{
    for (std::size_t worker = first; worker < options_.workers; ++worker) {
        if (is_permitted(id, worker)) {
            submitted_.at(id).permitted.push_back(worker);
        }
    }
}

/// Announces all workers to the owner, the new ones of which then report.
void permission_simulation::list_workers(std::size_t first_new)
{
    std::vector<worker_entry> entries;
    for (std::size_t worker = 0; worker < options_.workers; ++worker) {
        entries.push_back({.id = worker_id(worker),
                           .incarnation = 1,
                           .service = "service",
                           .address = {"127.0.0.1", 1},
                           .capacity = {.milli_cpus = options_.milli_cpus, .memory_mb = 100'000}});
    }
    state_.on_worker_list(entries, time_);
    for (std::size_t worker = first_new; worker < options_.workers; ++worker) {
        state_.on_report(worker, {.incarnation = 1, .asked = time_}, time_, wall);
    }
    commit_changes();
}

void permission_simulation::record_submitted(const job_spec& spec, const queue_terms& terms,
                                             milliseconds length)
{
    submitted_[spec.id] = {.time = time_,
                           .length = length,
                           .milli_cpus = spec.steps.front().size.milli_cpus,
                           .permitted = {},
                           .first_answer = {}};
    if (terms.permission) {
        record_permitted(spec.id, 0);
    }
}

void permission_simulation::load(const std::vector<accepted_job>& jobs)
{
    std::vector<job_record> records;
    for (const auto& job : jobs) {
        record_submitted(job.spec, job.terms, job.length);
        job_record record;
        record.spec = job.spec;
        record.terms = job.terms;
        record.accepted = wall - job.age;
        record.spec_stored = true;
        fill_steps(record, task_phase::unlocated);
        records.push_back(std::move(record));
    }
    state_.load(std::move(records), {}, time_, wall);
}

void permission_simulation::submit(const job_spec& spec, const queue_terms& terms,
                                   milliseconds length)
{
    record_submitted(spec, terms, length);
    ids_.push_back(spec.id);
    state_.submit(ids_.size(), spec, terms, time_, wall);
    commit_changes();
}

void permission_simulation::cancel(const std::string& id)
{
    state_.cancel(0, id, time_, wall);
    commit_changes();
}

void permission_simulation::advance(milliseconds length)
{
    for (const auto end = time_ + length; time_ < end;) {
        time_ += step;
        end_runs();
        complete_calls();
        process_actions();
    }
}

int permission_simulation::answered_calls(const std::string& id) const
{
    return submitted_.at(id).answered_calls;
}

std::optional<time_point> permission_simulation::first_start(const std::string& id) const
{
    const auto found = first_starts_.find(id);
    return found == first_starts_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<time_point> permission_simulation::first_start(const std::string& id, int step) const
{
    const auto found = first_step_starts_.find({id, step});
    return found == first_step_starts_.end() ? std::nullopt : std::optional(found->second);
}

milliseconds permission_simulation::start_wait(const std::string& id) const
{
    return since_submitted(id, first_start(id));
}

milliseconds permission_simulation::permission_wait(const std::string& id) const
{
    return since_submitted(id, submitted_.at(id).first_answer);
}

milliseconds permission_simulation::since_submitted(const std::string& id,
                                                    std::optional<time_point> until) const
{
    return std::chrono::duration_cast<milliseconds>(until.value_or(time_) - submitted_.at(id).time);
}

void permission_simulation::process_actions()
{
    state_.tick(time_);
    auto actions = state_.take_actions();
    for (const auto& reply : actions.answers) {
        if (reply.kind == caller_answer::answer_kind::refused) {
            submitted_.at(ids_.at(reply.token - 1)).refused = true;
        }
    }
    for (auto& order : actions.starts) {
        const auto& task = order.name.task;
        first_starts_.try_emplace(task.job, time_);
        first_step_starts_.try_emplace({task.job, task.step}, time_);
        state_.on_start(order.worker, order.name, start_outcome::started, time_);
        const auto end = time_ + submitted_.at(order.name.task.job).length;
        running_.push_back({end, std::move(order)});
    }
    for (auto& request : actions.permissions) {
        ++pending_requests_;
        queue_.add(std::move(request));
    }
    for (const auto number : actions.withdrawn_permissions) {
        --pending_requests_;
        queue_.drop(number);
    }
    while (calls_.size() < options_.call_slots) {
        auto request = queue_.take(options_.call_slots, time_);
        if (!request) {
            break;
        }
        calls_.push_back({time_ + request->service_time, std::move(*request)});
    }
    commit_changes();
}

void permission_simulation::end_runs()
{
    std::map<std::size_t, worker_report> reports;
    for (auto& [end, order] : std::exchange(running_, {})) {
        if (end > time_) {
            running_.emplace_back(end, std::move(order));
            continue;
        }
        reports[order.worker].ended.push_back(
            {.number = ++last_end_[order.worker], .name = order.name});
    }
    for (const auto& [end, order] : running_) {
        const auto report = reports.find(order.worker);
        if (report != reports.end()) {
            report->second.present.push_back({.name = order.name, .percent = 1});
        }
    }
    for (auto& [worker, report] : reports) {
        report.incarnation = 1;
        report.asked = time_;
        state_.on_report(worker, report, time_, wall);
    }
}

void permission_simulation::complete_calls()
{
    for (auto& ended_call : std::exchange(calls_, {})) {
        if (ended_call.end > time_) {
            calls_.push_back(std::move(ended_call));
            continue;
        }
        queue_.finish(ended_call.request);
        ++answered_calls_;
        --pending_requests_;
        auto& job = submitted_.at(ended_call.request.job);
        ++job.answered_calls;
        job.first_answer = job.first_answer.value_or(time_);
        state_.on_permission(ended_call.request.number, grants_of(ended_call.request), time_);
    }
}

bool permission_simulation::is_idle(std::size_t worker) const
{
    return std::ranges::none_of(running_,
                                [worker](const auto& run) { return run.second.worker == worker; });
}

std::vector<std::int64_t> permission_simulation::used_processors() const
{
    std::vector<std::int64_t> used(options_.workers);
    for (const auto& [end, order] : running_) {
        used[order.worker] += submitted_.at(order.name.task.job).milli_cpus;
    }
    return used;
}

int permission_simulation::places(const std::string& id,
                                  const std::vector<std::int64_t>& used) const
{
    const auto& job = submitted_.at(id);
    std::int64_t places = 0;
    for (const auto worker : job.permitted) {
        places += (options_.milli_cpus - used[worker]) / job.milli_cpus;
    }
    return static_cast<int>(places);
}

bool permission_simulation::is_permitted(const std::string& id, std::size_t worker) const
{
    std::mt19937_64 random(std::hash<std::string>()(id + worker_id(worker)));
    return std::bernoulli_distribution(options_.permitted_share)(random);
}

std::vector<ticket_grant> permission_simulation::grants_of(const permission_request& request) const
{
    std::vector<ticket_grant> grants;
    for (const auto& worker : request.workers) {
        if (is_permitted(request.job, state_.find_worker(worker).value())) {
            grants.push_back({worker, "ticket"});
        }
    }
    return grants;
}

void permission_simulation::commit_changes()
{
    while (state_.should_write(0, time_)) {
        state_.take_batch(0, 30, time_);
        state_.on_stored(0);
    }
}

} // namespace flamingoseam::workflow
