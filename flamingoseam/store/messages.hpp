#pragma once

#include "flamingoseam/store/config_store.hpp"

#include <cxxtools/serializationinfo.h>

namespace flamingoseam {

/// The response to GET /v1/kv.
struct get_response {
    bool found = false;
    store_record record;
};

/// The request and the response body of POST /v1/lease.
struct lease_message {
    std::string id;
    milliseconds time_to_live{0};
};

void operator<<=(cxxtools::SerializationInfo& info, const store_record& value);
void operator>>=(const cxxtools::SerializationInfo& info, store_record& value);
void operator<<=(cxxtools::SerializationInfo& info, const swap_result& value);
void operator>>=(const cxxtools::SerializationInfo& info, swap_result& value);
void operator<<=(cxxtools::SerializationInfo& info, const swap_request& value);
void operator>>=(const cxxtools::SerializationInfo& info, swap_request& value);
void operator<<=(cxxtools::SerializationInfo& info, const store_events& value);
void operator>>=(const cxxtools::SerializationInfo& info, store_events& value);
void operator<<=(cxxtools::SerializationInfo& info, const get_response& value);
void operator>>=(const cxxtools::SerializationInfo& info, get_response& value);
void operator<<=(cxxtools::SerializationInfo& info, const lease_message& value);
void operator>>=(const cxxtools::SerializationInfo& info, lease_message& value);

} // namespace flamingoseam
