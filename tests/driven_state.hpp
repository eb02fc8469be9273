#pragma once

#include "flamingoseam/workflow/workflow_state.hpp"

namespace flamingoseam::workflow {

inline constexpr wall_time wall{1'000'000};

/// A workflow state with one worker, whose events and time the test controls.
struct driven_state {
    workflow_state state{{.epoch = 2, .streams = 3}};
    time_point time{std::chrono::hours(1)};

    worker_entry worker(std::int64_t milli_cpus = 8'000) const
    {
        return {.id = "w",
                .incarnation = 1,
                .service = "service",
                .address = {"127.0.0.1", 1},
                .capacity = {.milli_cpus = milli_cpus, .memory_mb = 16'000}};
    }

    job_spec job(const std::string& id, std::int64_t milli_cpus, int tasks = 1) const
    {
        return {.id = id,
                .queue = "queue",
                .payload = {},
                .steps = {{.tasks = tasks,
                           .size = {.milli_cpus = milli_cpus, .memory_mb = 1},
                           .estimate = milliseconds(1'000)}}};
    }

    queue_terms terms() const
    {
        return {.name = "queue",
                .service = "service",
                .max_attempts = 2,
                .stretch = 2,
                .target = milliseconds(500)};
    }

    /// Delivers a worker list and twice a report of the same incarnation, and commits the pending
    /// changes, so that the worker accepts tasks and it is certain which runs it holds.
    void make_usable(const worker_report& report = {.incarnation = 1})
    {
        auto entry = worker();
        entry.incarnation = report.incarnation;
        state.on_worker_list({entry}, time);
        for (int count = 0; count < reports_until_certain; ++count) {
            state.on_report(0, report, time, wall);
        }
        store();
    }

    void store()
    {
        while (state.should_write(0, time)) {
            state.take_batch(0, 30, time);
            state.on_stored(0);
        }
    }

    void submit_unstored(const job_spec& spec) { state.submit(1, spec, terms(), time, wall); }

    void submit(const job_spec& spec)
    {
        submit_unstored(spec);
        store();
    }

    workflow_actions next(milliseconds elapsed = milliseconds(60))
    {
        time += elapsed;
        state.tick(time);
        return state.take_actions();
    }
};

} // namespace flamingoseam::workflow
