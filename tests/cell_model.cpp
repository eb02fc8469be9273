#include "tests/cell_model.hpp"

#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace flamingoseam::model {

namespace {

constexpr milliseconds lease{1000};
constexpr milliseconds loss_timeout{1250};
constexpr milliseconds clock_skew{10};
constexpr wall_time wall_start = std::chrono::hours(24 * 365 * 50);
const resources worker_shape{.milli_cpus = 4000, .memory_mb = 8000, .accelerators = 0, .slots = 4};
const resources task_shape{.milli_cpus = 1500, .memory_mb = 2000, .accelerators = 0, .slots = 1};

/// Returns a deterministic version 7 UUID.
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
    start_owner();
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

void cell_model::record_violation(const std::string& message)
{
    if (violation_.empty()) {
        violation_ = message;
    }
}

void cell_model::start_owner()
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

void cell_model::start_next_owner()
{
    if (owners_.size() < 6) {
        start_owner();
    }
}

void cell_model::drain_actions(std::size_t index)
{
    auto& shard_owner = owners_[index];
    auto actions = shard_owner.state->take_actions();
    for (const auto& action : actions.starts) {
        const auto worker = worker_at(action.worker);
        auto& link_state = shard_owner.links[worker];
        if (link_state.accepts_starts) {
            link_state.pending.starts.push_back(action.task);
        } else {
            fail_starts(shard_owner, worker, {action.task}, "unreachable");
        }
    }
    for (const auto& action : actions.controls) {
        shard_owner.links[worker_at(action.worker)].pending.stops.push_back(action.stop);
    }
    for (const auto& action : actions.answers) {
        process_answer(shard_owner, action.token, action.result);
    }
    if (!shard_owner.state->take_actions().starts.empty()) {
        record_violation("a refused start caused another start immediately");
    }
}

void cell_model::process_answer(owner& shard_owner, std::uint64_t token, const outcome& result)
{
    const auto found = shard_owner.tokens.find(token);
    if (found == shard_owner.tokens.end()) {
        return;
    }
    auto& request = requests_.at(found->second);
    shard_owner.tokens.erase(found);
    ++verdicts_[result.kind];
    if (request.cls != work_class::call) {
        return;
    }
    const auto runs = runs_of(request.request_id);
    if (result.kind == verdict::not_run) {
        request.answered_not_run = 1;
        request.resubmitted = false;
        if (!runs.empty() && result.reason != "id_conflict") {
            record_violation("answered not_run (" + result.reason +
                             ") although it was started: " + request.request_id);
        }
    }
    if (result.kind == verdict::ran && result.reason.empty() &&
        result.output.find(request.request_id) == std::string::npos) {
        record_violation("answer of another request: " + result.output);
    }
}

void cell_model::submit(std::size_t index, int id, const std::string& customer, work_class cls,
                        bool idempotent)
{
    auto& shard_owner = owners_[index];
    if (shard_owner.lost_ownership) {
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
    const auto token = shard_owner.next_token++;
    shard_owner.tokens[token] = id;
    shard_owner.state->submit(token, request, time_, wall());
    drain_actions(index);
}

void cell_model::cancel(int id)
{
    if (!requests_.contains(id)) {
        return;
    }
    auto& shard_owner = owners_.back();
    const auto token = shard_owner.next_token++;
    shard_owner.tokens[token] = id;
    shard_owner.state->cancel(token, requests_[id].customer, requests_[id].request_id, time_);
    drain_actions(owners_.size() - 1);
}

void cell_model::fail_starts(owner& shard_owner, std::size_t worker,
                             const std::vector<task_start>& starts, const std::string& reason)
{
    for (const auto& task : starts) {
        shard_owner.state->on_start_result(
            address(worker), {.task_id = task.task_id, .started = false, .reason = reason}, time_);
    }
}

void cell_model::send_command(std::size_t index, std::size_t worker)
{
    auto& shard_owner = owners_[index];
    auto& link_state = shard_owner.links[worker];
    if (shard_owner.lost_ownership) {
        return;
    }
    if (!link_state.command_in_flight && link_state.needs_report) {
        fail_starts(shard_owner, worker, link_state.pending.starts, "unreachable");
        link_state.pending.starts.clear();
        link_state.current = {};
        link_state.current.report = true;
        link_state.current.session = ++link_state.session;
        link_state.command_in_flight = true;
    } else if (!link_state.command_in_flight &&
               !(link_state.pending.starts.empty() && link_state.pending.stops.empty())) {
        link_state.current = std::exchange(link_state.pending, {});
        link_state.current.session = link_state.session;
        link_state.current.incarnation = link_state.incarnation;
        link_state.command_in_flight = true;
    } else if (!link_state.command_in_flight) {
        return;
    } else if (link_state.current.report) {
        link_state.current.session = ++link_state.session;
    }
    link_state.current.epoch = shard_owner.epoch;
    link_state.current.lease = lease;
    link_state.current.answered = link_state.answered;
    commands_.push_back({.owner = index, .worker = worker, .command = link_state.current});
    drain_actions(index);
    check_lost(index, worker);
}

void cell_model::check_lost(std::size_t index, std::size_t worker)
{
    auto& shard_owner = owners_[index];
    auto& link_state = shard_owner.links[worker];
    if (!link_state.fenced || link_state.lost || time_ - link_state.last_contact < loss_timeout) {
        return;
    }
    link_state.lost = true;
    link_state.needs_report = true;
    link_state.accepts_starts = false;
    link_state.command_in_flight = false;
    fail_starts(shard_owner, worker, std::exchange(link_state.pending, {}).starts, "unreachable");
    shard_owner.state->on_worker_lost(address(worker), time_);
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

void cell_model::drop_answer(std::size_t index)
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
    drop_answer(index);
    auto& shard_owner = owners_[message.owner];
    auto& link_state = shard_owner.links[message.worker];
    const bool expected = link_state.command_in_flight &&
                          link_state.current.report == message.command.report &&
                          link_state.current.session == message.command.session;
    if (shard_owner.lost_ownership || !expected) {
        return;
    }
    const bool same_starts = link_state.current.starts.size() == message.command.starts.size() &&
                             std::ranges::equal(link_state.current.starts, message.command.starts,
                                                {}, &task_start::task_id, &task_start::task_id);
    if (!same_starts) {
        return;
    }
    link_state.command_in_flight = false;
    if (message.answer.accepted) {
        link_state.last_contact = time_;
        link_state.answered = std::max(link_state.answered, message.answer.contact);
    }
    if (!message.answer.accepted) {
        link_state.needs_report = true;
        link_state.accepts_starts = false;
        if (message.answer.reason == "stale_epoch") {
            shard_owner.lost_ownership = true;
            shard_owner.state->abandon();
        }
    } else if (link_state.current.report) {
        link_state.needs_report = false;
        link_state.answered = message.answer.contact;
        link_state.lost = false;
        link_state.fenced = true;
        link_state.incarnation = message.answer.incarnation;
        link_state.last_event = message.answer.last_event;
        shard_owner.state->on_report(address(message.worker), message.answer, time_);
        link_state.accepts_starts = true;
    } else {
        for (const auto& result : message.answer.results) {
            if (result.started) {
                shard_owner.state->on_start_result(address(message.worker), result, time_);
            }
            link_state.needs_report |= !result.started;
        }
        link_state.accepts_starts = !link_state.needs_report;
    }
    drain_actions(message.owner);
}

void cell_model::poll(std::size_t index, std::size_t worker)
{
    auto& shard_owner = owners_[index];
    auto& link_state = shard_owner.links[worker];
    if (shard_owner.lost_ownership || link_state.needs_report) {
        return;
    }
    const auto batch = workers_[worker].poll({.epoch = shard_owner.epoch,
                                              .session = link_state.session,
                                              .after = link_state.last_event,
                                              .lease = lease,
                                              .answered = link_state.answered},
                                             time_, wall());
    if (!batch.accepted || batch.incarnation != link_state.incarnation) {
        link_state.needs_report = true;
        link_state.accepts_starts = false;
        return;
    }
    link_state.last_contact = time_;
    link_state.answered = std::max(link_state.answered, batch.contact);
    for (const auto& event : batch.events) {
        link_state.last_event = event.sequence;
        shard_owner.state->on_event(address(worker), event, time_);
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
        if (!owners_[i].lost_ownership) {
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
    auto& shard_owner = owners_[index];
    if (shard_owner.lost_ownership) {
        return;
    }
    auto record = shard_owner.state->make_journal(wall());
    if (shard_owner.epoch != journal_.epoch) {
        shard_owner.lost_ownership = true;
        shard_owner.state->abandon();
        drain_actions(index);
        return;
    }
    journal_ = std::move(record);
    shard_owner.state->on_journal_written(journal_.sequence, time_);
    drain_actions(index);
}

void cell_model::restart_worker(std::size_t worker)
{
    auto& restarted = workers_[worker];
    for (auto entry : restarted.ledger()) {
        entry.ended_ms = entry.ended_ms == 0 ? wall().count() : entry.ended_ms;
        entry.state = entry.state == "running" ? "died" : entry.state;
        earlier_runs_.push_back(entry);
    }
    restarted = standin::worker_model({.incarnation = "restart" + std::to_string(++restarts_),
                                       .capacity = worker_shape,
                                       .check_epoch = options_.check_epoch,
                                       .check_session = options_.check_session});
}

void cell_model::run_until_settled()
{
    const auto newest = owners_.size() - 1;
    for (int round = 0; round < 400; ++round) {
        write_journal(newest);
        for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
            send_command(newest, worker);
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
    add(earlier_runs_);
    for (const auto& worker : workers_) {
        add(worker.ledger());
    }
    return runs;
}

std::string cell_model::violation() const
{
    if (!violation_.empty()) {
        return violation_;
    }
    std::map<std::string, resources> reserved;
    std::set<std::string> running;
    for (const auto& worker : workers_) {
        if (!fits(worker.used(), worker.capacity())) {
            return "the tasks of a worker exceed its capacity";
        }
        if (worker.counts().refused_capacity > 0) {
            return "a worker had to refuse a start for lack of capacity";
        }
        for (const auto& task : worker.running()) {
            reserved[task.customer] += task.size;
            if (!running.insert(task.request_id + "/" + std::to_string(task.index)).second) {
                return "a task runs twice at the same time: " + task.request_id;
            }
        }
    }
    for (const auto& [customer, amount] : reserved) {
        if (!fits(amount, contracts_.find(customer)->ceiling)) {
            return customer + " exceeds its ceiling: " + to_json(amount);
        }
    }
    for (const auto& [id, request] : requests_) {
        const auto runs = runs_of(request.request_id);
        if (request.answered_not_run > 0 && !request.resubmitted && !runs.empty()) {
            return "answered not_run and started afterwards: " + request.request_id;
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
