#include "flamingoseam/store/http_config_store.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/store/messages.hpp"

namespace flamingoseam {

http_config_store::http_config_store(const endpoint& server, milliseconds timeout)
    : timeout_(timeout), call_client_(server), lease_client_(server), watch_client_(server)
{
}

std::string http_config_store::call(http_client& client, std::mutex& mutex,
                                    const http_call& request)
{
    const std::lock_guard lock(mutex);
    auto response = client.call(request);
    if (response.status != 200) {
        throw transport_error(304,
                              "store returned HTTP status " + std::to_string(response.status) +
                                  " for " + request.path,
                              true);
    }
    return std::move(response.body);
}

std::optional<store_record> http_config_store::get(const std::string& key)
{
    const auto body = call(call_client_, call_mutex_,
                           {.path = "/v1/kv?key=" + url_encode(key), .timeout = timeout_});
    auto response = from_json<get_response>(body);
    if (!response.found) {
        return std::nullopt;
    }
    return response.record;
}

store_events http_config_store::list(const std::string& prefix)
{
    const auto body = call(call_client_, call_mutex_,
                           {.path = "/v1/list?prefix=" + url_encode(prefix), .timeout = timeout_});
    return from_json<store_events>(body);
}

swap_result http_config_store::compare_and_swap(const swap_request& request)
{
    const auto body =
        call(call_client_, call_mutex_,
             {.method = "POST", .path = "/v1/cas", .body = to_json(request), .timeout = timeout_});
    return from_json<swap_result>(body);
}

std::string http_config_store::keep_alive(const std::string& id, milliseconds time_to_live)
{
    const lease_message message{.id = id, .time_to_live = time_to_live};
    const auto body = call(
        lease_client_, lease_mutex_,
        {.method = "POST", .path = "/v1/lease", .body = to_json(message), .timeout = timeout_});
    return from_json<lease_message>(body).id;
}

store_events http_config_store::watch(const std::string& prefix, std::uint64_t revision,
                                      milliseconds wait)
{
    const auto body = call(watch_client_, watch_mutex_,
                           {.path = "/v1/watch?prefix=" + url_encode(prefix) +
                                    "&after=" + std::to_string(revision) +
                                    "&wait_ms=" + std::to_string(wait.count()),
                            .timeout = wait + timeout_});
    return from_json<store_events>(body);
}

} // namespace flamingoseam
