#include "flamingoseam/node/membership.hpp"

#include "flamingoseam/core/json_fields.hpp"
#include "flamingoseam/core/read_json.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace flamingoseam::node {

namespace {

using nlohmann::json;

constexpr milliseconds watch_interval{20};
constexpr milliseconds renewal_retry_interval{50};
constexpr milliseconds watch_retry_interval{300};
constexpr milliseconds commit_timeout{500};
constexpr integer_bounds port_bounds{0, 65'535}; ///< The owner's record has 0 after a handover.
constexpr double max_processor_share = 1'024;

json to_json_value(const member& value)
{
    return {{"name", value.name},
            {"incarnation", value.incarnation},
            {"address", value.address.address},
            {"port", value.address.port},
            {"processor_share", value.processor_share}};
}

member member_from_json(const json& value)
{
    return {.name = value.at("name").get<std::string>(),
            .incarnation = value.at("incarnation").get<std::string>(),
            .address = {value.at("address").get<std::string>(),
                        static_cast<unsigned short>(read_integer(value, "port", port_bounds))},
            .processor_share = read_positive(value, "processor_share", max_processor_share, 1.0)};
}

/// Parses a record of a member or of the owner.
template <typename Read> auto read_record(const std::string& text, const Read& read)
{
    return read_json(text, 129, "a membership record", read);
}

} // namespace

std::string write_member(const member& value)
{
    return to_json_value(value).dump();
}

member read_member(const std::string& text)
{
    return read_record(text, member_from_json);
}

std::string write_owner(const owner_record& value)
{
    return json{
        {"epoch", value.epoch}, {"owner", to_json_value(value.owner)}, {"claim", value.claim}}
        .dump();
}

owner_record read_owner(const std::string& text)
{
    return read_record(text, [](const json& value) {
        return owner_record{.epoch = value.at("epoch").get<std::uint64_t>(),
                            .owner = member_from_json(value.at("owner")),
                            .claim = value.value("claim", std::uint64_t{0})};
    });
}

namespace {

/// Returns the owner if its process is one of the members, none otherwise.
std::optional<owner_record> if_live(const owner_record& owner,
                                    const std::map<std::string, member>& members)
{
    const auto found = members.find(owner.owner.name);
    const bool is_live =
        found != members.end() && found->second.incarnation == owner.owner.incarnation;
    return is_live ? std::optional(owner) : std::nullopt;
}

} // namespace

std::optional<owner_record> membership_view::live_owner() const
{
    return owner ? if_live(*owner, members) : std::nullopt;
}

namespace {

/// Returns a member with the address at which it serves a shard.
member serving_shard(member value, const shard_identity& shard)
{
    value.address.port = static_cast<unsigned short>(value.address.port + shard.index);
    return value;
}

} // namespace

membership::membership(membership_options options, const shared_store_factory& stores)
    : options_(std::move(options)), lease_store_(stores()), watch_({.name = "members",
                                                                    .prefix = options_.prefix,
                                                                    .times = options_.watch,
                                                                    .report = options_.report},
                                                                   stores())
{
    lease_thread_ = service_thread("lease", [this] { run_lease(); });
    try {
        watch_thread_ = service_thread("members", [this] { run_watch(); });
    } catch (...) {
        request_stop();
        throw;
    }
}

membership::~membership()
{
    request_stop();
}

void membership::request_stop()
{
    stopping_ = true;
    changed_.notify_all();
}

int membership::add_listener(std::function<void()> on_change)
{
    const std::lock_guard lock(listeners_mutex_);
    listeners_.emplace(++last_listener_, std::move(on_change));
    return last_listener_;
}

void membership::remove_listener(int number)
{
    const std::lock_guard lock(listeners_mutex_);
    listeners_.erase(number);
}

void membership::notify_listeners()
{
    const std::lock_guard lock(listeners_mutex_);
    for (const auto& [number, on_change] : listeners_) {
        run_guarded("a listener of the membership", on_change);
    }
}

membership_view membership::view(const shard_identity& shard) const
{
    membership_view view;
    const std::lock_guard lock(mutex_);
    for (const auto& [name, value] : members_) {
        view.members.emplace_hint(view.members.end(), name, serving_shard(value, shard));
    }
    const auto found = owners_.find(owner_key(shard));
    if (found != owners_.end()) {
        view.owner = found->second.record;
        view.owner_revision = found->second.revision;
    }
    return view;
}

std::optional<owner_record> membership::live_owner(const shard_identity& shard) const
{
    const std::lock_guard lock(mutex_);
    const auto found = owners_.find(owner_key(shard));
    return found == owners_.end() ? std::nullopt : if_live(found->second.record, members_);
}

std::vector<double> membership::processor_shares() const
{
    std::vector<double> shares;
    const std::lock_guard lock(mutex_);
    for (const auto& [name, value] : members_) {
        shares.push_back(value.processor_share);
    }
    return shares;
}

std::string membership::owner_key(const shard_identity& shard) const
{
    const auto key = options_.prefix + "owner";
    return shard.count == 1 ? key : key + "/" + std::to_string(shard.index);
}

member membership::self(const shard_identity& shard) const
{
    return serving_shard(options_.self, shard);
}

bool membership::has_valid_lease() const
{
    return was_renewed_within(options_.max_renewal_age);
}

bool membership::was_renewed_within(milliseconds length) const
{
    return boot_now() - renewed_at_.load() < length;
}

bool membership::is_certain_owner(const shard_identity& shard, std::uint64_t epoch) const
{
    if (!has_valid_lease()) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    const auto found = owners_.find(owner_key(shard));
    const bool has_newer = found != owners_.end() && found->second.record.epoch > epoch;
    const bool has_asked = joined_at_ != time_point{} && view_asked_at_ >= joined_at_;
    return !has_newer && has_asked && now() - view_asked_at_ < options_.max_view_age;
}

bool membership::has_joined() const
{
    const std::lock_guard lock(mutex_);
    const auto found = members_.find(options_.self.name);
    return found != members_.end() && found->second.incarnation == options_.self.incarnation;
}

void membership::leave()
{
    leaving_ = true;
    changed_.notify_all();
}

void membership::run_lease()
{
    while (!stopping_ && !leaving_) {
        auto interval = renewal_retry_interval;
        run_guarded("a renewal of the node's lease", [&] { interval = try_to_renew(); });
        pause(interval);
    }
    run_guarded("the end of the node's lease", [this] { end_lease(); });
}

/// Returns the time until the next renewal.
milliseconds membership::try_to_renew()
{
    const auto began = now();
    try {
        renew(*lease_store_);
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 10) << "can't renew the node's lease: " << cause.what();
        return renewal_retry_interval;
    }
    // A slow renewal shortens the wait for the next one, so that the lease stays certainly valid.
    const auto took = std::chrono::duration_cast<milliseconds>(now() - began);
    return std::max(milliseconds(0), options_.renew_interval - took);
}

