#pragma once

#include "flamingoseam/config/checked_table.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <string>
#include <vector>

namespace flamingoseam::detail {

/// Reads a TCP port from 1 to 65535.
unsigned short read_port(checked_table& table, const std::string& key, unsigned short fallback);

/// Reads a required "ADDRESS:PORT". Throws config_error (id 206) that names the text.
endpoint read_endpoint(checked_table& table, const std::string& key);

/// Reads a list of "ADDRESS:PORT". Throws config_error (id 206) that names the text.
std::vector<endpoint> read_endpoints(checked_table& table, const std::string& key);

/// Returns `name` as it is when it is absolute, else in the folder of `file`.
std::string beside(const std::string& file, const std::string& name);

} // namespace flamingoseam::detail
