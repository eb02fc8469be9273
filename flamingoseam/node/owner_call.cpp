#include "flamingoseam/node/owner_call.hpp"

#include <algorithm>
#include <optional>

namespace flamingoseam::node {

namespace {

constexpr milliseconds least_attempt{50}; ///< A shorter attempt would only load the owner.

} // namespace

owner_answer call_owner(const owner_call_options& options, const owner_attempt& attempt,
                        const owner_change& wait_for_change)
{
    const auto began = now();
    const auto end = began + options.timeout;
    const auto left_until = [](time_point time) {
        return std::chrono::duration_cast<milliseconds>(time - now());
    };
    std::optional<owner_answer> in_doubt; // The newest answer that left the outcome open.
    while (true) {
        const auto limit = std::max(least_attempt, left_until(end));
        auto answer = attempt(std::min(limit, options.attempt_limit));
        if (answer.verdict == owner_verdict::unknown) {
            in_doubt = answer;
        } else if (answer.verdict == owner_verdict::refused) {
            return in_doubt.value_or(answer);
        } else if (answer.verdict != owner_verdict::no_owner) {
            return answer;
        }
        const auto give_up = in_doubt ? end : std::min(end, began + options.owner_wait);
        const auto left = left_until(give_up);
        if (left < least_attempt) {
            return in_doubt.value_or(answer);
        }
        wait_for_change(std::min(left, options.pause));
    }
}

} // namespace flamingoseam::node
