#pragma once

#include "flamingoseam/http/http_client.hpp"

#include <cxxtools/http/request.h>

namespace flamingoseam::detail {

/// Returns a request in the form in which the HTTP library sends it. Throws an exception if the
/// headers are too long.
cxxtools::http::Request to_message(const http_call& request);

} // namespace flamingoseam::detail