void membership::end_lease()
{
    if (lease_ == 0) {
        return;
    }
    try {
        lease_store_->end_lease(lease_);
    } catch (const error& cause) {
        LOG(WARNING) << "can't end the node's lease; it will expire: " << cause.what();
    }
}

void membership::renew(shared_store& store)
{
    const auto began = boot_now();
    if (lease_ != 0 && !store.renew_lease(lease_)) {
        LOG(WARNING) << "the node's lease has expired; rejoining with a new lease";
        lease_ = 0;
        const std::lock_guard lock(mutex_);
        joined_at_ = {};
    }
    if (lease_ == 0 || !is_join_confirmed() || is_missing_from_view()) {
        join(store);
    }
    renewed_at_ = began;
}

void membership::join(shared_store& store)
{
    if (lease_ == 0) {
        lease_ = store.grant_lease(options_.time_to_live);
    }
    shared_transaction transaction;
    transaction.writes.push_back(
        {member_key(options_.self.name), write_member(options_.self), lease_});
    const auto result = store.commit(transaction, commit_timeout);
    if (!result.applied) {
        lease_ = 0;
        throw transport_error(308, "the store rejected the node's membership record", false);
    }
    const std::lock_guard lock(mutex_);
    joined_at_ = now();
}

bool membership::is_join_confirmed() const
{
    const std::lock_guard lock(mutex_);
    return joined_at_ != time_point{};
}

