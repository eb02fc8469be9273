#include "flamingoseam/node/owner_claim.hpp"

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/node/ownership_proof.hpp"

#include <glog/logging.h>

#include <future>
#include <map>
#include <system_error>
#include <utility>

namespace flamingoseam::node {

namespace {

shared_transaction make_transaction(const owner_claim& claim, const stream_head& head)
{
    shared_transaction transaction;
    transaction.conditions.push_back({claim.owner_key, claim.expected_revision});
    if (!claim.absent_key.empty()) {
        transaction.conditions.push_back({claim.absent_key, 0});
    }
    const owner_record record{.epoch = head.epoch, .owner = claim.self, .claim = claim.number};
    transaction.writes.push_back({claim.owner_key, write_owner(record)});
    for (const auto& key : claim.head_keys) {
        transaction.writes.push_back({key, write_head(head)});
    }
    return transaction;
}

/// Checks whether the conflicting record was written by an earlier attempt of the same claim, and
/// not by another claim of this process, of which an owner runs already.
bool is_own_record(const shared_record& record, const owner_claim& claim, const stream_head& head)
{
    if (record.key != claim.owner_key || record.value.empty()) {
        return false;
    }
    const auto owner = read_owner(record.value);
    return owner.epoch == head.epoch && owner.owner.incarnation == claim.self.incarnation &&
           owner.claim == claim.number;
}

std::optional<claimed_head> claim_outcome(const shared_result& result, const owner_claim& claim,
                                          const stream_head& head, time_point sent)
{
    if (result.applied) {
        return claimed_head{.head = head, .revision = result.revision, .sent = sent};
    }
    for (const auto& record : result.conflicting) {
        if (is_own_record(record, claim, head)) {
            return claimed_head{.head = head, .revision = record.revision, .sent = sent};
        }
    }
    return std::nullopt;
}

std::map<std::string, std::string> read_values(shared_store& store, const std::string& prefix)
{
    std::map<std::string, std::string> values;
    std::uint64_t ignored = 0;
    for (const auto& record : list_all(store, prefix, ignored)) {
        values.emplace(record.key.substr(prefix.size()), record.value);
    }
    return values;
}

/// Reads values on a thread of its own, or when the result is asked for if there is no thread.
std::future<std::map<std::string, std::string>> start_reading(const shared_store_factory& stores,
                                                              const std::string& prefix)
{
    const auto read = [&stores, prefix] { return read_values(*stores(), prefix); };
    try {
        return std::async(std::launch::async, read);
    } catch (const std::system_error& cause) {
        LOG(WARNING) << "reading the stored state in parts, one after the other: " << cause.what();
        return std::async(std::launch::deferred, read);
    }
}

} // namespace

std::optional<claimed_head> claim_ownership(shared_store& store, const owner_claim& claim)
{
    const stream_head head{.epoch = claim.expected_epoch + 1,
                           .sequence = 0,
                           .owner = claim.self.name + "/" + claim.self.incarnation + "/" +
                                    std::to_string(claim.number)};
    const auto transaction = make_transaction(claim, head);
    for (int attempt = 0; attempt < claim.max_attempts; ++attempt) {
        const auto sent = boot_now();
        try {
            return claim_outcome(store.commit(transaction, claim.timeout), claim, head, sent);
        } catch (...) { // It may have been applied, whatever the exception is.
            LOG(WARNING) << "the store did not answer the ownership claim; retrying: "
                         << describe_current_exception();
        }
    }
    return std::nullopt;
}

bool is_owner_record_missing(const membership_view& view)
{
    return view.owner && !view.owner->owner.name.empty() &&
           !view.members.contains(view.owner->owner.name);
}

std::optional<milliseconds> earlier_certainty(const membership_view& view)
{
    return view.owner ? std::optional(max_earlier_certainty) : std::nullopt;
}

stored_state read_stored_state(const shared_store_factory& stores,
                               const workflow::record_keys& keys)
{
    auto specifications = start_reading(stores, keys.specification_prefix());
    auto progresses = start_reading(stores, keys.progress_prefix());
    stored_state state;
    if (const auto record = stores()->get(keys.leased_workers())) {
        state.leased_workers = workflow::read_leased_workers(record->value);
    }
    state.jobs = workflow::read_jobs(specifications.get(), progresses.get());
    return state;
}

} // namespace flamingoseam::node
