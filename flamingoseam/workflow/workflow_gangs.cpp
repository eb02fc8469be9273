#include "flamingoseam/workflow/placing.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <algorithm>
#include <tuple>

namespace flamingoseam::workflow {

using detail::is_waiting_for_rack;
using detail::ticket_use_margin;

namespace {

constexpr milliseconds ticket_hold{1'500}; ///< Length of a reservation while tickets are requested.
constexpr milliseconds run_ahead_margin{150}; ///< Tickets are requested this long ahead.

} // namespace

std::optional<std::vector<workflow_state::place>>
workflow_state::choose_for_gang(const ready_step& step, const std::vector<candidate>& candidates,
                                time_point time) const
{
    const int needed = step.record().waiting();
    const auto& spec = step.spec();
    const auto choose = [&](const auto& is_offered) -> std::optional<std::vector<place>> {
        std::vector<const candidate*> offered;
        for (const auto& one : candidates) {
            if (is_offered(one)) {
                offered.push_back(&one);
            }
        }
        std::sort(offered.begin(), offered.end(), [](const auto* left, const auto* right) {
            return std::tie(left->is_held, right->fits, left->worker) <
                   std::tie(right->is_held, left->fits, right->worker);
        });
        std::vector<place> places;
        int left = needed;
        for (const auto* one : offered) {
            const int tasks = std::min(left, one->fits);
            if (tasks > 0) {
                places.push_back({one->worker, tasks});
                left -= tasks;
            }
        }
        return left == 0 ? std::optional(std::move(places)) : std::nullopt;
    };
    const bool wants_rack = spec.same_rack || !spec.preferred_rack.empty();
    if (!wants_rack) {
        return choose([](const candidate&) { return true; });
    }
    std::set<std::string> racks;
    for (const auto& one : candidates) {
        const auto& rack = fleet_.at(one.worker).entry.rack;
        if (spec.preferred_rack.empty() || spec.preferred_rack == rack) {
            racks.insert(rack);
        }
    }
    for (const auto& rack : racks) {
        auto places =
            choose([&](const candidate& one) { return fleet_.at(one.worker).entry.rack == rack; });
        if (places) {
            return places;
        }
    }
    if (is_waiting_for_rack(step, time)) {
        return std::nullopt;
    }
    return choose([](const candidate&) { return true; });
}

void workflow_state::place_gang(const ready_step& step, time_point time)
{
    auto candidates = find_candidates(step, time);
    const bool needs_ticket = step.job->terms.permission.has_value();
    auto with_ticket = candidates;
    if (needs_ticket) {
        std::erase_if(with_ticket, [](const candidate& one) { return one.ticket == nullptr; });
    }
    if (const auto places = choose_for_gang(step, with_ticket, time)) {
        start_gang(step, *places, time);
        return;
    }
    if (!needs_ticket) {
        hold_for_gang(step, time);
        return;
    }
    if (const auto places = choose_for_gang(step, candidates, time)) {
        const auto service = step.job->terms.permission->service_time(places->size());
        std::vector<std::size_t> lapsed;
        gang_hold hold{.job = step.job->spec.id,
                       .step = step.step,
                       .priority = step.job->terms.priority,
                       .workers = {},
                       .expected = time + ticket_hold,
                       .expires = time + ticket_hold};
        for (const auto& place : *places) {
            hold.workers.insert(place.worker);
            const auto needed = time + service + ticket_use_margin;
            if (step.record().permission.find_ticket(place.worker, needed) == nullptr) {
                lapsed.push_back(place.worker);
            }
        }
        if (ask_permission(step, std::move(lapsed), time)) {
            holds_.drop(hold.job, hold.step);
            holds_.add(std::move(hold));
        }
        return;
    }
    hold_for_gang(step, time);
    ask_about_unasked(step, time);
}

void workflow_state::hold_for_gang(const ready_step& step, time_point time)
{
    const auto* hold = holds_.of_step(step.job->spec.id, step.step);
    const auto& permission = step.record().permission;
    const bool needs_permission = step.job->terms.permission.has_value();
    if (hold == nullptr) {
        if (holds_.is_full()) {
            return;
        }
        auto& record = step.record();
        if (record.next_plan > time) {
            return;
        }
        auto planned = plan_hold(step, time);
        if (!planned) {
            record.next_plan = time + pause_after_vain_search();
            return;
        }
        holds_.add(std::move(*planned));
        hold = holds_.of_step(step.job->spec.id, step.step);
    }
    if (!needs_permission) {
        make_room(step, *hold, time);
        return;
    }
    std::vector<std::size_t> lapsed;
    for (const auto worker : hold->workers) {
        if (permission.find_ticket(worker, hold->expected + ticket_use_margin) == nullptr) {
            lapsed.push_back(worker);
        }
    }
    const auto service = step.job->terms.permission->service_time(lapsed.size());
    if (lapsed.empty()) {
        make_room(step, *hold, time);
    } else if (hold->expected <= time + service + run_ahead_margin) {
        ask_permission(step, std::move(lapsed), time);
    }
}

void workflow_state::start_gang(const ready_step& step, const std::vector<place>& places,
                                time_point time)
{
    auto& record = step.record();
    std::int64_t run = 0;
    for (int index = 0; index < static_cast<int>(record.tasks.size()); ++index) {
        run = std::max(run, next_run(record, index));
    }
    record.gang_run = run;
    int index = 0;
    for (const auto& place : places) {
        for (int count = 0; count < place.tasks; ++count) {
            start_task(step, index++, place.worker, run, time);
        }
    }
    note_placed(step, index, time);
    holds_.drop(step.job->spec.id, step.step);
}

} // namespace flamingoseam::workflow
