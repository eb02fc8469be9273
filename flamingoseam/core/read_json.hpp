#pragma once

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/json_fields.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace flamingoseam {

/// Parses JSON text and returns the result of `read` for the parsed value. Throws parse_error with
/// `id` when the text is not JSON or `read` does not find a value that it requires; the error names
/// the text as `what`.
/// Complexity: that of `read`, and linear in the text.
template <typename Read>
auto read_json(const std::string& text, int id, const std::string& what, const Read& read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception& cause) {
        throw parse_error(id, what + " can't be read: " + cause.what());
    } catch (const field_error& cause) {
        throw parse_error(id, what + " can't be read: " + cause.what());
    }
}

} // namespace flamingoseam
