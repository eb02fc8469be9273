#include "flamingoseam/http/http_client.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/connection_selector.hpp"
#include "flamingoseam/http/http_message.hpp"
#include "flamingoseam/http/read_available.hpp"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/query_params.h>

#include <charconv>
#include <exception>

namespace flamingoseam {

namespace detail {

cxxtools::http::Request to_message(const http_call& request)
{
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
    return message;
}

/// A connection on which a request is sent at most once. The blocking calls of the HTTP library
/// send a request again, after a timeout on a connection that was used before.
class single_send_client : public cxxtools::Connectable {
public:
    explicit single_send_client(const endpoint& server)
        : client_(selector_, server.address, server.port)
    {
        cxxtools::connect(client_.bodyAvailable, *this, &single_send_client::read_body);
        cxxtools::connect(client_.replyFinished, *this, &single_send_client::on_reply_finished);
    }

    /// Throws an exception if there is no whole answer within the timeout.
    http_answer call(const cxxtools::http::Request& request, milliseconds timeout)
    {
        body_.clear();
        failure_ = nullptr;
        is_finished_ = false;
        const auto end = now() + timeout;
        selector_.keep_connection();
        client_.beginExecute(request);
        while (!is_finished_) {
            selector_.check_connection();
            const auto left = std::chrono::ceil<milliseconds>(end - now());
            if (left <= milliseconds(0)) {
                throw cxxtools::IOTimeout();
            }
            selector_.wait(cxxtools::Milliseconds(left.count()));
        }
        if (failure_) {
            std::rethrow_exception(failure_);
        }
        return {.status = static_cast<int>(client_.header().httpReturnCode()),
                .body = std::move(body_)};
    }

private:
    std::size_t read_body(cxxtools::http::Client& client)
    {
        return read_available(
            client.in(), [this](const char* data, std::size_t size) { body_.append(data, size); });
    }

    void on_reply_finished(cxxtools::http::Client& client)
    {
        is_finished_ = true;
        try {
            client.endExecute();
        } catch (...) {
            failure_ = std::current_exception(); // Rethrown by call(), outside the library.
        }
    }

    connection_selector selector_;
    cxxtools::http::Client client_;
    std::string body_;
    std::exception_ptr failure_;
    bool is_finished_ = false;
};

} // namespace detail

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

http_answer http_client::send(const cxxtools::http::Request& message, const http_call& request)
{
    if (!request.may_send_again) {
        if (!single_send_client_) {
            single_send_client_ = std::make_unique<detail::single_send_client>(server_);
        }
        return single_send_client_->call(message, request.timeout);
    }
    if (!client_) {
        client_ = std::make_unique<cxxtools::http::Client>(server_.address, server_.port);
    }
    const auto timeout = cxxtools::Milliseconds(request.timeout.count());
    const auto& header = client_->execute(message, timeout, timeout);
    http_answer answer;
    answer.status = static_cast<int>(header.httpReturnCode());
    answer.body = client_->readBody();
    return answer;
}

http_answer http_client::call(const http_call& request)
{
    bool is_sending = false;
    try {
        const auto message = detail::to_message(request);
        is_sending = true;
        return send(message, request);
    } catch (...) {
        const auto cause = describe_current_exception();
        client_.reset();
        single_send_client_.reset();
        throw transport_error(
            304, "no answer from " + to_string(server_) + request.path + ": " + cause, is_sending);
    }
}

} // namespace flamingoseam
