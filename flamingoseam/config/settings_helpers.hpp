#pragma once

#include "flamingoseam/config/checked_table.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <string>
#include <vector>

namespace flamingoseam::detail {

/// Reads a TCP port from 1 to 65535, or returns `fallback` when the key is absent. Throws the
/// errors of checked_table::get_integer().
unsigned short read_port(checked_table& table, const std::string& key, unsigned short fallback);

/// Reads a required "ADDRESS:PORT". Throws config_error (id 206) with the text when it is
/// malformed.
endpoint read_endpoint(checked_table& table, const std::string& key);

/// Reads an array of "ADDRESS:PORT". Throws config_error (id 206) with the text of a malformed
/// element.
std::vector<endpoint> read_endpoints(checked_table& table, const std::string& key);

/// Returns `name` when it is an absolute path, otherwise `name` resolved against the directory of
/// `file`.
std::string resolve_path(const std::string& file, const std::string& name);

} // namespace flamingoseam::detail
