#include "flamingoseam/core/verdict.hpp"

#include "flamingoseam/core/error.hpp"

namespace flamingoseam {

std::string_view to_string(verdict value)
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::ran:
        return "ran";
    case verdict::may_have_run:
        break;
    }
    return "may_have_run";
}

verdict verdict_from_string(std::string_view text)
{
    for (const auto value : {verdict::not_run, verdict::ran, verdict::may_have_run}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    throw parse_error(101, "'" + std::string(text) + "' is not a verdict");
}

} // namespace flamingoseam
