#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace flamingoseam::workflow {

/// Ids with the time at which each was recorded first. An id is forgotten after a fixed time, or
/// sooner if there are too many.
class recent_ids {
public:
    recent_ids(milliseconds retention, std::size_t max_ids)
        : retention_(retention), max_ids_(max_ids)
    {
    }

    /// Records an id; has no effect while it is known. Complexity: amortised constant.
    void record(const std::string& id, time_point time);

    /// Returns when an id was recorded first, none if it is not known. Complexity: constant.
    [[nodiscard]] std::optional<time_point> find(const std::string& id, time_point time) const;

    [[nodiscard]] milliseconds retention() const { return retention_; }

private:
    void remove_expired(time_point time);

    milliseconds retention_;
    std::size_t max_ids_;
    std::unordered_map<std::string, time_point> recorded_;
    std::deque<std::pair<time_point, std::string>> by_age_;
};

} // namespace flamingoseam::workflow
