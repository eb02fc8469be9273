#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

constexpr std::size_t max_assignments_per_batch = 20;
/// Assumed share of the workers that may run a step, if the ones asked about suggest less.
constexpr double min_eligible_share = 0.1;
/// Work that has waited for less is usually placed by one of the next passes.
constexpr milliseconds min_wait{250};
/// Work that has waited for longer is not expected to find room on workers that are in use or that
/// were not asked about.
constexpr milliseconds max_wait_for_own{10'000};
/// A worker that is not idle by then is used again.
constexpr milliseconds max_drain_time{4'000};

} // namespace

/// Checks whether a worker neither has runs nor is reserved for a gang.
bool workflow_state::is_idle(std::size_t worker) const
{
    return fleet_.at(worker).runs.empty() && gang_reservations_.on_worker(worker) == nullptr;
}

/// Checks whether nothing of this owner can take place on the worker any more: the results of all
/// its runs are stored, and no order is on the way that a later incarnation might execute.
bool workflow_state::can_release(std::size_t worker, time_point time) const
{
    const auto& state = fleet_.at(worker);
    return state.is_held() && is_located(worker) && is_idle(worker) && !state.has_results() &&
           std::ranges::all_of(state.ruled_out, [time](const auto& entry) {
               return time - entry.second.second >= detail::max_order_delay;
           });
}

worker_stock workflow_state::stock_of(const std::string& service, time_point time) const
{
    worker_stock stock;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& state = fleet_.at(worker);
        if (state.entry.service == service && state.is_usable(time)) {
            ++stock.workers;
            stock.idle += is_idle(worker) ? 1 : 0;
            stock.filled += std::min(1.0, dominant_share(state.used, state.entry.capacity));
        }
    }
    return stock;
}

/// Returns the share of the usable workers of a step's service that have the label it requires.
double workflow_state::labelled_share(const ready_step& step, time_point time) const
{
    if (step.spec().label.empty()) {
        return 1;
    }
    std::size_t workers = 0;
    std::size_t labelled = 0;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& state = fleet_.at(worker);
        if (state.entry.service == step.job->terms.service && state.is_usable(time)) {
            ++workers;
            labelled += has_label(state.entry, step.spec().label) ? 1 : 0;
        }
    }
    return workers == 0 ? 1 : static_cast<double>(labelled) / static_cast<double>(workers);
}

/// Returns how many tasks of a step find no place on the shard's workers: of a gang all tasks
/// count, otherwise one. At first, workers count as if they were empty, and it returns 0 as long as
/// a worker has not been asked about; later only the room that is free on permitted ones counts.
int workflow_state::stranded_tasks(const ready_step& step, time_point time) const
{
    const bool needs_permission = step.job->terms.permission.has_value();
    if (!needs_permission && step.spec().label.empty()) {
        return 0;
    }
    const bool has_waited_long = time - step.record().waits_since >= max_wait_for_own;
    const int needed = step.needed_places();
    int places = 0;
    for (std::size_t worker = 0; worker < fleet_.size() && places < needed; ++worker) {
        if (!can_run(step, worker, time)) {
            continue;
        }
        if (needs_permission && !has_waited_long &&
            !step.record().permission.has_answer_for(worker)) {
            return 0;
        }
        if (is_permitted(step, worker)) {
            const auto& state = fleet_.at(worker);
            places +=
                detail::fits_in(step.spec(), has_waited_long ? state.free() : state.entry.capacity);
        }
    }
    return std::max(0, needed - places);
}

/// Returns how many tasks of a step fit on an empty worker. As long as the owner knows no worker,
/// and so no capacity, the tasks that wait count as one worker's work: with that worker it knows
/// more.
int workflow_state::tasks_per_worker(const ready_step& step) const
{
    const auto capacity = fleet_.worker_capacity();
    return capacity == resources{} ? step.record().waiting()
                                   : detail::fits_in(step.spec(), capacity);
}

/// Returns the steps of a service with tasks that an earlier owner may have started, which are
/// placed as soon as it is known whether they run. Complexity: linear in the open jobs while there
/// are such tasks.
std::vector<waiting_step> workflow_state::find_unlocated(const std::string& service,
                                                         time_point time) const
{
    std::vector<waiting_step> unlocated;
    if (unreported_.empty() && !awaits_earlier_owner_) {
        return unlocated;
    }
    for (const auto& [sequence, job] : open_) {
        for (std::size_t index = 0; index < job->steps.size(); ++index) {
            const int tasks = job->steps[index].unlocated;
            if (tasks == 0 || job->terms.service != service || !job->are_predecessors_done(index)) {
                continue;
            }
            const ready_step step{job, static_cast<int>(index)};
            unlocated.push_back({.tasks = tasks,
                                 .tasks_per_worker = tasks_per_worker(step),
                                 .gang = step.spec().gang,
                                 .is_obsolete = lateness_of(*job, time) == lateness::obsolete});
        }
    }
    return unlocated;
}

