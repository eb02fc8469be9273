#pragma once

#include <string>
#include <string_view>

namespace flamingoseam {

/// Says whether a request may have run. Every answer to a caller carries one.
enum class verdict {
    not_run,      ///< No worker has run the request and none will under this request id.
    ran,          ///< The request ran to its end once; the answer is whole.
    may_have_run, ///< It is not known whether the request ran.
};

/// Returns the text of a verdict as it stands in messages: "not_run", "ran" or "may_have_run".
/// Complexity: constant.
std::string_view to_string(verdict value);

/// Returns the verdict named by `text`.
/// Throws parse_error (id 101) when the text names none. Complexity: constant.
verdict verdict_from_string(std::string_view text);

/// The result of a request as it is told to its caller.
struct outcome {
    verdict what = verdict::may_have_run;
    std::string reason; ///< A stable word, for example "no_capacity"; empty after success.
    std::string detail; ///< One sentence for a person.
    std::string output; ///< The worker's whole answer; empty unless `what` is `ran`.
    std::string worker; ///< The address of the worker that ran it; empty when none did.
};

} // namespace flamingoseam
