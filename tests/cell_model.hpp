#pragma once

#include "flamingoseam/shard/shard_state.hpp"
#include "standins/worker_model.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam::model {

/// Protections that can be switched off to show that the checks detect their absence.
struct model_options {
    int workers = 3;
    bool check_epoch = true;     ///< Workers reject older epochs.
    bool check_session = true;   ///< Workers reject starts of earlier sessions.
    bool check_authority = true; ///< Owners confirm ownership before answering not_run.
    bool check_ids = true;       ///< Repeated requests are detected before a start.
};

/// Simulates one shard with its workers, its successive owners and the journal record of the store,
/// in virtual time. Messages between owners and workers can be delayed, lost and repeated.
class cell_model {
public:
    explicit cell_model(const model_options& options);

    // Steps. A step that does not apply in the current state has no effect.
    void submit(std::size_t owner, int id, const std::string& customer, work_class cls,
                bool idempotent);
    void cancel(int id);
    void send_command(std::size_t owner, std::size_t worker);
    void deliver_command(std::size_t message);
    void deliver_answer(std::size_t message);
    void drop_answer(std::size_t message);
    void poll(std::size_t owner, std::size_t worker);
    void advance(milliseconds length);
    void start_next_owner();
    void write_journal(std::size_t owner);
    void restart_worker(std::size_t worker);

    /// Lets the newest owner exchange messages with all workers, without losses, for 40 s of
    /// virtual time, so that pending work completes.
    void run_until_settled();

    /// Returns the first violated invariant, or an empty string if all hold.
    [[nodiscard]] std::string violation() const;

    [[nodiscard]] std::size_t owners() const { return owners_.size(); }
    [[nodiscard]] std::size_t workers() const { return workers_.size(); }
    [[nodiscard]] std::size_t commands() const { return commands_.size(); }
    [[nodiscard]] std::size_t answers() const { return answers_.size(); }
    [[nodiscard]] const std::map<verdict, int>& verdicts() const { return verdicts_; }

private:
    struct link {
        std::uint64_t session = 0;
        bool needs_report = true;
        bool accepts_starts = false;
        bool command_in_flight = false; ///< A command was sent and not yet answered.
        bool lost = false;
        bool fenced = false;
        worker_command current;
        worker_command pending;
        std::string incarnation;
        std::uint64_t last_event = 0;
        time_point last_contact;
        std::uint64_t answered = 0;
    };

    struct owner {
        std::uint64_t epoch = 0;
        std::unique_ptr<shard_state> state;
        std::vector<link> links;
        std::map<std::uint64_t, int> tokens; ///< Maps a token to its request.
        std::uint64_t next_token = 1;
        bool lost_ownership = false; ///< This owner has recorded that it no longer owns the shard.
    };

    struct command_message {
        std::size_t owner;
        std::size_t worker;
        worker_command command;
    };

    struct answer_message {
        std::size_t owner;
        std::size_t worker;
        worker_command command;
        command_response answer;
    };

    struct request_history {
        std::string request_id;
        std::string customer;
        work_class cls = work_class::call;
        bool idempotent = false;
        int answered_not_run = 0;
        bool resubmitted = false;
    };

    void start_owner();
    void drain_actions(std::size_t owner);
    void process_answer(owner& shard_owner, std::uint64_t token, const outcome& result);
    void check_lost(std::size_t owner, std::size_t worker);
    void fail_starts(owner& shard_owner, std::size_t worker, const std::vector<task_start>& starts,
                     const std::string& reason);
    [[nodiscard]] std::vector<standin::ledger_entry> runs_of(const std::string& request_id) const;
    [[nodiscard]] wall_time wall() const;
    [[nodiscard]] std::string address(std::size_t worker) const;
    [[nodiscard]] std::size_t worker_at(const std::string& address) const;
    void record_violation(const std::string& message);

    model_options options_;
    contract_table contracts_;
    time_point time_;
    std::vector<standin::worker_model> workers_;
    std::vector<standin::ledger_entry>
        earlier_runs_; ///< Ledger entries of earlier worker incarnations.
    std::vector<owner> owners_;
    std::vector<command_message> commands_;
    std::vector<answer_message> answers_;
    journal_record journal_;
    std::map<int, request_history> requests_;
    std::map<verdict, int> verdicts_;
    std::string violation_;
    int restarts_ = 0;
};

} // namespace flamingoseam::model