waiting_step workflow_state::as_waiting(const ready_step& step, time_point time) const
{
    const auto& record = step.record();
    const bool has_share = step.job->terms.permission && record.permission.has_answer();
    const double permitted = has_share ? record.permission.permitted_share() : 1;
    return {.tasks = record.waiting(),
            .tasks_per_worker = tasks_per_worker(step),
            .eligible_share = std::max(min_eligible_share, permitted * labelled_share(step, time)),
            .gang = step.spec().gang,
            .is_obsolete = lateness_of(*step.job, time) == lateness::obsolete,
            .stranded_tasks = stranded_tasks(step, time)};
}

/// Returns the demand for workers of one service.
worker_demand workflow_state::demand_for(const std::string& service, const worker_stock& stock,
                                         time_point time)
{
    auto steps = find_unlocated(service, time);
    for (const auto& entry : ready_.in_order()) {
        ++counts_.examined;
        const auto& record = entry.step.record();
        const bool has_waited =
            record.waits_since != time_point{} && time - record.waits_since >= min_wait;
        if (has_waited && entry.step.job->terms.service == service) {
            steps.push_back(as_waiting(entry.step, time));
        }
    }
    const auto demand = demand_of(stock, steps, lending_limits_.of_service(service));
    if (demand.desired > static_cast<double>(stock.workers)) {
        lending_turns_[service].note(lending_limits_.shard, time);
    }
    return demand;
}

/// Returns the step of a service that has waited longest, null if none has waited for long.
const ready_step* workflow_state::find_oldest_waiting(const std::string& service,
                                                      time_point time) const
{
    const ready_step* oldest = nullptr;
    for (const auto& entry : ready_.in_order()) {
        const auto since = entry.step.record().waits_since;
        const bool is_older = oldest == nullptr || since < oldest->record().waits_since;
        if (since != time_point{} && time - since >= min_wait && is_older &&
            entry.step.job->terms.service == service) {
            oldest = &entry.step;
        }
    }
    return oldest;
}

/// Checks whether a worker has not been refused for a step.
bool workflow_state::may_need(const ready_step& step, std::size_t worker) const
{
    return has_label(fleet_.at(worker).entry, step.spec().label) &&
           (is_permitted(step, worker) || !step.record().permission.has_answer_for(worker));
}

/// Returns the workers that can be given to a shard, first those that the oldest waiting step may
/// not use, and of these the ones that it has not had for the longest time.
std::vector<std::size_t> workflow_state::find_lendable(const worker_request& request,
                                                       time_point time)
{
    const auto* step = find_oldest_waiting(request.service, time);
    std::vector<std::tuple<bool, time_point, std::size_t>> found;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& state = fleet_.at(worker);
        if (state.entry.service == request.service && state.is_usable(time) &&
            can_release(worker, time)) {
            const auto lent = lent_at_.find({worker, request.shard});
            found.emplace_back(step != nullptr && may_need(*step, worker),
                               lent == lent_at_.end() ? time_point{} : lent->second, worker);
        }
    }
    std::ranges::sort(found);
    std::vector<std::size_t> workers;
    for (const auto& entry : found) {
        workers.push_back(std::get<std::size_t>(entry));
    }
    return workers;
}

/// Returns how many workers this shard keeps from work beyond the demand of another one: if it
/// wants further ones itself, an equal share, all in its own turn, and none in the turn of the
/// other.
std::size_t workflow_state::held_workers(const worker_request& request, std::size_t workers,
                                         time_point time) const
{
    const auto found = lending_turns_.find(request.service);
    const auto own = lending_limits_.shard;
    if (found == lending_turns_.end() || !found->second.wants(own, time)) {
        return 0;
    }
    const auto holder = found->second.holder(time);
    if (holder == own) {
        return workers;
    }
    const auto limits = lending_limits_.of_service(request.service);
    const auto half_of_both = (workers + request.workers + 1) / 2;
    return holder == request.shard ? 0
                                   : std::min(half_of_both, limits.cell_workers / limits.shards);
}

std::optional<worker_request> workflow_state::find_worker_request(time_point time)
{
    const auto& steps = ready_.in_order();
    if (lending_limits_.shards <= 1 || !store_available_ || steps.empty()) {
        return std::nullopt;
    }
    std::set<std::string> examined;
    std::optional<worker_request> chosen;
    for (const auto& entry : steps) {
        const auto& service = entry.step.job->terms.service;
        if (!examined.insert(service).second) {
            continue;
        }
        auto request = worker_request_for(service, time);
        if (request && (!chosen || borrowed_at_[service] < borrowed_at_[chosen->service])) {
            chosen = std::move(request);
        }
    }
    if (chosen) {
        borrowed_at_[chosen->service] = ++borrowings_;
    }
    return chosen;
}

