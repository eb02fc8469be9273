#include "flamingoseam/node/commit_chain.hpp"

#include "flamingoseam/core/read_json.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam::node {

namespace {

constexpr milliseconds first_pause{20};
constexpr int slow_factor = 3; ///< An attempt may take so many times as long as the last answer.
constexpr int attempts_until_away = 2;  ///< One lost answer is no sign of an absent store.
constexpr std::size_t head_entries = 2; ///< The condition on the head and its new value.

} // namespace

std::string write_head(const chain_head& head)
{
    return nlohmann::json{{"epoch", head.epoch}, {"sequence", head.sequence}, {"owner", head.owner}}
        .dump();
}

chain_head read_head(const std::string& text)
{
    return read_json(text, 127, "the head of the chain", [](const nlohmann::json& value) {
        return chain_head{.epoch = value.at("epoch").get<std::uint64_t>(),
                          .sequence = value.at("sequence").get<std::uint64_t>(),
                          .owner = value.at("owner").get<std::string>()};
    });
}

commit_chain::commit_chain(commit_chain_options options, std::unique_ptr<shared_store> store,
                           chain_head head, std::uint64_t revision, commit_source& source)
    : options_(std::move(options)), store_(std::move(store)), head_(std::move(head)),
      revision_(revision), source_(source), attempt_timeout_(options_.timeout)
{
    thread_ = std::thread([this] { run(); });
}

commit_chain::~commit_chain()
{
    stopping_ = true;
    changed_.notify_all();
    thread_.join();
}

void commit_chain::wake(bool full)
{
    {
        const std::lock_guard lock(mutex_);
        if (work_waits_ && (full_batch_waits_ || !full)) {
            return; // The thread knows already.
        }
        work_waits_ = true;
        full_batch_waits_ = full_batch_waits_ || full;
    }
    changed_.notify_all();
}

void commit_chain::finish(std::optional<workflow::record_change> last)
{
    {
        const std::lock_guard lock(mutex_);
        finishing_ = true;
        last_ = std::move(last);
        work_waits_ = true;
    }
    changed_.notify_all();
}

bool commit_chain::wait_finished(milliseconds limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return finished_; });
}

bool commit_chain::wait_for_work()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || work_waits_; });
    if (!stopping_ && !finishing_) {
        changed_.wait_for(lock, options_.gather,
                          [this] { return stopping_ || finishing_ || full_batch_waits_; });
    }
    work_waits_ = false;
    full_batch_waits_ = false;
    return !stopping_;
}

void commit_chain::run()
{
    while (wait_for_work()) {
        auto batch = source_.take_batch(options_.most_entries - head_entries);
        bool is_last = false;
        if (batch.changes.empty()) {
            const std::lock_guard lock(mutex_);
            is_last = finishing_;
            if (is_last && last_) {
                batch.changes.push_back(*last_);
            }
        }
        if (!batch.changes.empty()) {
            if (!write(batch)) {
                break;
            }
            source_.on_stored();
            wake(); // More may have come meanwhile.
        }
        if (is_last) {
            break;
        }
    }
    {
        const std::lock_guard lock(mutex_);
        finished_ = true;
    }
    changed_.notify_all();
}

shared_transaction commit_chain::make_transaction(const workflow::record_batch& batch) const
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

bool commit_chain::write(const workflow::record_batch& batch)
{
    ++head_.sequence;
    const auto transaction = make_transaction(batch);
    auto pause = first_pause;
    while (!stopping_) {
        const auto began = now();
        if (const auto outcome = attempt(transaction)) {
            note_attempt(true, began);
            if (!*outcome) {
                source_.on_superseded();
            }
            return *outcome;
        }
        note_attempt(false, began);
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, pause, [this] { return stopping_.load(); });
        pause = std::min(2 * pause, options_.longest_pause);
    }
    return false;
}

/// Returns whether the transaction stands, false when another owner has taken over, none when that
/// is not known yet.
std::optional<bool> commit_chain::attempt(const shared_transaction& transaction)
{
    try {
        const auto result = store_->commit(transaction, attempt_timeout_);
        if (result.applied) {
            revision_ = result.revision;
            return true;
        }
        for (const auto& record : result.conflicting) {
            if (record.key == options_.head_key && read_head(record.value) == head_) {
                revision_ = record.revision; // An earlier attempt was carried out.
                return true;
            }
        }
        return false;
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 20) << "a write to the store got no answer: " << cause.what();
        return std::nullopt;
    }
}

void commit_chain::note_attempt(bool answered, time_point began)
{
    // Answers of a slow store take many times as long; the next attempt waits for them.
    const auto took = std::chrono::duration_cast<milliseconds>(now() - began);
    attempt_timeout_ = std::clamp(answered ? slow_factor * took : 2 * attempt_timeout_,
                                  options_.timeout, options_.longest_timeout);
    failed_attempts_ = answered ? 0 : failed_attempts_ + 1;
    if (failed_attempts_ >= attempts_until_away) {
        source_.on_store_silent();
    }
}

} // namespace flamingoseam::node
