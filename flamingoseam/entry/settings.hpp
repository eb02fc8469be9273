#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace flamingoseam {

/// Settings of flamingoseam-entry.
struct entry_settings {
    std::string address;
    std::string zone;
    unsigned short port = 8080;
    std::vector<endpoint> schedulers; ///< RPC interfaces of all schedulers in the region.
    std::string span_file;
    std::size_t max_body_bytes = 256'000; ///< Maximum size of the body of a request.
    unsigned max_open_calls = 256;        ///< Requests handled concurrently.
    milliseconds call_timeout{30'000};    ///< Maximum time that a call is kept open.
    milliseconds sender_timeout{5000};    ///< Read timeout for slow callers.
    milliseconds drain_timeout{20'000};   ///< Maximum wait for calls on shutdown.
};

/// Reads the settings of an entry from a TOML file.
/// Throws config_error (ids 201 to 206), which names file, key, value and bounds.
entry_settings read_entry_settings(const std::string& file);

} // namespace flamingoseam