/// Returns a request for workers of one service, or none if the own ones suffice.
std::optional<worker_request> workflow_state::worker_request_for(const std::string& service,
                                                                 time_point time)
{
    const auto stock = stock_of(service, time);
    const auto demand = demand_for(service, stock, time);
    if (!needs_workers(demand, stock)) {
        return std::nullopt;
    }
    return worker_request{.shard = lending_limits_.shard,
                          .service = service,
                          .workers = stock.workers,
                          .demand = demand};
}

std::size_t workflow_state::lend_workers(const worker_request& request, time_point time)
{
    const bool is_possible = lending_limits_.shards > 1 && store_available_ &&
                             request.shard != lending_limits_.shard && fleet_.size() > 0;
    if (!is_possible) {
        return 0;
    }
    auto stock = stock_of(request.service, time);
    const auto demand = demand_for(request.service, stock, time);
    auto& turns = lending_turns_[request.service];
    if (request.demand.desired > static_cast<double>(request.workers)) {
        turns.note(request.shard, time);
    }
    const bool is_unused = unused_times_[request.service].update(demand, time);
    stock.keeps_none = is_unused || turns.holder(time) == request.shard;
    stock.held = held_workers(request, stock.workers, time);
    const auto decision =
        decide_lending(request, demand, stock, lending_limits_.of_service(request.service));
    std::size_t lent = 0;
    if (decision.idle > 0) {
        for (const auto worker : find_lendable(request, time)) {
            if (lent == decision.idle) {
                break;
            }
            lent_at_[{worker, request.shard}] = time;
            release_worker(worker, request.shard);
            ++lent;
        }
    }
    const auto drained = drain_workers(request, decision.drain, time);
    if (lent + drained > 0) {
        log_decision("workers_lent", "", "to shard " + std::to_string(request.shard),
                     {{"workers", static_cast<std::int64_t>(lent)},
                      {"draining", static_cast<std::int64_t>(drained)},
                      {"own_workers", static_cast<std::int64_t>(stock.workers)},
                      {"own_demand", static_cast<std::int64_t>(demand.total)},
                      {"their_workers", static_cast<std::int64_t>(request.workers)},
                      {"their_demand", static_cast<std::int64_t>(request.demand.total)},
                      {"their_desired", static_cast<std::int64_t>(request.demand.desired)}});
    }
    return lent;
}

/// Starts to drain those workers that have the least to do, and returns their number.
std::size_t workflow_state::drain_workers(const worker_request& request, std::size_t count,
                                          time_point time)
{
    std::vector<std::pair<double, std::size_t>> candidates;
    std::size_t draining = 0;
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        const auto& state = fleet_.at(worker);
        draining += state.drain_until > time ? 1 : 0;
        if (state.entry.service == request.service && state.is_usable(time) &&
            gang_reservations_.on_worker(worker) == nullptr) {
            candidates.emplace_back(dominant_share(state.used, state.entry.capacity), worker);
        }
    }
    std::ranges::sort(candidates);
    const auto more = std::min(count - std::min(count, draining), candidates.size());
    for (std::size_t index = 0; index < more; ++index) {
        auto& state = fleet_.at(candidates[index].second);
        state.drain_until = time + max_drain_time;
        state.drains_for = request.shard;
    }
    return more;
}

/// Releases the drained workers that have become idle.
void workflow_state::release_drained(time_point time)
{
    for (std::size_t worker = 0; worker < fleet_.size(); ++worker) {
        if (fleet_.at(worker).drain_until > time && can_release(worker, time) && store_available_) {
            release_worker(worker, fleet_.at(worker).drains_for);
        }
    }
}

/// Ends the use of a worker by this owner. The other shard's owner gets a higher fencing token for
/// it than any owner of this shard had.
void workflow_state::release_worker(std::size_t worker, std::size_t shard)
{
    auto& state = fleet_.at(worker);
    state.released_base = state.entry.token_base + options_.epoch;
    state.listed = false;
    state.reported = false;
    state.complete_reports = 0;
    state.lease_stored = false;
    state.drain_until = {};
    state.ruled_out.clear();
    leased_workers_.erase(worker);
    leased_workers_changed_ = true;
    assignments_[state.entry.id] = {.shard = shard, .token_base = state.released_base};
    actions_.released_workers.push_back(worker);
}

/// Adds assignments to a batch. They follow the leased workers, which must not contain a worker
/// that belongs to another shard.
void workflow_state::add_assignments(record_batch& batch)
{
    batch_assignments_.clear();
    for (const auto& [worker, assignment] : assignments_) {
        if (batch_assignments_.size() == max_assignments_per_batch) {
            return;
        }
        batch.changes.push_back({options_.keys.assignment(worker), write_assignment(assignment)});
        batch_assignments_.push_back(worker);
    }
}

void workflow_state::on_assignments_stored()
{
    for (const auto& worker : batch_assignments_) {
        log_decision("worker_transferred", "",
                     worker + " to shard " + std::to_string(assignments_.at(worker).shard));
        assignments_.erase(worker);
    }
    batch_assignments_.clear();
    leased_workers_changed_ = leased_workers_changed_ || !assignments_.empty();
}

} // namespace flamingoseam::workflow
