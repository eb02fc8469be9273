#pragma once

#include "flamingoseam/store/shared_store.hpp"
#include "flamingoseam/workflow/change_log.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace flamingoseam::node {

/// The record that every transaction of an owner replaces. Since each transaction is conditional on
/// its revision, neither an earlier owner nor a delayed copy of an earlier transaction can change
/// anything.
struct chain_head {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; ///< Grows with each transaction of the epoch.
    std::string owner;

    bool operator==(const chain_head&) const = default;
};

/// Returns a head as JSON text.
std::string write_head(const chain_head& head);

/// Reads a head. Throws parse_error (id 127).
chain_head read_head(const std::string& text);

/// How the chain is run.
struct commit_chain_options {
    std::string head_key;
    std::size_t most_entries = 32; ///< Conditions, writes and removals of one transaction.
    milliseconds gather{25};   ///< Changes that fill no transaction are collected for this long.
    milliseconds timeout{400}; ///< Of one attempt, while the store is fast.
    milliseconds longest_timeout{800}; ///< Of one attempt, after others had no answer.
    milliseconds longest_pause{200};   ///< Between attempts.
};

/// What the chain is told and asks for; called from the chain's thread.
class commit_source {
public:
    virtual ~commit_source() = default;

    /// Returns the next changes, at most `most`.
    virtual workflow::record_batch take_batch(std::size_t most) = 0;

    /// The changes last taken stand in the store.
    virtual void on_stored() = 0;

    /// Another owner has taken over; nothing can be written any more.
    virtual void on_superseded() = 0;

    /// The store has left one more attempt without an answer, after others in a row.
    virtual void on_store_silent() = 0;
};

/// Writes an owner's changes to the store, one transaction after the other, each repeated until it
/// is known what became of it.
class commit_chain {
public:
    /// `head` is the owner's first head, which stands in the store at `revision`.
    commit_chain(commit_chain_options options, std::unique_ptr<shared_store> store, chain_head head,
                 std::uint64_t revision, commit_source& source);

    /// Stops after the attempt under way.
    ~commit_chain();

    commit_chain(const commit_chain&) = delete;
    commit_chain& operator=(const commit_chain&) = delete;

    /// Tells that there are changes to write; no more are gathered when they fill a transaction.
    void wake(bool full = false);

    /// Ends the chain once all changes are written, for a hand-over; `last` is written then.
    void finish(std::optional<workflow::record_change> last);

    /// Waits until the last transaction has ended, at most `limit`. Returns whether it has.
    bool wait_finished(milliseconds limit);

private:
    void run();
    bool write(const workflow::record_batch& batch);
    shared_transaction make_transaction(const workflow::record_batch& batch) const;
    std::optional<bool> attempt(const shared_transaction& transaction);
    void note_attempt(bool answered, time_point began);
    bool wait_for_work();

    commit_chain_options options_;
    std::unique_ptr<shared_store> store_;
    chain_head head_;
    std::uint64_t revision_;
    commit_source& source_;
    int failed_attempts_ = 0; ///< In a row.
    milliseconds attempt_timeout_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool work_waits_ = false;
    bool full_batch_waits_ = false;
    bool finishing_ = false;
    std::optional<workflow::record_change> last_;
    bool finished_ = false;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace flamingoseam::node
