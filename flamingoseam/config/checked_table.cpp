#include "flamingoseam/config/checked_table.hpp"

#include "flamingoseam/core/error.hpp"

#include <fstream>
#include <sstream>

namespace flamingoseam {

namespace {

std::string node_text(const toml::node& node)
{
    std::ostringstream out;
    node.visit([&out](const auto& value) { out << value; });
    return out.str();
}

} // namespace

checked_table::checked_table(std::string file, std::string path, const toml::table& table)
    : file_(std::move(file)), path_(std::move(path)), table_(table)
{
}

std::string checked_table::path_of(const std::string& key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

void checked_table::fail(int id, const std::string& key, const std::string& what) const
{
    throw config_error(id, file_ + ": " + path_of(key) + ": " + what);
}

void checked_table::fail_type(const std::string& key, const toml::node& node,
                              const std::string& expected) const
{
    fail(202, key, "is " + node_text(node) + ", expected " + expected);
}

const toml::node* checked_table::find(const std::string& key)
{
    read_keys_.insert(key);
    return table_.get(key);
}

std::int64_t checked_table::get_integer(const std::string& key, std::int64_t fallback,
                                        integer_bounds bounds)
{
    const auto* node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_integer()) {
        fail_type(key, *node, "a whole number");
    }
    const auto value = node->as_integer()->get();
    if (value < bounds.min || value > bounds.max) {
        fail(203, key,
             "is " + std::to_string(value) + ", must be from " + std::to_string(bounds.min) +
                 " to " + std::to_string(bounds.max));
    }
    return value;
}

double checked_table::get_number(const std::string& key, double fallback, number_bounds bounds)
{
    const auto* node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<double>();
    if (!value) {
        fail_type(key, *node, "a number");
    }
    if (!(*value >= bounds.min && *value <= bounds.max)) {
        std::ostringstream what;
        what << "is " << *value << ", must be from " << bounds.min << " to " << bounds.max;
        fail(203, key, what.str());
    }
    return *value;
}

milliseconds checked_table::get_duration(const std::string& key, milliseconds fallback,
                                         integer_bounds bounds)
{
    return milliseconds(get_integer(key, fallback.count(), bounds));
}

std::string checked_table::get_string(const std::string& key, const std::string& fallback)
{
    const auto* node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_string()) {
        fail_type(key, *node, "a string");
    }
    return node->as_string()->get();
}

std::string checked_table::get_required_string(const std::string& key)
{
    auto value = get_string(key, "");
    if (value.empty()) {
        fail(204, key, "is required and must not be empty");
    }
    return value;
}

std::vector<std::string> checked_table::get_strings(const std::string& key)
{
    std::vector<std::string> values;
    const auto* node = find(key);
    if (node == nullptr) {
        return values;
    }
    if (!node->is_array()) {
        fail_type(key, *node, "an array of strings");
    }
    for (const auto& item : *node->as_array()) {
        if (!item.is_string()) {
            fail_type(key, item, "a string");
        }
        values.push_back(item.as_string()->get());
    }
    return values;
}

checked_table checked_table::get_table(const std::string& key)
{
    const auto* node = find(key);
    if (node == nullptr) {
        return {file_, path_of(key), toml::table()};
    }
    if (!node->is_table()) {
        fail_type(key, *node, "a table");
    }
    return {file_, path_of(key), *node->as_table()};
}

std::vector<checked_table> checked_table::get_tables(const std::string& key)
{
    std::vector<checked_table> tables;
    const auto* node = find(key);
    if (node == nullptr) {
        return tables;
    }
    if (!node->is_array()) {
        fail_type(key, *node, "an array of tables");
    }
    for (const auto& item : *node->as_array()) {
        if (!item.is_table()) {
            fail_type(key, item, "a table");
        }
        const auto index = "[" + std::to_string(tables.size()) + "]";
        tables.emplace_back(file_, path_of(key + index), *item.as_table());
    }
    return tables;
}

void checked_table::finish() const
{
    for (const auto& [key, node] : table_) {
        if (!read_keys_.contains(std::string(key.str()))) {
            fail(201, std::string(key.str()), "is not a known key");
        }
    }
}

checked_table read_toml_file(const std::string& file)
{
    std::ifstream in(file);
    if (!in) {
        throw config_error(205, file + ": cannot be read");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return read_toml_text(file, text.str());
}

checked_table read_toml_text(const std::string& name, const std::string& text)
{
    try {
        return {name, "", toml::parse(text, name)};
    } catch (const toml::parse_error& cause) {
        std::ostringstream where;
        where << cause.source().begin;
        throw config_error(205,
                           name + ": " + where.str() + ": " + std::string(cause.description()));
    }
}

} // namespace flamingoseam
