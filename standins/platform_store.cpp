#include "standins/platform_store.hpp"

#include "standins/base64.hpp"

#include <algorithm>

namespace flamingoseam::standin {

namespace {

using nlohmann::json;

constexpr milliseconds watch_poll_interval{50}; ///< A watch checks for expired leases this often.
constexpr std::chrono::seconds cut_watch_time{60}; ///< A cut watch is closed after this time.
constexpr int lost_write_interval = 3; ///< A lossy store loses every third answer to a write.

http_response respond(int status, const json& body)
{
    return {.status = status, .body = body.dump()};
}

} // namespace

void platform_store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, to_base64(value), 0);
    changed_.notify_all();
}

std::optional<http_response> platform_store::handle(const http_request& request)
{
    const std::string keep_path = "/api/kv-keep/";
    const std::string end_path = "/api/kv-lease-end/";
    if (request.path == "/standin/fault") {
        return set_fault(request);
    }
    if (request.path == "/standin/compact") {
        return begin_compaction(request);
    }
    if (!request.path.starts_with("/api/kv-")) {
        return std::nullopt;
    }
    {
        const std::lock_guard lock(mutex_);
        if (fault_ == fault::down) {
            return respond(503, json::object());
        }
        expire_leases();
    }
    if (request.path == "/api/kv-key") {
        return get(request);
    }
    if (request.path == "/api/kv-range") {
        return list(request);
    }
    if (request.path == "/api/kv-watch") {
        return watch(request);
    }
    if (request.path == "/api/kv-txn") {
        return commit(request);
    }
    if (request.path == "/api/kv-lease") {
        return grant_lease(request);
    }
    if (request.path.starts_with(keep_path)) {
        return keep_alive(std::stoull(request.path.substr(keep_path.size())));
    }
    if (request.path.starts_with(end_path)) {
        return end_lease(std::stoull(request.path.substr(end_path.size())));
    }
    return std::nullopt;
}

http_response platform_store::set_fault(const http_request& request)
{
    const auto mode = request.query_or("mode", "none");
    const std::lock_guard lock(mutex_);
    fault_ = mode == "down" ? fault::down : mode == "lossy" ? fault::lossy : fault::none;
    changed_.notify_all();
    return respond(200, json::object());
}

http_response platform_store::begin_compaction(const http_request& request)
{
    const std::lock_guard lock(mutex_);
    compaction_at_ = now() + milliseconds(std::stoi(request.query_or("mute_ms", "0")));
    holds_missed_watches_ = request.query_or("how", "") == "hold";
    return respond(200, json::object());
}

/// Discards the history when the time for it has come, which cuts all waiting watches.
void platform_store::compact_if_due()
{
    if (!compaction_at_ || now() < *compaction_at_) {
        return;
    }
    compaction_at_.reset();
    history_.clear();
    discarded_revision_ = revision_;
    ++compactions_;
    changed_.notify_all();
}

void platform_store::release_cut_watches()
{
    const std::lock_guard lock(mutex_);
    releasing_watches_ = true;
    changed_.notify_all();
}

/// Answers a watch whose changes were discarded at the end of its wait, or never, as after a cut
/// that the client can't see.
http_response platform_store::end_missed_watch(std::unique_lock<std::mutex>& lock, time_point until)
{
    const auto is_released = [this] { return releasing_watches_; };
    if (holds_missed_watches_ && !changed_.wait_until(lock, until, is_released)) {
        return respond(410, json::object());
    }
    changed_.wait_for(lock, cut_watch_time, is_released);
    return {.close_without_answer = true};
}

json platform_store::to_json(const std::string& key, const stored_item& item) const
{
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

http_response platform_store::get(const http_request& request)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(request.query_or("key", ""));
    if (found == items_.end()) {
        return respond(404, json::object());
    }
    return respond(200, to_json(found->first, found->second));
}

http_response platform_store::list(const http_request& request)
{
    const auto prefix = request.query_or("prefix", "");
    const auto after = request.query_or("after", "");
    constexpr std::size_t page_size = 500;
    const std::lock_guard lock(mutex_);
    json items = json::array();
    bool has_more = false;
    for (auto item = items_.lower_bound(prefix);
         item != items_.end() && item->first.starts_with(prefix); ++item) {
        if (item->first <= after) {
            continue;
        }
        if (items.size() >= page_size) {
            has_more = true;
            break;
        }
        items.push_back(to_json(item->first, item->second));
    }
    return respond(200, {{"items", items}, {"hasMore", has_more}, {"currentRev", revision_}});
}

