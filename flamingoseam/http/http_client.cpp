#include "flamingoseam/http/http_client.hpp"

#include "flamingoseam/core/error.hpp"

#include <cxxtools/http/client.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/query_params.h>

#include <charconv>

namespace flamingoseam {

std::string to_string(const endpoint& value)
{
    return value.address + ":" + std::to_string(value.port);
}

endpoint endpoint_from_string(const std::string& text)
{
    const auto colon = text.rfind(':');
    unsigned short port = 0;
    if (colon != std::string::npos && colon > 0) {
        const auto* end = text.data() + text.size();
        const auto [stop, code] = std::from_chars(text.data() + colon + 1, end, port);
        if (code == std::errc() && stop == end && port > 0) {
            return {text.substr(0, colon), port};
        }
    }
    throw parse_error(103, "'" + text + "' is not ADDRESS:PORT with a port from 1 to 65535");
}

std::string url_encode(const std::string& text)
{
    cxxtools::QueryParams parameters;
    parameters.add("k", text);
    return parameters.getUrl().substr(2);
}

http_client::http_client(endpoint server) : server_(std::move(server)) {}

http_client::~http_client() = default;

http_answer http_client::call(const http_call& request)
{
    if (!client_) {
        client_ = std::make_unique<cxxtools::http::Client>(server_.address, server_.port);
    }
    cxxtools::http::Request message(request.path);
    message.method(request.method);
    if (!request.authorization.empty()) {
        message.setHeader("Authorization", request.authorization.c_str());
    }
    if (!request.traceparent.empty()) {
        message.setHeader("traceparent", request.traceparent.c_str());
    }
    for (const auto& [name, value] : request.headers) {
        message.setHeader(name.c_str(), value.c_str());
    }
    message.body() << request.body;
    try {
        const auto timeout = cxxtools::Milliseconds(request.timeout.count());
        const auto& header = client_->execute(message, timeout, timeout);
        http_answer answer;
        answer.status = static_cast<int>(header.httpReturnCode());
        answer.body = client_->readBody();
        return answer;
    } catch (const std::exception& cause) {
        client_.reset();
        throw transport_error(
            304, "no answer from " + to_string(server_) + request.path + ": " + cause.what(), true);
    }
}

} // namespace flamingoseam
