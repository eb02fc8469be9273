#pragma once

#include <string>
#include <string_view>

namespace flamingoseam {

/// Whether a request has run. Every answer to a caller contains one.
enum class verdict {
    not_run,      ///< No worker has run the request, and none will run it under this id.
    ran,          ///< The request ran to completion once; the answer is complete.
    may_have_run, ///< It is unknown whether the request ran.
};

/// Returns the text of a verdict as messages contain it: "not_run", "ran" or "may_have_run".
/// Complexity: constant.
std::string_view to_string(verdict value);

/// Returns the verdict whose text is `text`.
/// Throws parse_error (id 101) when there is none. Complexity: constant.
verdict verdict_from_string(std::string_view text);

/// The result of a request as its caller receives it.
struct outcome {
    verdict kind = verdict::may_have_run;
    std::string reason; ///< A stable code, for example "no_capacity"; empty after success.
    std::string detail; ///< One human-readable sentence.
    std::string output; ///< The worker's complete answer; empty unless the verdict is `ran`.
    std::string worker; ///< Address of the worker that ran the request; empty when none did.
};

} // namespace flamingoseam