bool membership::is_missing_from_view() const
{
    const std::lock_guard lock(mutex_);
    return is_view_complete_ && !members_.contains(options_.self.name);
}

void membership::run_watch()
{
    while (!stopping_) {
        bool has_read = false;
        const bool has_failed = !run_guarded("the watch of the membership records",
                                             [&] { has_read = try_to_read_changes(); });
        if (has_failed) {
            watch_.read_again(); // Changes may have been read, but not applied.
        }
        if (!has_read) {
            const std::lock_guard lock(mutex_);
            is_view_complete_ = false; // Until the next answer, changes may be missing.
        }
        pause(has_read ? watch_interval : watch_retry_interval);
    }
}

/// Waits for changes of the records and applies them. Returns false if the store did not answer.
bool membership::try_to_read_changes()
{
    try {
        const auto update = watch_.next();
        apply_update(update);
        report_earlier_process();
        if (update.is_complete || !update.records.empty()) {
            notify_listeners();
        }
        return true;
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 10) << "can't watch the membership records: " << cause.what();
        return false;
    }
}

void membership::apply_update(const record_update& update)
{
    const std::lock_guard lock(mutex_);
    if (update.is_complete) {
        members_.clear();
        owners_.clear();
    }
    for (const auto& record : update.records) {
        apply(record);
    }
    is_view_complete_ = true;
    view_asked_at_ = watch_.asked_at();
}

/// Reports, after the first reading of the records, those of an earlier process of this node. Such
/// a process has ended without leaving, or still runs.
void membership::report_earlier_process()
{
    if (std::exchange(has_reported_earlier_process_, true) || !options_.report) {
        return;
    }
    const auto is_earlier = [this](const member& value) {
        return value.name == options_.self.name && value.incarnation != options_.self.incarnation;
    };
    std::vector<std::string> findings;
    {
        const std::lock_guard lock(mutex_);
        const auto found = members_.find(options_.self.name);
        if (found != members_.end() && is_earlier(found->second)) {
            findings.push_back(found->second.incarnation + " is still a member");
        }
        for (const auto& [key, owner] : owners_) {
            if (is_earlier(owner.record.owner)) {
                findings.push_back(owner.record.owner.incarnation +
                                   " is recorded as the owner in " + key + " with epoch " +
                                   std::to_string(owner.record.epoch));
            }
        }
    }
    for (const auto& finding : findings) {
        options_.report({.event = "earlier_process", .request = {}, .detail = finding});
    }
}

void membership::apply(const shared_record& record)
{
    try {
        if (record.key.starts_with(options_.prefix + "owner")) {
            if (!record.removed) {
                owners_[record.key] = {read_owner(record.value), record.revision};
            }
            return;
        }
        const auto name = member_name(record.key);
        if (!name) {
            LOG(WARNING) << "ignoring record " << record.key << ": it is no member's";
        } else if (record.removed) {
            members_.erase(*name);
        } else {
            members_[*name] = read_member(record.value);
        }
    } catch (const error& cause) {
        LOG(WARNING) << "ignoring invalid record " << record.key << ": " << cause.what();
    }
}

/// Returns the name of the member whose record has the key, none if it is no member's.
std::optional<std::string> membership::member_name(const std::string& key) const
{
    const auto prefix = options_.prefix + "node/";
    return key.starts_with(prefix) ? std::optional(key.substr(prefix.size())) : std::nullopt;
}

void membership::pause(milliseconds length)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, length, [this] { return stopping_ || leaving_; });
}

} // namespace flamingoseam::node
