#pragma once

#include "flamingoseam/workflow/work_order.hpp"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// The steps whose turn has come and that have tasks to place, kept in the order of work. A change
/// costs as much as its job has steps, however many others wait.
class ready_queue {
public:
    /// A step and its place in the order; it can be compared after its job is gone.
    struct entry {
        work_rank rank;
        std::uint64_t sequence = 0; ///< Of the job; the earlier one goes first.
        ready_step step;

        bool operator<(const entry& other) const;
    };

    explicit ready_queue(step_ranking ranking) : ranking_(std::move(ranking)) {}

    /// Takes note that a job or its steps have changed. Complexity: constant.
    void note_changed(job_record& job);

    /// Removes a job's steps; to be called before the job ends. Complexity: logarithmic.
    void drop(job_record& job);

    /// Brings the order up to date with what has changed and with what is late by now.
    /// Complexity: logarithmic for each such job.
    void refresh(time_point time);

    /// Returns the steps in their order, as of the last refresh.
    [[nodiscard]] const std::set<entry>& in_order() const { return order_; }

private:
    struct job_entries {
        std::vector<entry> entries;
        time_point ranked_until{};
    };

    void put(job_record& job, time_point time);
    void erase(job_record& job);

    step_ranking ranking_;
    std::set<entry> order_;
    std::unordered_map<const job_record*, job_entries> by_job_;
    std::set<std::pair<time_point, job_record*>>
        ranked_until_; ///< When ranks change by themselves.
    std::unordered_set<job_record*> changed_;
};

} // namespace flamingoseam::workflow
