#pragma once

#include "flamingoseam/core/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flamingoseam {

/// Thrown when a JSON object lacks a field, or the field's value has the wrong type or is out of
/// bounds. Its id is 139.
class field_error : public parse_error {
public:
    explicit field_error(const std::string& what) : parse_error(139, what) {}
};

/// Bounds of a whole number, both included.
struct integer_bounds {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

/// Returns a whole number; a fraction is cut off. Throws field_error that names the value
/// as `name` if it is no number within the bounds. Complexity: constant.
std::int64_t to_integer(const nlohmann::json& value, const std::string& name,
                        integer_bounds bounds);

/// Returns the whole number `key` of an object; a fraction is cut off. Throws field_error
/// that names the key and the bounds if the object lacks the key or its value is no number within
/// the bounds. Complexity: logarithmic in the size of the object.
std::int64_t read_integer(const nlohmann::json& object, const std::string& key,
                          integer_bounds bounds);

/// Returns the same, or `fallback` if the object lacks the key.
std::int64_t read_integer(const nlohmann::json& object, const std::string& key,
                          integer_bounds bounds, std::int64_t fallback);

/// Returns the number `key` of an object, or `fallback` if the object lacks the key. Throws
/// field_error if the value is no number from 0 to `max`. Complexity: logarithmic in the
/// size of the object.
double read_positive(const nlohmann::json& object, const std::string& key, double max,
                     double fallback);

/// Returns the array `key` of an object, or an empty array if the object lacks the key. The array
/// is not copied, since copying a deeply nested value recurses. Throws field_error if the
/// value is no array. Complexity: logarithmic in the size of the object.
const nlohmann::json& read_array(const nlohmann::json& object, const std::string& key);

} // namespace flamingoseam
