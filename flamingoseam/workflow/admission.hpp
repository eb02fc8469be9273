#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace flamingoseam::workflow {

/// An amount of work: tasks cost starts, their run time costs room.
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

/// Sums of what was started, by quarters of a second of the last seconds.
class start_meter {
public:
    /// Takes in what was started. Complexity: constant.
    void note(const work_amount& amount, time_point time);

    /// Returns what was started since `span` before `time`, in whole quarters of a second.
    [[nodiscard]] work_amount sum(milliseconds span, time_point time) const;

private:
    std::deque<std::pair<std::int64_t, work_amount>> slots_; ///< By number of the quarter.
};

/// What a new job asks for.
struct admission_request {
    std::string service;
    int priority = 0;
    work_amount work;
    milliseconds slack{0};      ///< How long it can wait and be on time.
    milliseconds late_slack{0}; ///< How long it can wait and still be of use.
};

/// What becomes of a new job.
struct admission_verdict {
    bool is_accepted = true;     ///< False when it can't be served in time.
    milliseconds retry_after{0}; ///< When a repeat of a refused job is likely to be accepted.
};

/// Steps that wait and are alike for the order of work.
struct waiting_work {
    std::string service;
    int priority = 0;
    work_amount amount;
    bool late = false; ///< It can't be on time any more, but still be of use.
    milliseconds waited{0};
};

/// Decides from what waits and from what was started in the last seconds whether a new job can
/// still be served in time. It refuses only what is known to be hopeless: without a backlog that
/// has stood for a while, or without a measured rate, everything is accepted.
class admission {
public:
    /// Forgets what waits, before it is told anew. To be called several times a second.
    void begin_look(time_point time);

    /// Takes in work that waits, without what is hopeless already. Complexity: logarithmic.
    void note_waiting(const waiting_work& work);

    /// Takes in that work of some priority was started. Complexity: logarithmic.
    void note_started(const std::string& service, int priority, const work_amount& amount,
                      bool late, time_point time);

    /// Decides about a new job; what is accepted counts as waiting from now on. Complexity: linear
    /// in the priorities of the service.
    admission_verdict decide(const admission_request& request, time_point time);

    /// Remembers a caller who was refused and may come back.
    void note_refused(const std::string& job, time_point time);

    /// Returns when a caller first asked for a job, as far as that is remembered.
    [[nodiscard]] time_point first_asked(const std::string& job, time_point time) const;

private:
    /// The work of one priority.
    struct level {
        work_amount on_time;
        work_amount late;
        double old_tasks = 0; ///< Of both, those that have waited for a while.
        start_meter started;
        start_meter started_late;
    };
    struct pool {
        std::map<int, level> levels; ///< By priority.
        std::optional<time_point> first_start;
        std::optional<time_point> late_since; ///< Late work has waited at every look since then.
        time_point next_return{};
    };
    using meter = start_meter level::*;

    void forget_refused(time_point time);

    static work_amount rate(const pool& one, meter which, int most_urgent_up_to,
                            time_point measured_since, time_point time);
    static milliseconds wait_on_time(const pool& one, int priority, time_point time);
    static milliseconds wait_late(const pool& one, int priority, time_point time);
    static bool is_backlog(const pool& one);
    static milliseconds next_return(pool& one, const admission_request& request, milliseconds wait,
                                    time_point time);

    std::map<std::string, pool> pools_; ///< By service.
    std::unordered_map<std::string, time_point> refused_;
    std::deque<std::pair<time_point, std::string>> refused_by_age_;
};

} // namespace flamingoseam::workflow
