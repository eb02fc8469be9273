#include "flamingoseam/node/load_meter.hpp"

#include <algorithm>
#include <functional>

namespace flamingoseam::node {

namespace {

constexpr milliseconds interval{1'000};

duty_times difference(const duty_times& newer, const duty_times& older)
{
    duty_times result{};
    std::ranges::transform(newer, older, result.begin(), std::minus<>());
    return result;
}

} // namespace

processor_times read_processor_times()
{
    return {
        .thread = read_thread_time(), .process = read_process_time(), .duties = read_duty_times()};
}

void change_ages::record(std::uint64_t newest, time_point time)
{
    if (newest_.empty() || newest_.back().first < newest) {
        newest_.emplace_back(newest, time);
    }
}

time_point::duration change_ages::age_of(std::optional<std::uint64_t> change, time_point time)
{
    if (!change) {
        newest_.clear();
        return {};
    }
    while (!newest_.empty() && newest_.front().first < *change) {
        newest_.pop_front();
    }
    return newest_.empty() ? time_point::duration{} : time - newest_.front().second;
}

load_meter::load_meter(time_point time, processor_times processor)
    : interval_start_(time), processor_(processor)
{
}

void load_meter::record_step(const step_times& times)
{
    ++load_.steps;
    load_.max_wait = std::max(load_.max_wait, times.waited);
    load_.max_queued = std::max(load_.max_queued, times.queued);
    load_.step_time += times.took;
}

void load_meter::record_decisions(const decision_times& times)
{
    load_.decision_time += times.decision_time;
    load_.dispatch_time += times.dispatch_time;
    load_.starts += times.starts;
}

void load_meter::record_transaction(std::size_t records)
{
    ++load_.transactions;
    load_.records += records;
}

bool load_meter::is_due(time_point time) const
{
    return time - interval_start_ >= interval;
}

owner_load load_meter::take(const state_load& state, time_point time, processor_times processor)
{
    auto load = std::exchange(load_, {});
    load.state = state;
    load.state.passes -= previous_.passes;
    load.state.repeated_requests -= previous_.repeated_requests;
    load.state.permissions.calls -= previous_.permissions.calls;
    load.state.permissions.call_time -= previous_.permissions.call_time;
    previous_ = state;
    load.interval = time - std::exchange(interval_start_, time);
    load.processor = {.thread = processor.thread - processor_.thread,
                      .process = processor.process - processor_.process,
                      .duties = difference(processor.duties, processor_.duties)};
    processor_ = processor;
    return load;
}

} // namespace flamingoseam::node
