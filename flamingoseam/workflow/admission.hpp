#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/workflow/recent_ids.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// An amount of work: the number of tasks to start, and the processor time that they use.
struct work_amount {
    double tasks = 0;
    double processor_seconds = 0;

    work_amount& operator+=(const work_amount& other)
    {
        tasks += other.tasks;
        processor_seconds += other.processor_seconds;
        return *this;
    }
};

/// Amounts of work started during the last seconds, in slots of 250 ms.
class start_meter {
public:
    /// Records work that was started. Complexity: constant.
    void record(const work_amount& amount, time_point time);

    /// Returns the sum of the work started since `span` before `time`, in whole slots of 250 ms.
    [[nodiscard]] work_amount sum(milliseconds span, time_point time) const;

private:
    /// Work started in each slot, by slot number.
    std::deque<std::pair<std::int64_t, work_amount>> slots_;
};

/// Work that waits for capacity together: of one service, either the gangs of one priority or all
/// work that is no gang. Gangs wait until several workers have capacity at the same time, so that
/// the start rate of other work says little about them, nor theirs about it.
struct work_class {
    std::string service;
    std::optional<int> gang_priority = {};

    auto operator<=>(const work_class&) const = default;
};

/// Admission request for a new job.
struct admission_request {
    std::string service;
    bool has_gang = false;
    int priority = 0;
    work_amount work;
    milliseconds slack{0};      ///< Longest wait after which the job still completes on time.
    milliseconds late_slack{0}; ///< Longest wait after which the result is still of use.
};

/// Decision on whether to admit a new job.
struct admission_decision {
    bool is_accepted = true;          ///< False if the job can't be served in time.
    milliseconds retry_after{0};      ///< Delay after which a retry is likely to be accepted.
    std::string reason = {};          ///< Why the job is refused.
    milliseconds wait{0};             ///< Expected wait of a refused job.
    double obsolete_gang_workers = 0; ///< Empty workers that obsolete gangs need.
    double workers = 0;               ///< Workers of the service.
};

/// Waiting work of one class, priority and lateness.
struct waiting_work {
    work_class kind;
    int priority = 0;
    work_amount amount;
    bool late = false; ///< The work can't be on time any more, but is still of use.
    milliseconds waited{0};
};

/// Decides whether a new job can still be served in time, from the waiting work and the start rate
/// of the last seconds. A job is refused only if its result would certainly come too late to be of
/// use: without a backlog that has persisted for a while, or without a measured start rate, every
/// job is accepted.
class admission {
public:
    /// Resets the waiting work before it is recorded again. Must be called several times a second.
    void begin_sample(time_point time);

    /// Records the workers of a service, and the empty workers that those of its waiting gangs need
    /// that are too late to be of use. Complexity: logarithmic.
    void record_obsolete_gangs(const std::string& service, double needed_workers, double workers);

    /// Records waiting work. Work that is already too late to be of use must be left out.
    /// Complexity: logarithmic.
    void record_waiting(const waiting_work& work);

    /// Records that work of a priority was started. Complexity: logarithmic.
    void record_started(const work_class& kind, int priority, const work_amount& amount, bool late,
                        time_point time);

    /// Decides whether to admit a new job. While many gangs are too late to be of use, one with a
    /// gang must be able to start in time after the gangs of its priority as well. The work of an
    /// accepted job counts as waiting from now on. Complexity: linear in the number of priorities
    /// of the service.
    admission_decision decide(const admission_request& request, time_point time);

    /// Records that a job was refused. Its caller may submit it again.
    void record_refused(const std::string& job, time_point time) { refused_.record(job, time); }

    /// Returns the time of the first recorded refusal of a job, or `time` if no refusal of it is
    /// recorded or the record has expired.
    [[nodiscard]] time_point first_submission(const std::string& job, time_point time) const;

private:
    /// Waiting and started work of one priority.
    struct priority_level {
        work_amount on_time;
        work_amount late;
        /// Tasks of both kinds that have waited for at least `min_backlog_age`.
        double aged_tasks = 0;
        start_meter started;
        start_meter started_late;
    };
    struct work_pool {
        std::map<int, priority_level> levels; ///< Work levels by priority.
        std::optional<time_point> first_start;
        milliseconds longest_span{0}; ///< For which the start rate is measured.
        /// Since then, each sample had late work that waited.
        std::optional<time_point> late_since;
        time_point next_retry{};
    };
    /// The gangs of a service that are too late to be of use.
    struct obsolete_gangs {
        double needed_workers = 0; ///< Empty workers that they need.
        double workers = 0;        ///< Workers of the service.

        /// Checks whether they need more than a multiple of the workers.
        [[nodiscard]] bool exceed(double fills) const { return needed_workers > fills * workers; }
    };
    /// What is expected of a new job that waits with the work of one class.
    struct expectation {
        bool is_on_time = true;
        bool is_of_use = true;
        milliseconds wait{0}; ///< Known if the job is not on time.
    };
    using meter = start_meter priority_level::*;

    work_pool& pool_of(const work_class& kind);
    static work_amount rate(const work_pool& pool, meter measured_work, int most_urgent_up_to,
                            time_point measured_since, time_point time);
    static milliseconds wait_on_time(const work_pool& pool, int priority, time_point time);
    static milliseconds wait_late(const work_pool& pool, int priority, time_point time);
    static bool has_backlog(const work_pool& pool);
    static expectation expect(const work_pool& pool, const admission_request& request,
                              time_point time);
    admission_decision refuse(work_pool& pool, const admission_request& request, milliseconds wait,
                              const std::string& reason, time_point time);
    static milliseconds next_retry(work_pool& pool, const admission_request& request,
                                   milliseconds wait, time_point time);

    static constexpr milliseconds refusal_retention{30'000};
    static constexpr std::size_t max_refusals = 20'000;

    std::map<work_class, work_pool> pools_;
    std::map<std::string, obsolete_gangs> obsolete_gangs_; ///< By service.
    recent_ids refused_{refusal_retention, max_refusals};
};

} // namespace flamingoseam::workflow
