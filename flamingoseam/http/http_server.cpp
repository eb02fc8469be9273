#include "flamingoseam/http/http_server.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/read_available.hpp"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <glog/logging.h>

#include <atomic>
#include <iterator>
#include <vector>

namespace flamingoseam {

std::string http_request::query_or(const std::string& name, const std::string& fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

namespace detail {

class handler_service : public cxxtools::http::CachedServiceBase {
public:
    handler_service(http_handler handler, const http_server_options& options)
        : handler_(std::move(handler)), max_body_bytes_(options.max_body_bytes),
          kept_headers_(options.kept_headers)
    {
    }

    cxxtools::http::Responder* newResponder() override;

    const http_handler& handler() const { return handler_; }
    std::size_t max_body_bytes() const { return max_body_bytes_; }
    const std::vector<std::string>& kept_headers() const { return kept_headers_; }

    void close_after_answers() { closing_ = true; }
    bool is_closing() const { return closing_; }

private:
    http_handler handler_;
    std::size_t max_body_bytes_;
    std::vector<std::string> kept_headers_;
    std::atomic<bool> closing_{false};
};

namespace {

std::string header_or_empty(const cxxtools::http::Request& request, const char* name)
{
    const char* value = request.getHeader(name);
    return value == nullptr ? std::string() : std::string(value);
}

http_request to_http_request(const cxxtools::http::Request& request,
                             const std::vector<std::string>& kept_headers)
{
    http_request result;
    result.method = request.method();
    result.path = request.url();
    result.authorization = header_or_empty(request, "Authorization");
    result.traceparent = header_or_empty(request, "traceparent");
    for (const auto& name : kept_headers) {
        result.headers.emplace(name, header_or_empty(request, name.c_str()));
    }
    cxxtools::QueryParams parameters(request.qparams());
    std::vector<std::string> names;
    parameters.getNames(std::back_inserter(names));
    for (const auto& name : names) {
        result.query.emplace(name, parameters.param(name));
    }
    return result;
}

class handler_responder : public cxxtools::http::Responder {
public:
    explicit handler_responder(handler_service& service)
        : cxxtools::http::Responder(service), service_(service)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket& /*socket*/, std::istream& /*in*/,
                      cxxtools::http::Request& /*request*/) override
    {
        body_.clear();
        too_large_ = false;
    }

    std::size_t readBody(std::istream& in) override
    {
        return read_available(
            in, [this](const char* data, std::size_t size) { append_body(data, size); });
    }

    void reply(std::ostream& out, cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override
    {
        auto received = to_http_request(request, service_.kept_headers());
        received.body = std::move(body_);
        received.body_too_large = too_large_;
        const auto response = handle(received);
        if (response.close_without_answer) {
            throw transport_error(
                302, "the handler requested to close the connection without a response", true);
        }
        reply.httpReturn(static_cast<unsigned>(response.status), "");
        reply.setHeader("Content-Type", response.content_type.c_str());
        for (const auto& [name, value] : response.headers) {
            reply.setHeader(name.c_str(), value.c_str());
        }
        if (service_.is_closing()) {
            reply.setHeader("Connection", "close");
        }
        out << response.body;
    }

private:
    void append_body(const char* data, std::size_t size)
    {
        if (body_.size() + size > service_.max_body_bytes()) {
            too_large_ = true;
            return;
        }
        body_.append(data, size);
    }

    http_response handle(const http_request& request)
    {
        try {
            return service_.handler()(request);
        } catch (const parse_error& cause) {
            return {.status = 400, .body = cause.what(), .content_type = "text/plain"};
        } catch (const std::exception& cause) {
            LOG(ERROR) << "handler of " << request.path << " failed: " << cause.what();
            return {.status = 500, .body = cause.what(), .content_type = "text/plain"};
        }
    }

    handler_service& service_;
    std::string body_;
    bool too_large_ = false;
};

} // namespace

cxxtools::http::Responder* handler_service::newResponder()
{
    return new handler_responder(*this);
}

} // namespace detail

http_server::http_server(const http_server_options& options, http_handler handler)
    : service_(std::make_unique<detail::handler_service>(std::move(handler), options))
{
    try {
        server_ = std::make_unique<cxxtools::http::Server>(loop_, options.address, options.port);
    } catch (const std::exception& cause) {
        throw transport_error(301,
                              "cannot listen on " + options.address + ":" +
                                  std::to_string(options.port) + ": " + cause.what(),
                              false);
    }
    server_->minThreads(4);
    server_->maxThreads(options.max_threads);
    server_->readTimeout(cxxtools::Milliseconds(options.read_timeout.count()));
    server_->keepAliveTimeout(cxxtools::Milliseconds(options.keep_alive_timeout.count()));
    server_->addService(cxxtools::Regex(".*"), *service_);
    thread_ = std::thread([this] { loop_.run(); });
}

void http_server::close_after_answers()
{
    service_->close_after_answers();
}

void http_server::stop()
{
    if (!server_) {
        return;
    }
    close_after_answers();
    loop_.exit();
    thread_.join();
    server_.reset();
}

http_server::~http_server()
{
    stop();
}

} // namespace flamingoseam
