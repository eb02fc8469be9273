#pragma once

#include "flamingoseam/workflow/permission_queue.hpp"
#include "flamingoseam/workflow/workflow_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flamingoseam::workflow {

/// How large the deployment of a permission_play is.
struct permission_play_options {
    std::size_t workers = 48;
    std::size_t lanes = 8;
    std::int64_t milli_cpus = 64'000; ///< Of one worker.
    double permitted_share = 0.3;     ///< Of the workers, for each step.
};

/// An owner with its workers and its lanes to the permission service, in simulated time.
class permission_play {
public:
    explicit permission_play(permission_play_options options = {});

    /// Submits a job whose tasks run for so long.
    void submit(const job_spec& spec, const queue_terms& terms, milliseconds length);

    void cancel(const std::string& id);

    /// Lets time pass.
    void play(milliseconds length);

    /// Tells whether a job was refused.
    [[nodiscard]] bool refused(const std::string& id) const { return submitted_.at(id).refused; }

    [[nodiscard]] time_point time() const { return time_; }
    [[nodiscard]] int requests_out() const { return requests_out_; }
    [[nodiscard]] int answered() const { return answered_; }

    /// Tells whether nothing runs on a worker.
    [[nodiscard]] bool is_idle(std::size_t worker) const;

    /// Tells whether the service lets a job's steps run on a worker.
    [[nodiscard]] bool is_permitted(const std::string& id, std::size_t worker) const;

    /// Returns how many calls the service has answered for a job.
    [[nodiscard]] int answered(const std::string& id) const;

    /// Returns when a job's first task was started, none when it still waits.
    [[nodiscard]] std::optional<time_point> begun(const std::string& id) const;

    /// Returns how long a job waited for its first start, or waits already.
    [[nodiscard]] milliseconds waited(const std::string& id) const;

    /// Returns how long a job waited for the first answer about permission, or waits already.
    [[nodiscard]] milliseconds unanswered(const std::string& id) const;

private:
    struct call {
        time_point end;
        permission_request request;
    };
    struct submitted_job {
        time_point time{};
        milliseconds length{0}; ///< Of each task.
        std::optional<time_point> first_answer;
        int answered = 0;
        bool refused = false;
    };

    void pump();
    void end_runs();
    void answer();
    void store();
    [[nodiscard]] std::vector<ticket_grant> grants_of(const permission_request& request) const;
    [[nodiscard]] milliseconds since_submitted(const std::string& id,
                                               std::optional<time_point> until) const;

    permission_play_options options_;
    workflow_state state_{{.epoch = 2}};
    permission_queue queue_;
    time_point time_{std::chrono::hours(1)};
    std::vector<call> calls_;
    int answered_ = 0;
    int requests_out_ = 0;         ///< As the owner knows them.
    std::vector<std::string> ids_; ///< Of the submitted jobs, in their order.
    std::map<std::string, submitted_job> submitted_;
    std::map<std::string, time_point> begun_;
    std::vector<std::pair<time_point, start_order>> running_; ///< By when they end.
    std::map<std::size_t, std::int64_t> last_end_;
};

} // namespace flamingoseam::workflow
