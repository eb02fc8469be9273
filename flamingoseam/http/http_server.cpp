#include "flamingoseam/http/http_server.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/read_available.hpp"

#include <cxxtools/connectable.h>
#include <cxxtools/eventloop.h>

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <glog/logging.h>

#include <atomic>
#include <future>
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

    /// Calls the handler no more.
    void withdraw() { is_withdrawn_ = true; }
    bool is_withdrawn() const { return is_withdrawn_; }

private:
    http_handler handler_;
    std::size_t max_body_bytes_;
    std::vector<std::string> kept_headers_;
    std::atomic<bool> closing_{false};
    std::atomic<bool> is_withdrawn_{false};
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
        const auto response = handle(request);
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

    /// Returns the handler's response, or an error response if an exception of any type is thrown.
    http_response handle(const cxxtools::http::Request& request)
    {
        try {
            if (service_.is_withdrawn()) {
                return {.status = 503, .body = "{}"};
            }
            auto received = to_http_request(request, service_.kept_headers());
            received.body = std::move(body_);
            received.body_too_large = too_large_;
            return service_.handler()(received);
        } catch (const parse_error& cause) {
            return {.status = 400, .body = cause.what(), .content_type = "text/plain"};
        } catch (...) { // An exception that is no std::exception would end a thread of cxxtools.
            const auto cause = describe_current_exception();
            LOG(ERROR) << "handler of " << request.url() << " failed: " << cause;
            return {.status = 500, .body = cause, .content_type = "text/plain"};
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

/// The server of cxxtools with its loop of events, which runs on the thread of http_server.
class http_server_loop : public cxxtools::Connectable {
public:
    http_server_loop(const http_server_options& options, http_handler handler)
        : service_(std::move(handler), options), server_(loop_, options.address, options.port)
    {
        server_.minThreads(options.max_threads);
        server_.maxThreads(options.max_threads);
        server_.readTimeout(cxxtools::Milliseconds(options.read_timeout.count()));
        server_.keepAliveTimeout(cxxtools::Milliseconds(options.keep_alive_timeout.count()));
        server_.addService(cxxtools::Regex(".*"), service_);
        cxxtools::connect(server_.runmodeChanged, *this, &http_server_loop::on_runmode);
    }

    handler_service& service() { return service_; }

    /// Waits until all threads of the server have started. Throws what prevented it.
    void wait_until_started() { started_.get_future().get(); }

    /// Runs the loop until stop() is called. After an exception the server goes on with the
    /// connections that it has, except if not all of its threads could be started.
    void run()
    {
        try {
            loop_.run();
            return;
        } catch (...) {
            if (!has_started_) {
                started_.set_exception(std::current_exception());
                return;
            }
            LOG(ERROR) << "an HTTP server goes on after: " << describe_current_exception();
        }
        run_until_done("the loop of an HTTP server", [this] { loop_.run(); });
    }

    void stop() { loop_.exit(); }

private:
    void on_runmode(cxxtools::http::Server::Runmode mode)
    {
        if (mode == cxxtools::http::Server::Running && !has_started_) {
            has_started_ = true;
            started_.set_value();
        }
    }

    handler_service service_;
    cxxtools::EventLoop loop_;
    cxxtools::http::Server server_;
    std::promise<void> started_;
    bool has_started_ = false; ///< Used by the thread that calls run() only.
};

} // namespace detail

namespace {

std::unique_ptr<detail::http_server_loop> make_loop(const http_server_options& options,
                                                    http_handler handler)
{
    try {
        return std::make_unique<detail::http_server_loop>(options, std::move(handler));
    } catch (const std::exception& cause) {
        throw transport_error(301,
                              "cannot listen on " + options.address + ":" +
                                  std::to_string(options.port) + ": " + cause.what(),
                              false);
    }
}

} // namespace

http_server::http_server(const http_server_options& options, http_handler handler)
    : loop_(make_loop(options, std::move(handler)))
{
    thread_ = service_thread("HTTP server", [this] { loop_->run(); });
    try {
        loop_->wait_until_started();
    } catch (...) {
        thread_.join();
        loop_->service().withdraw();
        // cxxtools would wait for ever for the threads that could not be started. Those that were
        // started remain until the process ends.
        static_cast<void>(loop_.release());
        throw resource_error(402, "can't start the " + std::to_string(options.max_threads) +
                                      " threads of the server of " + options.address + ":" +
                                      std::to_string(options.port) + ": " +
                                      describe_current_exception());
    }
}

void http_server::close_after_answers()
{
    if (loop_) {
        loop_->service().close_after_answers();
    }
}

void http_server::stop()
{
    if (!loop_) {
        return;
    }
    close_after_answers();
    loop_->stop();
    thread_.join();
    loop_.reset();
}

http_server::~http_server()
{
    stop();
}

} // namespace flamingoseam
