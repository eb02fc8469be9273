#pragma once

#include "flamingoseam/core/error.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace flamingoseam {

/// Parses JSON text and returns what `read` makes of its value. Throws parse_error with `id` when
/// the text is no JSON or lacks what `read` asks for; `what` names the text in the error.
/// Complexity: that of `read`, and linear in the text.
template <typename Read>
auto read_json(const std::string& text, int id, const std::string& what, const Read& read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception& cause) {
        throw parse_error(id, what + " can't be read: " + cause.what());
    }
}

} // namespace flamingoseam
