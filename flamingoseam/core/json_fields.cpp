#include "flamingoseam/core/json_fields.hpp"

namespace flamingoseam {

namespace {

using nlohmann::json;

[[noreturn]] void throw_wrong_value(const std::string& key, const std::string& expected)
{
    throw field_error("'" + key + "' must be " + expected);
}

/// Returns the value of a key, or null if the object lacks it.
const json* find_field(const json& object, const std::string& key)
{
    if (!object.is_object()) {
        throw field_error("an object with '" + key + "' was expected, not " + object.type_name());
    }
    const auto found = object.find(key);
    return found == object.end() ? nullptr : &*found;
}

bool is_within(const json& value, integer_bounds bounds)
{
    if (value.is_number_unsigned()) {
        // A negative upper bound excludes all unsigned numbers.
        const auto number = value.get<std::uint64_t>();
        return bounds.max >= 0 && number <= static_cast<std::uint64_t>(bounds.max) &&
               static_cast<std::int64_t>(number) >= bounds.min;
    }
    if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        return number >= bounds.min && number <= bounds.max;
    }
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        return number >= static_cast<double>(bounds.min) &&
               number <= static_cast<double>(bounds.max);
    }
    return false;
}

} // namespace

std::int64_t to_integer(const json& value, const std::string& name, integer_bounds bounds)
{
    if (!is_within(value, bounds)) {
        throw_wrong_value(name, "a number from " + std::to_string(bounds.min) + " to " +
                                    std::to_string(bounds.max));
    }
    return value.get<std::int64_t>();
}

std::int64_t read_integer(const json& object, const std::string& key, integer_bounds bounds)
{
    const auto* value = find_field(object, key);
    if (value == nullptr) {
        throw_wrong_value(key, "given");
    }
    return to_integer(*value, key, bounds);
}

std::int64_t read_integer(const json& object, const std::string& key, integer_bounds bounds,
                          std::int64_t fallback)
{
    const auto* value = find_field(object, key);
    return value == nullptr ? fallback : to_integer(*value, key, bounds);
}

double read_positive(const json& object, const std::string& key, double max, double fallback)
{
    const auto* value = find_field(object, key);
    if (value == nullptr) {
        return fallback;
    }
    const auto number = value->is_number() ? value->get<double>() : -1;
    if (number < 0 || number > max) {
        throw_wrong_value(key, "a number from 0 to " + std::to_string(max));
    }
    return number;
}

const json& read_array(const json& object, const std::string& key)
{
    static const json empty = json::array();
    const auto* value = find_field(object, key);
    if (value == nullptr) {
        return empty;
    }
    if (!value->is_array()) {
        throw_wrong_value(key, "an array");
    }
    return *value;
}

} // namespace flamingoseam
