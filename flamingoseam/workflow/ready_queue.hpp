#pragma once

#include "flamingoseam/workflow/work_order.hpp"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// The steps that are ready to run and have tasks to place, in scheduling order. The cost of a
/// change depends on the number of steps of its job, not on the number of waiting steps.
class ready_queue {
public:
    /// A step and its rank. It can be compared even after its job has been deleted.
    struct entry {
        work_rank rank;
        /// Sequence number of the job; lower numbers are scheduled first.
        std::uint64_t sequence = 0;
        ready_step step;

        bool operator<(const entry& other) const;
    };

    explicit ready_queue(step_ranking ranking) : ranking_(std::move(ranking)) {}

    /// Marks a job as changed, so that the next refresh ranks its steps again. Complexity:
    /// constant.
    void mark_changed(job_record& job);

    /// Removes the steps of a job; must be called before the job is deleted. Complexity:
    /// logarithmic.
    void drop(job_record& job);

    /// Updates the order for jobs that were marked as changed and for jobs whose rank has expired
    /// because they became late. Complexity: logarithmic for each such job.
    void refresh(time_point time);

    /// Checks whether a step is queued, as of the last refresh. Complexity: linear in the steps of
    /// the job.
    [[nodiscard]] bool contains(const job_record& job, int step) const;

    /// Returns the steps in scheduling order, as of the last refresh.
    [[nodiscard]] const std::set<entry>& in_order() const { return order_; }

private:
    struct job_entries {
        std::vector<entry> entries;
        time_point ranked_until{};
    };

    void insert(job_record& job, time_point time);
    void erase(job_record& job);

    step_ranking ranking_;
    std::set<entry> order_;
    std::unordered_map<const job_record*, job_entries> by_job_;
    std::set<std::pair<time_point, job_record*>>
        ranked_until_; ///< When the ranks of each job expire.
    std::unordered_set<job_record*> changed_;
};

} // namespace flamingoseam::workflow
