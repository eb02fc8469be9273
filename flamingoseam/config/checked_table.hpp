#pragma once

#include "flamingoseam/core/clock.hpp"

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam {

/// The range of an integer setting; both bounds are allowed.
struct integer_bounds {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

/// The range of a numeric setting; both bounds are allowed.
struct number_bounds {
    double min = 0;
    double max = 0;
};

/// Reads a TOML table key by key and rejects unknown keys, wrong types and values out of bounds.
/// The errors name the file, the key, the value found and the bounds.
class checked_table {
public:
    /// Creates a reader of `table`. `file` names the file in errors, `path` is the dotted path of
    /// the table, empty for the root.
    checked_table(std::string file, std::string path, const toml::table& table);

    /// Returns an integer, or `fallback` when the key is absent.
    /// Throws config_error: id 202 for another type, id 203 out of bounds.
    std::int64_t get_integer(const std::string& key, std::int64_t fallback, integer_bounds bounds);

    /// Returns a number, integer or floating-point, or `fallback` when the key is absent.
    /// Throws config_error: id 202 for another type, id 203 out of bounds.
    double get_number(const std::string& key, double fallback, number_bounds bounds);

    /// Returns a duration that the file states in milliseconds. Throws the errors of get_integer().
    milliseconds get_duration(const std::string& key, milliseconds fallback, integer_bounds bounds);

    /// Returns a string, or `fallback` when the key is absent. Throws config_error (id 202).
    std::string get_string(const std::string& key, const std::string& fallback);

    /// Returns a string. Throws config_error: id 202 for another type, id 204 when absent or empty.
    std::string get_required_string(const std::string& key);

    /// Returns an array of strings, empty when the key is absent. Throws config_error (id 202).
    std::vector<std::string> get_strings(const std::string& key);

    /// Returns the table under `key`, or an empty table when it is absent.
    /// Throws config_error (id 202) when the value is not a table.
    checked_table get_table(const std::string& key);

    /// Returns the tables of the array `key`, an empty vector when it is absent. Throws
    /// config_error (id 202).
    std::vector<checked_table> get_tables(const std::string& key);

    /// Checks that all keys of the table have been read.
    /// Throws config_error (id 201) that names the first key that was not.
    void finish() const;

    /// Throws config_error whose text names the file and the path of the key.
    [[noreturn]] void fail(int id, const std::string& key, const std::string& what) const;

private:
    const toml::node* find(const std::string& key);
    [[noreturn]] void fail_type(const std::string& key, const toml::node& node,
                                const std::string& expected) const;
    [[nodiscard]] std::string path_of(const std::string& key) const;

    std::string file_;
    std::string path_;
    toml::table table_;
    std::set<std::string> read_keys_;
};

/// Reads a TOML file. Throws config_error (id 205) when it cannot be read or is not TOML.
checked_table read_toml_file(const std::string& file);

/// Parses TOML text; `name` replaces the file name in errors. Throws config_error (id 205) when the
/// text is not TOML.
checked_table read_toml_text(const std::string& name, const std::string& text);

} // namespace flamingoseam
