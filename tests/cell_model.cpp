#include "tests/cell_model.hpp"

#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace flamingoseam::model {

namespace {

constexpr milliseconds lease{1000};
constexpr milliseconds lost_after{1250};
constexpr milliseconds clock_skew{10};
constexpr wall_time wall_start = std::chrono::hours(24 * 365 * 50);
const resources worker_shape{.milli_cpus = 4000, .memory_mb = 8000, .accelerators = 0, .slots = 4};
const resources task_shape{.milli_cpus = 1500, .memory_mb = 2000, .accelerators = 0, .slots = 1};

/// Returns a UUID of version 7 that is the same in every run.
std::string request_id_of(int id, wall_time wall)
{
    std::array<char, 64> text{};
    const auto time = static_cast<unsigned long>(wall.count());
    std::snprintf(text.data(), text.size(), "%08lx-%04lx-7000-8000-%012x", time >> 16,
                  time & 0xffff, static_cast<unsigned>(id));
    return text.data();
}

contract terms_for(const std::string& customer, int workers)
{
    contract terms;
    terms.customer = customer;
    terms.version = 1;
    terms.guaranteed = worker_shape * workers;
    terms.guaranteed = {terms.guaranteed.milli_cpus * 3 / 10, terms.guaranteed.memory_mb * 3 / 10,
                        0, terms.guaranteed.slots * 3 / 10};
    terms.ceiling = worker_shape * workers;
    terms.ceiling = {terms.ceiling.milli_cpus * 7 / 10, terms.ceiling.memory_mb * 7 / 10, 0,
                     terms.ceiling.slots * 7 / 10};
    terms.longest_wait = {milliseconds(2000), milliseconds(5000), milliseconds(5000),
                          milliseconds(20'000)};
    terms.yield_order = {work_class::batch};
    terms.yield_grace = milliseconds(200);
    return terms;
}

} // namespace

cell_model::cell_model(const model_options& options)
    : options_(options), time_(time_point{} + std::chrono::hours(1))
{
    for (const auto* customer : {"gate", "studio"}) {
        contracts_.apply({.value = terms_for(customer, options.workers), .revision = 1});
    }
    for (int i = 0; i < options.workers; ++i) {
        workers_.emplace_back(standin::worker_options{.incarnation = "first" + std::to_string(i),
                                                      .capacity = worker_shape,
                                                      .check_epoch = options.check_epoch,
                                                      .check_session = options.check_session});
    }
    journal_.shares = share_ledger(whole_share);
    begin_owner();
}

wall_time cell_model::wall() const
{
    return wall_start + std::chrono::duration_cast<milliseconds>(time_.time_since_epoch());
}

std::string cell_model::address(std::size_t worker) const
{
    return "worker" + std::to_string(worker) + ":1";
}

std::size_t cell_model::worker_at(const std::string& address) const
{
    std::size_t worker = 0;
    while (this->address(worker) != address) {
        ++worker;
    }
    return worker;
}

void cell_model::note(const std::string& what)
{
    if (fault_.empty()) {
        fault_ = what;
    }
}

void cell_model::begin_owner()
{
    owner next;
    next.epoch = owners_.size() + 1;
    journal_.epoch = next.epoch;
    journal_.sequence = 0;
    next.state = std::make_unique<shard_state>(
        shard_options{.shard = "shard",
                      .owner = "owner" + std::to_string(next.epoch),
                      .epoch = next.epoch,
                      .began = wall(),
                      .clock_skew = clock_skew},
        contracts_, from_json<journal_record>(to_json(journal_)), time_);
    next.links.resize(workers_.size());
    std::vector<vm_entry> vms;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        vms.push_back({.address = address(i), .zone = "zone", .rack = "rack"});
        next.links[i].last_contact = time_;
    }
    next.state->on_vm_list(vms, time_);
    if (options_.check_authority) {
        for (auto& earlier : owners_) {
            earlier.state->set_ownership_confirmed(false);
        }
    }
    owners_.push_back(std::move(next));
    drain_actions(owners_.size() - 1);
}

void cell_model::take_over()
{
    if (owners_.size() < 6) {
        begin_owner();
    }
}

void cell_model::drain_actions(std::size_t index)
{
    auto& one = owners_[index];
    auto actions = one.state->take_actions();
    for (const auto& action : actions.starts) {
        const auto worker = worker_at(action.worker);
        auto& to = one.links[worker];
        if (to.accepts) {
            to.pending.starts.push_back(action.task);
        } else {
            fail_starts(one, worker, {action.task}, "unreachable");
        }
    }
    for (const auto& action : actions.controls) {
        one.links[worker_at(action.worker)].pending.stops.push_back(action.stop);
    }
    for (const auto& action : actions.answers) {
        take_answer(one, action.token, action.result);
    }
    if (!one.state->take_actions().starts.empty()) {
        note("a refusal started something at once");
    }
}

void cell_model::take_answer(owner& one, std::uint64_t token, const outcome& result)
{
    const auto found = one.tokens.find(token);
    if (found == one.tokens.end()) {
        return;
    }
    auto& request = requests_.at(found->second);
    one.tokens.erase(found);
    ++verdicts_[result.kind];
    if (request.cls != work_class::call) {
        return;
    }
    const auto runs = runs_of(request.request_id);
    if (result.kind == verdict::not_run) {
        request.told_not_run = 1;
        request.resubmitted = false;
        if (!runs.empty() && result.reason != "id_conflict") {
            note("told not_run (" + result.reason +
                 ") though it was started: " + request.request_id);
        }
    }
    if (result.kind == verdict::ran && result.reason.empty() &&
        result.output.find(request.request_id) == std::string::npos) {
        note("answer of another request: " + result.output);
    }
}

void cell_model::submit(std::size_t index, int id, const std::string& customer, work_class cls,
                        bool idempotent)
{
    auto& one = owners_[index];
    if (one.gone) {
        return;
    }
    const bool known = requests_.contains(id);
    auto& history = requests_[id];
    if (!known) {
        history = {.request_id = request_id_of(id, wall()),
                   .customer = customer,
                   .cls = cls,
                   .idempotent = idempotent};
    }
    history.resubmitted = true;
    work_request request;
    request.customer = history.customer;
    request.request_id = history.request_id;
    request.cls = history.cls;
    request.kind = "kind";
    request.idempotent = history.idempotent;
    request.size = task_shape;
    request.tasks = history.cls == work_class::call ? 1 : 3;
    request.payload = R"({"run_ms":)" + std::to_string(50 + id % 5 * 100) + "}";
    request.first_attempt = !known || !options_.check_ids;
    const auto token = one.next_token++;
    one.tokens[token] = id;
    one.state->submit(token, request, time_, wall());
    drain_actions(index);
}

void cell_model::cancel(int id)
{
    if (!requests_.contains(id)) {
        return;
    }
    auto& one = owners_.back();
    const auto token = one.next_token++;
    one.tokens[token] = id;
    one.state->cancel(token, requests_[id].customer, requests_[id].request_id, time_);
    drain_actions(owners_.size() - 1);
}

void cell_model::fail_starts(owner& one, std::size_t worker, const std::vector<task_start>& starts,
                             const std::string& reason)
{
    for (const auto& task : starts) {
        one.state->on_start_result(
            address(worker), {.task_id = task.task_id, .started = false, .reason = reason}, time_);
    }
}

void cell_model::step_link(std::size_t index, std::size_t worker)
{
    auto& one = owners_[index];
    auto& to = one.links[worker];
    if (one.gone) {
        return;
    }
    if (!to.waiting && to.needs_report) {
        fail_starts(one, worker, to.pending.starts, "unreachable");
        to.pending.starts.clear();
        to.current = {};
        to.current.report = true;
        to.current.session = ++to.session;
        to.waiting = true;
    } else if (!to.waiting && !(to.pending.starts.empty() && to.pending.stops.empty())) {
        to.current = std::exchange(to.pending, {});
        to.current.session = to.session;
        to.current.incarnation = to.incarnation;
        to.waiting = true;
    } else if (!to.waiting) {
        return;
    } else if (to.current.report) {
        to.current.session = ++to.session;
    }
    to.current.epoch = one.epoch;
    to.current.lease = lease;
    to.current.answered = to.answered;
    commands_.push_back({.owner = index, .worker = worker, .command = to.current});
    drain_actions(index);
    check_lost(index, worker);
}

void cell_model::check_lost(std::size_t index, std::size_t worker)
{
    auto& one = owners_[index];
    auto& to = one.links[worker];
    if (!to.fenced || to.lost || time_ - to.last_contact < lost_after) {
        return;
    }
    to.lost = true;
    to.needs_report = true;
    to.accepts = false;
    to.waiting = false;
    fail_starts(one, worker, std::exchange(to.pending, {}).starts, "unreachable");
    one.state->on_worker_lost(address(worker), time_);
    drain_actions(index);
}

void cell_model::deliver_command(std::size_t index)
{
    if (index >= commands_.size()) {
        return;
    }
    const auto message = commands_[index];
    commands_.erase(commands_.begin() + static_cast<std::ptrdiff_t>(index));
    const auto answer = workers_[message.worker].command(message.command, time_, wall());
    answers_.push_back({.owner = message.owner,
                        .worker = message.worker,
                        .command = message.command,
                        .answer = answer});
}

void cell_model::lose_answer(std::size_t index)
{
    if (index < answers_.size()) {
        answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void cell_model::deliver_answer(std::size_t index)
{
    if (index >= answers_.size()) {
        return;
    }
    const auto message = answers_[index];
    lose_answer(index);
    auto& one = owners_[message.owner];
    auto& to = one.links[message.worker];
    const bool expected = to.waiting && to.current.report == message.command.report &&
                          to.current.session == message.command.session;
    if (one.gone || !expected) {
        return;
    }
    const bool same_starts = to.current.starts.size() == message.command.starts.size() &&
                             std::ranges::equal(to.current.starts, message.command.starts, {},
                                                &task_start::task_id, &task_start::task_id);
    if (!same_starts) {
        return;
    }
    to.waiting = false;
    if (message.answer.accepted) {
        to.last_contact = time_;
        to.answered = std::max(to.answered, message.answer.contact);
    }
    if (!message.answer.accepted) {
        to.needs_report = true;
        to.accepts = false;
        if (message.answer.reason == "stale_epoch") {
            one.gone = true;
            one.state->abandon();
        }
    } else if (to.current.report) {
        to.needs_report = false;
        to.answered = message.answer.contact;
        to.lost = false;
        to.fenced = true;
        to.incarnation = message.answer.incarnation;
        to.last_event = message.answer.last_event;
        one.state->on_report(address(message.worker), message.answer, time_);
        to.accepts = true;
    } else {
        for (const auto& result : message.answer.results) {
            if (result.started) {
                one.state->on_start_result(address(message.worker), result, time_);
            }
            to.needs_report |= !result.started;
        }
        to.accepts = !to.needs_report;
    }
    drain_actions(message.owner);
}

void cell_model::poll(std::size_t index, std::size_t worker)
{
    auto& one = owners_[index];
    auto& to = one.links[worker];
    if (one.gone || to.needs_report) {
        return;
    }
    const auto batch = workers_[worker].poll({.epoch = one.epoch,
                                              .session = to.session,
                                              .after = to.last_event,
                                              .lease = lease,
                                              .answered = to.answered},
                                             time_, wall());
    if (!batch.accepted || batch.incarnation != to.incarnation) {
        to.needs_report = true;
        to.accepts = false;
        return;
    }
    to.last_contact = time_;
    to.answered = std::max(to.answered, batch.contact);
    for (const auto& event : batch.events) {
        to.last_event = event.sequence;
        one.state->on_event(address(worker), event, time_);
    }
    drain_actions(index);
}

void cell_model::advance(milliseconds length)
{
    time_ += length;
    for (auto& worker : workers_) {
        worker.advance(time_, wall());
    }
    for (std::size_t i = 0; i < owners_.size(); ++i) {
        if (!owners_[i].gone) {
            owners_[i].state->tick(time_);
            drain_actions(i);
            for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
                check_lost(i, worker);
            }
        }
    }
}

void cell_model::write_journal(std::size_t index)
{
    auto& one = owners_[index];
    if (one.gone) {
        return;
    }
    auto record = one.state->make_journal(wall());
    if (one.epoch != journal_.epoch) {
        one.gone = true;
        one.state->abandon();
        drain_actions(index);
        return;
    }
    journal_ = std::move(record);
    one.state->on_journal_written(journal_.sequence, time_);
    drain_actions(index);
}

void cell_model::restart_worker(std::size_t worker)
{
    auto& one = workers_[worker];
    for (auto entry : one.ledger()) {
        entry.ended_ms = entry.ended_ms == 0 ? wall().count() : entry.ended_ms;
        entry.state = entry.state == "running" ? "died" : entry.state;
        old_runs_.push_back(entry);
    }
    one = standin::worker_model({.incarnation = "restart" + std::to_string(++restarts_),
                                 .capacity = worker_shape,
                                 .check_epoch = options_.check_epoch,
                                 .check_session = options_.check_session});
}

void cell_model::settle()
{
    const auto newest = owners_.size() - 1;
    for (int round = 0; round < 400; ++round) {
        write_journal(newest);
        for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
            step_link(newest, worker);
            while (!commands_.empty()) {
                deliver_command(0);
            }
            while (!answers_.empty()) {
                deliver_answer(0);
            }
            poll(newest, worker);
        }
        advance(milliseconds(100));
    }
}

std::vector<standin::ledger_entry> cell_model::runs_of(const std::string& request_id) const
{
    std::vector<standin::ledger_entry> runs;
    const auto add = [&](const std::vector<standin::ledger_entry>& from) {
        std::ranges::copy_if(from, std::back_inserter(runs),
                             [&](const auto& run) { return run.request_id == request_id; });
    };
    add(old_runs_);
    for (const auto& worker : workers_) {
        add(worker.ledger());
    }
    return runs;
}

std::string cell_model::fault() const
{
    if (!fault_.empty()) {
        return fault_;
    }
    std::map<std::string, resources> held;
    std::set<std::string> running;
    for (const auto& worker : workers_) {
        if (!fits(worker.used(), worker.capacity())) {
            return "a worker holds more than it has";
        }
        if (worker.counts().refused_capacity > 0) {
            return "a worker was asked to hold more than it has";
        }
        for (const auto& task : worker.running()) {
            held[task.customer] += task.size;
            if (!running.insert(task.request_id + "/" + std::to_string(task.index)).second) {
                return "a task runs in two places: " + task.request_id;
            }
        }
    }
    for (const auto& [customer, amount] : held) {
        if (!fits(amount, contracts_.find(customer)->ceiling)) {
            return customer + " holds more than its ceiling: " + to_json(amount);
        }
    }
    for (const auto& [id, request] : requests_) {
        const auto runs = runs_of(request.request_id);
        if (request.told_not_run > 0 && !request.resubmitted && !runs.empty()) {
            return "told not_run and started afterwards: " + request.request_id;
        }
        std::map<int, int> whole_runs;
        for (const auto& run : runs) {
            whole_runs[run.index] += run.state == "checkpointed" ? 0 : 1;
            if (!request.idempotent && whole_runs[run.index] > 1) {
                return "a non-idempotent task ran twice: " + request.request_id;
            }
        }
    }
    return {};
}

} // namespace flamingoseam::model
