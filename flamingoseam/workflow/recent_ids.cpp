#include "flamingoseam/workflow/recent_ids.hpp"

namespace flamingoseam::workflow {

void recent_ids::record(const std::string& id, time_point time)
{
    remove_expired(time);
    if (!recorded_.emplace(id, time).second) {
        return;
    }
    by_age_.emplace_back(time, id);
    if (by_age_.size() > max_ids_) {
        recorded_.erase(by_age_.front().second);
        by_age_.pop_front();
    }
}

std::optional<time_point> recent_ids::find(const std::string& id, time_point time) const
{
    const auto found = recorded_.find(id);
    const bool is_known = found != recorded_.end() && time - found->second <= retention_;
    return is_known ? std::optional(found->second) : std::nullopt;
}

void recent_ids::remove_expired(time_point time)
{
    while (!by_age_.empty() && time - by_age_.front().first > retention_) {
        recorded_.erase(by_age_.front().second);
        by_age_.pop_front();
    }
}

} // namespace flamingoseam::workflow