http_response platform_store::watch(const http_request& request)
{
    const auto prefix = request.query_or("prefix", "");
    auto after = std::stoull(request.query_or("after", "0"));
    const auto until = now() + milliseconds(std::stoi(request.query_or("waitMs", "0")));
    std::unique_lock lock(mutex_);
    compact_if_due();
    if (after < discarded_revision_) {
        return respond(410, json::object());
    }
    const auto compactions = compactions_;
    while (true) {
        if (fault_ == fault::down) {
            return respond(503, json::object());
        }
        expire_leases();
        compact_if_due();
        if (compactions_ != compactions) {
            return end_missed_watch(lock, until);
        }
        const bool is_mute = compaction_at_.has_value();
        const auto events = is_mute ? json::array() : events_after(after, prefix);
        if (!events.empty() || (now() >= until && !is_mute)) {
            return respond(200, {{"events", events}, {"currentRev", revision_}});
        }
        after = is_mute ? after : revision_; // Up to there nothing has changed under the prefix.
        changed_.wait_for(lock, watch_poll_interval);
    }
}

json platform_store::events_after(std::uint64_t revision, const std::string& prefix) const
{
    json events = json::array();
    const auto first = std::ranges::upper_bound(history_, revision, {}, &change::first);
    for (auto entry = first; entry != history_.end(); ++entry) {
        if (entry->second.at("key").get_ref<const std::string&>().starts_with(prefix)) {
            events.push_back(entry->second);
        }
    }
    return events;
}

http_response platform_store::commit(const http_request& request)
{
    const auto body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    json conflicting = json::array();
    bool is_satisfied = true;
    for (const auto& condition : body.at("precondition")) {
        const auto found = items_.find(condition.at("key").get<std::string>());
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        is_satisfied = is_satisfied && revision == condition.at("revision").get<std::uint64_t>();
        if (found != items_.end()) {
            conflicting.push_back(to_json(found->first, found->second));
        }
    }
    if (!is_satisfied) {
        return respond(412, {{"items", conflicting}});
    }
    for (const auto& put : body.at("puts")) {
        const auto lease = put.value("lease", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
            return respond(404, json::object());
        }
    }
    ++revision_; // All changes of a transaction have the same revision.
    for (const auto& put : body.at("puts")) {
        write(put.at("key").get<std::string>(), put.at("value").get<std::string>(),
              put.value("lease", std::uint64_t{0}));
    }
    for (const auto& key : body.at("remove")) {
        remove(key.get<std::string>());
    }
    changed_.notify_all();
    auto response = respond(200, {{"revision", revision_}});
    if (fault_ == fault::lossy && ++lossy_writes_ % lost_write_interval == 0) {
        response.close_without_answer = true;
    }
    return response;
}

http_response platform_store::grant_lease(const http_request& request)
{
    const milliseconds time_to_live(json::parse(request.body).at("ttlMs").get<std::int64_t>());
    const std::lock_guard lock(mutex_);
    const auto lease = next_lease_++;
    leases_[lease] = {time_to_live, now() + time_to_live};
    return respond(200, {{"lease", lease}, {"ttlMs", time_to_live.count()}});
}

http_response platform_store::keep_alive(std::uint64_t lease)
{
    const std::lock_guard lock(mutex_);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return respond(404, json::object());
    }
    found->second.expires = now() + found->second.time_to_live;
    return respond(200, {{"ttlMs", found->second.time_to_live.count()}});
}

http_response platform_store::end_lease(std::uint64_t lease)
{
    const std::lock_guard lock(mutex_);
    const auto found = leases_.find(lease);
    if (found != leases_.end()) {
        found->second.expires = now();
        expire_leases();
    }
    return respond(200, json::object());
}

void platform_store::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    auto& item = items_[key];
    item.value = value;
    item.revision = revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = lease;
    history_.emplace_back(revision_, to_json(key, item));
}

void platform_store::remove(const std::string& key)
{
    if (items_.erase(key) > 0) {
        history_.emplace_back(revision_,
                              json{{"key", key}, {"revision", revision_}, {"tombstone", true}});
    }
}

void platform_store::expire_leases()
{
    std::erase_if(leases_, [this](const auto& lease) {
        if (lease.second.expires > now()) {
            return false;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item.lease == lease.first) {
                keys.push_back(key);
            }
        }
        ++revision_;
        for (const auto& key : keys) {
            remove(key);
        }
        changed_.notify_all();
        return true;
    });
}

} // namespace flamingoseam::standin
