#include "standins/store_view.hpp"

#include "standins/base64.hpp"

#include <array>
#include <stdexcept>
#include <utility>

namespace flamingoseam::standin {

namespace {

using nlohmann::json;

void replace_all(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// Replaces text in the value of an item, which is base64 text.
void replace_in_item(json& item, const std::string& from, const std::string& to)
{
    const auto value = item.find("value");
    if (value != item.end()) {
        auto bytes = from_base64(value->get<std::string>());
        replace_all(bytes, from, to);
        *value = to_base64(bytes);
    }
}

/// Replaces text in the values of all items of a body, which is returned. A body that is not JSON
/// is returned as it is.
std::string replace_in_body(const std::string& text, const std::string& from, const std::string& to)
{
    auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return text;
    }
    replace_in_item(body, from, to); // The body of a single item.
    for (const auto* name : std::array{"items", "events", "puts"}) {
        if (!body.contains(name)) {
            continue;
        }
        for (auto& item : body[name]) {
            replace_in_item(item, from, to);
        }
    }
    return body.dump();
}

} // namespace

store_view::store_view(platform_store& store, std::vector<seen_prefix> prefixes)
    : store_(store), prefixes_(std::move(prefixes))
{
    for (const auto& prefix : prefixes_) {
        if (prefix.stored.empty() || prefix.seen.empty()) {
            throw std::invalid_argument("a view of the store needs two prefixes of addresses");
        }
    }
}

std::optional<http_response> store_view::handle(http_request request)
{
    for (const auto& prefix : prefixes_) {
        request.body = replace_in_body(request.body, prefix.seen, prefix.stored);
    }
    auto response = store_.handle(request);
    for (const auto& prefix : prefixes_) {
        if (response) {
            response->body = replace_in_body(response->body, prefix.stored, prefix.seen);
        }
    }
    return response;
}

} // namespace flamingoseam::standin
