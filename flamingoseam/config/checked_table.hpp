#pragma once

#include "flamingoseam/core/clock.hpp"

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace flamingoseam {

/// The smallest and the largest value that a whole-number setting may have, both allowed.
struct integer_bounds {
    std::int64_t least = 0;
    std::int64_t most = 0;
};

/// The smallest and the largest value that a number may have, both allowed.
struct number_bounds {
    double least = 0;
    double most = 0;
};

/// Reads one TOML table key by key and refuses what it does not expect. Every error names the file,
/// the key, the value seen and the bounds.
class checked_table {
public:
    /// `path` is the dotted path of the table, empty for the root.
    checked_table(std::string file, std::string path, const toml::table& table);

    /// Returns a whole number, or `fallback` when the key is absent.
    /// Throws config_error: id 202 for another type, id 203 out of bounds.
    std::int64_t get_integer(const std::string& key, std::int64_t fallback, integer_bounds bounds);

    /// Returns a number, or `fallback` when the key is absent.
    /// Throws config_error: id 202 for another type, id 203 out of bounds.
    double get_number(const std::string& key, double fallback, number_bounds bounds);

    /// Returns a duration that the file gives in milliseconds. Throws as get_integer does.
    milliseconds get_duration(const std::string& key, milliseconds fallback, integer_bounds bounds);

    /// Returns a text, or `fallback` when the key is absent. Throws config_error (id 202).
    std::string get_string(const std::string& key, const std::string& fallback);

    /// Returns a text. Throws config_error: id 202 for another type, id 204 when absent or empty.
    std::string get_required_string(const std::string& key);

    /// Returns a list of texts, empty when the key is absent. Throws config_error (id 202).
    std::vector<std::string> get_strings(const std::string& key);

    /// Returns the table below `key`, an empty one when it is absent.
    /// Throws config_error (id 202) when the key holds something else.
    checked_table get_table(const std::string& key);

    /// Returns the tables of the array `key`, none when it is absent. Throws config_error (id 202).
    std::vector<checked_table> get_tables(const std::string& key);

    /// Throws config_error (id 201) that names the first key that nothing has asked for.
    void finish() const;

    /// Throws config_error with this table's file and the key's path.
    [[noreturn]] void fail(int id, const std::string& key, const std::string& what) const;

private:
    const toml::node* find(const std::string& key);
    [[noreturn]] void fail_type(const std::string& key, const toml::node& node,
                                const std::string& expected) const;
    [[nodiscard]] std::string path_of(const std::string& key) const;

    std::string file_;
    std::string path_;
    toml::table table_;
    std::set<std::string> asked_;
};

/// Reads a TOML file. Throws config_error: id 205 when it can't be read or is not TOML.
checked_table read_toml_file(const std::string& file);

/// Reads TOML text; `name` stands for the file in errors. Throws config_error (id 205).
checked_table read_toml_text(const std::string& name, const std::string& text);

} // namespace flamingoseam
