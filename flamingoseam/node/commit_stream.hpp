#pragma once

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/store/shared_store.hpp"
#include "flamingoseam/workflow/change_log.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace flamingoseam::node {

/// The head record of a commit stream, which every transaction of an owner replaces. Since each
/// transaction is conditional on the revision of this record, neither an earlier owner nor a
/// delayed copy of an earlier transaction can change anything.
struct stream_head {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; ///< Increases with each transaction of the epoch.
    std::string owner;

    bool operator==(const stream_head&) const = default;
};

/// Returns a head record as JSON text.
std::string write_head(const stream_head& head);

/// Parses a head record. Throws parse_error (id 127).
stream_head read_head(const std::string& text);

/// Options of a commit stream.
struct commit_stream_options {
    std::string head_key;
    /// Limit on the conditions, writes and removals of one transaction together.
    std::size_t max_entries = 32;

    /// How long changes that do not fill a transaction are collected before they are written.
    milliseconds batch_delay{25};

    milliseconds timeout{400}; ///< Timeout of one attempt while the store answers quickly.

    /// Upper limit of the timeout of one attempt, reached after slow or missing answers.
    milliseconds max_timeout{800};

    milliseconds max_retry_delay{200}; ///< Upper limit of the delay between two attempts.
};

/// Supplies the changes of a commit stream and is notified of its progress. All functions are
/// called from the stream's thread. One that throws is called again, so it must have had no effect
/// then.
class commit_source {
public:
    virtual ~commit_source() = default;

    /// Removes and returns the next changes, at most `max_changes`.
    virtual workflow::record_batch take_batch(std::size_t max_changes) = 0;

    /// Called when the changes taken last are stored. The attempt whose answer shows that was sent
    /// at `sent`, by boot_now(); no other owner had taken over before.
    virtual void on_stored(time_point sent) = 0;

    /// Called when another owner has taken over, after which nothing can be written any more.
    virtual void on_superseded() = 0;

    /// Called after each attempt that the store did not answer, from the second one in a row.
    virtual void on_store_unreachable() = 0;
};

/// Writes an owner's changes to the store as a sequence of transactions. Each transaction is
/// retried until its outcome is known; only then does the next one start.
class commit_stream {
public:
    /// Starts the stream's thread. `head` is the owner's first head record, which is stored at
    /// `revision`. Throws resource_error if the system has no thread left.
    commit_stream(commit_stream_options options, std::unique_ptr<shared_store> store,
                  stream_head head, std::uint64_t revision, commit_source& source);

    /// Stops the stream and waits for the attempt in flight.
    ~commit_stream();

    commit_stream(const commit_stream&) = delete;
    commit_stream& operator=(const commit_stream&) = delete;

    /// Signals that there are changes to write. `full` says that they fill a transaction, which is
    /// then written without waiting for more changes.
    void wake(bool full = false);

    /// Ends the stream once all changes are written, for a hand-over to another owner; `last` is
    /// written after them.
    void finish(std::optional<workflow::record_change> last);

    /// Waits until the last transaction has ended, for at most `limit`. Returns whether it has.
    bool wait_finished(milliseconds limit);

private:
    void run();
    bool write_next();
    workflow::record_batch take_batch(bool& is_last);
    bool repeat_until_done(const char* duty, const std::function<void()>& action);
    bool write(const workflow::record_batch& batch);
    shared_transaction make_transaction(const workflow::record_batch& batch) const;
    std::optional<bool> attempt(const shared_transaction& transaction);
    void record_attempt(bool answered, time_point started);
    bool wait_for_work();
    void pause(milliseconds length);

    commit_stream_options options_;
    std::unique_ptr<shared_store> store_;
    stream_head head_;
    std::uint64_t revision_;
    commit_source& source_;
    time_point stored_sent_{}; ///< When the attempt was sent that was answered last, by boot_now().
    int failed_attempts_ = 0;  ///< Consecutive attempts without an answer.
    milliseconds attempt_timeout_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool work_pending_ = false;
    bool full_batch_pending_ = false;
    bool finishing_ = false;
    std::optional<workflow::record_change> last_;
    bool finished_ = false;
    std::atomic<bool> stopping_{false};
    service_thread thread_;
};

} // namespace flamingoseam::node
