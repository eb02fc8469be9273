#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>

namespace flamingoseam::workflow {

namespace {

constexpr std::size_t max_assignments_per_batch = 20;
/// Assumed share of the workers that may run a step, if the ones asked about suggest less.
constexpr double min_eligible_share = 0.1;

} // namespace

/// Checks whether a worker can be used and neither has runs nor is reserved for a gang.
bool workflow_state::is_idle(std::size_t worker, time_point time) const
{
    const auto& state = fleet_.at(worker);
    return state.is_usable(time) && state.runs.empty() &&
           gang_reservations_.on_worker(worker) == nullptr;
}

/// Checks whether nothing of this owner can take place on the worker any more: the results of all
/// its runs are stored, and no order is on the way that a later incarnation might execute.
bool workflow_state::can_release(std::size_t worker, time_point time) const
{
    const auto& state = fleet_.at(worker);
    return is_idle(worker, time) && state.unacknowledged_ends.empty() &&
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
            stock.idle += is_idle(worker, time) ? 1 : 0;
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

/// Returns a waiting step as one that starves for workers, none if it waits for something else.
std::optional<starved_step> workflow_state::as_starved(const ready_step& step,
                                                       time_point time) const
{
    const auto& record = step.record();
    const bool needs_permission = step.job->terms.permission.has_value();
    const bool waits_for_answer = needs_permission && !record.permission.has_answer();
    if (record.waits_since == time_point{} || record.not_before > time || waits_for_answer) {
        return std::nullopt;
    }
    const double permitted = needs_permission ? record.permission.permitted_share() : 1;
    return starved_step{
        .service = step.job->terms.service,
        .tasks = record.waiting(),
        .tasks_per_worker = detail::fits_in(step.spec(), fleet_.at(0).entry.capacity),
        .eligible_share = std::max(min_eligible_share, permitted * labelled_share(step, time)),
        .gang = step.spec().gang,
        .accepted = step.job->accepted,
        .waits = time - record.waits_since};
}

std::vector<starved_step> workflow_state::starved_steps(time_point time)
{
    std::vector<starved_step> steps;
    if (fleet_.size() == 0) {
        return steps;
    }
    for (const auto& entry : ready_.in_order()) {
        ++counts_.examined;
        if (const auto step = as_starved(entry.step, time)) {
            steps.push_back(*step);
        }
    }
    return steps;
}

std::optional<worker_request> workflow_state::find_worker_request(time_point time)
{
    if (lending_limits_.shards <= 1 || !store_available_) {
        return std::nullopt;
    }
    auto steps = starved_steps(time);
    if (steps.empty()) {
        return std::nullopt;
    }
    const auto oldest = std::ranges::min_element(steps, {}, &starved_step::accepted);
    const auto service = oldest->service;
    std::erase_if(steps, [&](const starved_step& step) { return step.service != service; });
    return request_workers(steps, stock_of(service, time), lending_limits_);
}

std::size_t workflow_state::lend_workers(const worker_request& request, time_point time)
{
    if (lending_limits_.shards <= 1 || !store_available_ ||
        request.shard == lending_limits_.shard) {
        return 0;
    }
    const auto stock = stock_of(request.service, time);
    std::optional<wall_time> own_oldest;
    for (const auto& step : starved_steps(time)) {
        const bool competes = step.service == request.service && may_borrow(step, stock);
        if (competes && (!own_oldest || step.accepted < *own_oldest)) {
            own_oldest = step.accepted;
        }
    }
    const auto wanted = workers_to_lend(request, stock, own_oldest, lending_limits_);
    std::size_t lent = 0;
    for (std::size_t worker = 0; worker < fleet_.size() && lent < wanted; ++worker) {
        if (fleet_.at(worker).entry.service == request.service && can_release(worker, time)) {
            release_worker(worker, request.shard);
            ++lent;
        }
    }
    if (lent > 0) {
        log_decision("workers_lent", "", "to shard " + std::to_string(request.shard),
                     {{"workers", static_cast<std::int64_t>(lent)},
                      {"wanted", static_cast<std::int64_t>(request.workers)}});
    }
    return lent;
}

/// Ends the use of a worker by this owner. The other shard's owner gets a higher fencing token for
/// it than any owner of this shard had.
void workflow_state::release_worker(std::size_t worker, std::size_t shard)
{
    auto& state = fleet_.at(worker);
    state.released_base = state.entry.token_base + options_.epoch;
    state.listed = false;
    state.reported = false;
    state.lease_stored = false;
    state.ruled_out.clear();
    leased_workers_.erase(worker);
    leased_workers_changed_ = true;
    assignments_[state.entry.id] = {.shard = shard, .token_base = state.released_base};
    actions_.released_workers.push_back(worker);
    ++counts_.lent_workers;
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
