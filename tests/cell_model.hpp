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

/// What of the design is switched off, to show that the checks would notice.
struct model_options {
    int workers = 3;
    bool check_epoch = true;     ///< By the workers.
    bool check_session = true;   ///< By the workers.
    bool check_authority = true; ///< Before an owner says not_run.
    bool check_ids = true;       ///< Whether a request is a repeat, before it is started.
};

/// One shard with its workers, owners that follow one another, and the store's journal record, on
/// virtual time. Messages between owners and workers are delivered late or not at all, and
/// repeated.
class cell_model {
public:
    explicit cell_model(const model_options& options);

    // Steps. Each one that makes no sense at the moment does nothing.
    void submit(std::size_t owner, int id, const std::string& customer, work_class cls,
                bool idempotent);
    void cancel(int id);
    void step_link(std::size_t owner, std::size_t worker);
    void deliver_command(std::size_t message);
    void deliver_answer(std::size_t message);
    void lose_answer(std::size_t message);
    void poll(std::size_t owner, std::size_t worker);
    void advance(milliseconds length);
    void take_over();
    void write_journal(std::size_t owner);
    void restart_worker(std::size_t worker);

    /// Lets the newest owner reach all workers until nothing more happens.
    void settle();

    /// Returns what is wrong, an empty text when everything holds.
    [[nodiscard]] std::string fault() const;

    [[nodiscard]] std::size_t owners() const { return owners_.size(); }
    [[nodiscard]] std::size_t workers() const { return workers_.size(); }
    [[nodiscard]] std::size_t commands() const { return commands_.size(); }
    [[nodiscard]] std::size_t answers() const { return answers_.size(); }
    [[nodiscard]] const std::map<verdict, int>& verdicts() const { return verdicts_; }

private:
    struct link {
        std::uint64_t session = 0;
        bool needs_report = true;
        bool accepts = false;
        bool waiting = false; ///< A command is under way.
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
        std::map<std::uint64_t, int> tokens; ///< Request by token.
        std::uint64_t next_token = 1;
        bool gone = false; ///< It knows that it owns the shard no more.
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
        int told_not_run = 0;
        bool resubmitted = false;
    };

    void begin_owner();
    void drain_actions(std::size_t owner);
    void take_answer(owner& one, std::uint64_t token, const outcome& result);
    void check_lost(std::size_t owner, std::size_t worker);
    void fail_starts(owner& one, std::size_t worker, const std::vector<task_start>& starts,
                     const std::string& reason);
    [[nodiscard]] std::vector<standin::ledger_entry> runs_of(const std::string& request_id) const;
    [[nodiscard]] wall_time wall() const;
    [[nodiscard]] std::string address(std::size_t worker) const;
    [[nodiscard]] std::size_t worker_at(const std::string& address) const;
    void note(const std::string& what);

    model_options options_;
    contract_table contracts_;
    time_point time_;
    std::vector<standin::worker_model> workers_;
    std::vector<standin::ledger_entry> old_runs_; ///< Of incarnations that are gone.
    std::vector<owner> owners_;
    std::vector<command_message> commands_;
    std::vector<answer_message> answers_;
    journal_record journal_;
    std::map<int, request_history> requests_;
    std::map<verdict, int> verdicts_;
    std::string fault_;
    int restarts_ = 0;
};

} // namespace flamingoseam::model
