#pragma once

#include "flamingoseam/workflow/workflow_state.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam::model {

/// What happens in a modelled day, and which protections are switched off to show that they count.
struct workflow_model_options {
    std::uint64_t seed = 1;
    int workers = 6;
    int jobs = 30;
    milliseconds load_time{6'000};   ///< Jobs come and faults happen within this.
    double lost_answer_share = 0.05; ///< Of orders: the answer is lost.
    double late_order_share = 0.02;  ///< Of orders: carried out seconds later, unanswered.
    double repeated_order_share =
        0.05; ///< Of starts: delivered twice, only the second is answered.
    double failing_run_share = 0.1;
    int owner_deaths = 2;
    int worker_restarts = 2;
    int worker_cuts = 2; ///< A worker can't be reached but works on.
    int silent_stores = 1;
    std::string traced_job = {};      ///< What happens to it is printed; "*" for everything.
    bool check_fence = true;          ///< Workers refuse lower epochs.
    bool check_run_numbers = true;    ///< Workers refuse runs that were stopped or ended there.
    bool forget_after_storing = true; ///< Ends are forgotten only once their meaning is stored.
};

/// One owner after the other, their workers, the store and the messages between them, in simulated
/// time. Faults are recorded the moment they happen.
class workflow_model {
public:
    explicit workflow_model(workflow_model_options options);
    ~workflow_model();

    /// Plays the day and the time that it takes to finish what was accepted.
    /// Returns what went wrong first, an empty text when nothing did.
    std::string play();

private:
    struct run_record;
    struct worker;
    struct job_truth;
    struct owner;

    using action = std::function<void()>;

    void at(milliseconds delay, action what);
    void plan_day();
    void submit_job(int number);
    [[nodiscard]] std::map<std::string, std::string> records_below(const std::string& prefix) const;
    void begin_owner();
    void end_owner();
    void pump(const std::shared_ptr<owner>& one);
    void carry_out(const std::shared_ptr<owner>& one, workflow::workflow_actions actions);
    void send_start(const std::shared_ptr<owner>& one, const workflow::start_order& order);
    void send_stop(const std::shared_ptr<owner>& one, const workflow::stop_order& order);
    void poll(const std::shared_ptr<owner>& one, std::size_t index);
    void write_store(const std::shared_ptr<owner>& one);
    void write_stream(const std::shared_ptr<owner>& one, std::size_t stream);
    void apply(const workflow::record_batch& batch);
    workflow::start_outcome accept_start(worker& one, std::uint64_t epoch,
                                         const workflow::start_order& order,
                                         milliseconds lease_until);
    bool accept_stop(worker& one, std::uint64_t epoch, const workflow::run_name& name);
    std::optional<workflow::worker_report> accept_poll(worker& one, std::uint64_t epoch,
                                                       std::int64_t incarnation,
                                                       std::int64_t forget,
                                                       milliseconds lease_until);
    void end_run(worker& one, const workflow::run_name& name, workflow::run_end how);
    void restart_worker(worker& one);
    void expire_leases();
    void check_start(const worker& one, const workflow::start_order& order);
    void check_finished();
    void fail(const std::string& what);
    void trace(const std::string& job, const std::string& what) const;
    bool chance(double share);
    milliseconds between(int least, int most);
    std::vector<workflow::worker_entry> list_of_workers() const;
    time_point clock() const { return time_point(now_); }

    workflow_model_options options_;
    std::mt19937_64 random_;
    milliseconds now_{0};
    std::multimap<milliseconds, action> events_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::map<std::string, std::unique_ptr<job_truth>> jobs_;
    std::map<std::string, std::string> records_; ///< The store.
    std::shared_ptr<owner> owner_;
    std::uint64_t epoch_ = 0;
    bool store_silent_ = false;
    std::string fault_;
};

} // namespace flamingoseam::model
