#include "flamingoseam/node/owner_call.hpp"

#include <algorithm>
#include <optional>

namespace flamingoseam::node {

namespace {

/// Shorter attempts would load the owner without a result.
constexpr milliseconds min_attempt_timeout{50};

} // namespace

owner_answer call_owner(const owner_call_options& options, const owner_attempt& attempt,
                        const owner_change_wait& wait_for_change)
{
    const auto began = now();
    auto end = began + options.timeout;
    const auto time_until = [](time_point time) {
        return std::chrono::duration_cast<milliseconds>(time - now());
    };
    std::optional<owner_answer> unconfirmed; // The latest answer that left the outcome open.
    while (true) {
        if (options.latest_end) {
            end = std::min(end, options.latest_end());
        }
        const auto limit = std::max(min_attempt_timeout, time_until(end));
        auto answer = attempt(std::min(limit, options.attempt_timeout));
        if (answer.verdict == owner_verdict::unknown) {
            unconfirmed = answer;
        } else if (answer.verdict == owner_verdict::refused) {
            return unconfirmed.value_or(answer);
        } else if (answer.verdict != owner_verdict::no_owner) {
            return answer;
        }
        const auto retry_until = unconfirmed ? end : std::min(end, began + options.owner_wait);
        const auto remaining = time_until(retry_until);
        if (remaining < min_attempt_timeout) {
            return unconfirmed.value_or(answer);
        }
        wait_for_change(std::min(remaining, options.retry_interval));
    }
}

} // namespace flamingoseam::node
