#include "flamingoseam/node/commit_stream.hpp"

#include "flamingoseam/core/read_json.hpp"
#include "flamingoseam/core/thread_times.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds initial_retry_delay{20};
constexpr milliseconds failure_pause{100}; ///< After an exception that is no error of the store.
constexpr int slow_factor = 3; ///< Timeout of an attempt as a multiple of the last response time.
constexpr int attempts_until_unreachable = 2; ///< A single lost answer is no sign of an outage.
constexpr std::size_t head_entries = 2; ///< The condition on the head record and its new value.

} // namespace

std::string write_head(const stream_head& head)
{
    return nlohmann::json{{"epoch", head.epoch}, {"sequence", head.sequence}, {"owner", head.owner}}
        .dump();
}

stream_head read_head(const std::string& text)
{
    return read_json(text, 127, "the head record of the commit stream",
                     [](const nlohmann::json& value) {
                         return stream_head{.epoch = value.at("epoch").get<std::uint64_t>(),
                                            .sequence = value.at("sequence").get<std::uint64_t>(),
                                            .owner = value.at("owner").get<std::string>()};
                     });
}

commit_stream::commit_stream(commit_stream_options options, std::unique_ptr<shared_store> store,
                             stream_head head, std::uint64_t revision, commit_source& source)
    : options_(std::move(options)), store_(std::move(store)), head_(std::move(head)),
      revision_(revision), source_(source), attempt_timeout_(options_.timeout)
{
    thread_ = service_thread("commits", [this] { run(); });
}

commit_stream::~commit_stream()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
}

void commit_stream::wake(bool full)
{
    {
        const std::lock_guard lock(mutex_);
        if (work_pending_ && (full_batch_pending_ || !full)) {
            return; // The thread has already been notified.
        }
        work_pending_ = true;
        full_batch_pending_ = full_batch_pending_ || full;
    }
    changed_.notify_all();
}

void commit_stream::finish(std::optional<workflow::record_change> last)
{
    {
        const std::lock_guard lock(mutex_);
        finishing_ = true;
        last_ = std::move(last);
        work_pending_ = true;
    }
    changed_.notify_all();
}

bool commit_stream::wait_finished(milliseconds limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return finished_; });
}

bool commit_stream::wait_for_work()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || work_pending_; });
    if (!stopping_ && !finishing_) {
        changed_.wait_for(lock, options_.batch_delay,
                          [this] { return stopping_ || finishing_ || full_batch_pending_; });
    }
    work_pending_ = false;
    full_batch_pending_ = false;
    return !stopping_;
}

void commit_stream::run()
{
    thread_timer timer(thread_duty::commits);
    while (wait_for_work() && write_next()) {
        timer.update();
    }
    {
        const std::lock_guard lock(mutex_);
        finished_ = true;
    }
    changed_.notify_all();
}

/// Writes the next changes, if there are any. Returns false if nothing is to be written after them.
bool commit_stream::write_next()
{
    workflow::record_batch batch;
    bool is_last = false;
    if (!repeat_until_done("taking changes", [&] { batch = take_batch(is_last); })) {
        return false;
    }
    if (batch.changes.empty()) {
        return !is_last;
    }
    if (!write(batch) || !repeat_until_done("a report of stored changes",
                                            [this] { source_.on_stored(stored_sent_); })) {
        return false;
    }
    wake(); // More changes may have arrived in the meantime.
    return !is_last;
}

/// Returns the next changes. Sets `is_last` if there are none after them.
workflow::record_batch commit_stream::take_batch(bool& is_last)
{
    auto batch = source_.take_batch(options_.max_entries - head_entries);
    if (batch.changes.empty()) {
        const std::lock_guard lock(mutex_);
        is_last = finishing_;
        if (is_last && last_) {
            batch.changes.push_back(*last_);
        }
    }
    return batch;
}

/// Calls `action` until no exception leaves it. Returns false if the stream has been stopped
/// before.
bool commit_stream::repeat_until_done(const char* duty, const std::function<void()>& action)
{
    while (!stopping_) {
        if (run_guarded(duty, action)) {
            return true;
        }
        pause(failure_pause);
    }
    return false;
}

void commit_stream::pause(milliseconds length)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, length, [this] { return stopping_.load(); });
}

shared_transaction commit_stream::make_transaction(const workflow::record_batch& batch) const
{
    shared_transaction transaction;
    transaction.conditions.push_back({options_.head_key, revision_});
    transaction.writes.push_back({options_.head_key, write_head(head_)});
    for (const auto& change : batch.changes) {
        if (change.value) {
            transaction.writes.push_back({change.key, *change.value});
        } else {
            transaction.removals.push_back(change.key);
        }
    }
    return transaction;
}

bool commit_stream::write(const workflow::record_batch& batch)
{
    ++head_.sequence;
    shared_transaction transaction;
    if (!repeat_until_done("a transaction", [&] { transaction = make_transaction(batch); })) {
        return false;
    }
    auto retry_delay = initial_retry_delay;
    while (!stopping_) {
        const auto started = now();
        if (const auto outcome = attempt(transaction)) {
            record_attempt(true, started);
            if (!*outcome) {
                repeat_until_done("a report of a newer owner", [this] { source_.on_superseded(); });
            }
            return *outcome;
        }
        record_attempt(false, started);
        pause(retry_delay);
        retry_delay = std::min(2 * retry_delay, options_.max_retry_delay);
    }
    return false;
}

/// Tries once to commit a transaction. Returns true when it is stored, false when another owner has
/// taken over, and nothing when the outcome is not known yet.
std::optional<bool> commit_stream::attempt(const shared_transaction& transaction)
{
    const auto sent = boot_now();
    try {
        const auto result = store_->commit(transaction, attempt_timeout_);
        stored_sent_ = sent;
        if (result.applied) {
            revision_ = result.revision;
            return true;
        }
        for (const auto& record : result.conflicting) {
            if (record.key == options_.head_key && read_head(record.value) == head_) {
                revision_ = record.revision; // An earlier attempt was applied.
                return true;
            }
        }
        return false;
    } catch (...) {
        LOG_EVERY_N(WARNING, 20) << "the store did not answer a write, which is retried: "
                                 << describe_current_exception();
        return std::nullopt;
    }
}

void commit_stream::record_attempt(bool answered, time_point started)
{
    // A slow store takes many times as long to answer, so the next attempt waits accordingly.
    const auto took = std::chrono::duration_cast<milliseconds>(now() - started);
    attempt_timeout_ = std::clamp(answered ? slow_factor * took : 2 * attempt_timeout_,
                                  options_.timeout, options_.max_timeout);
    failed_attempts_ = answered ? 0 : failed_attempts_ + 1;
    if (failed_attempts_ >= attempts_until_unreachable) {
        run_guarded("a report of an unreachable store", [this] { source_.on_store_unreachable(); });
    }
}

} // namespace flamingoseam::node
