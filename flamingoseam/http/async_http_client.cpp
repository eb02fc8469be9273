#include "flamingoseam/http/async_http_client.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/connection_selector.hpp"
#include "flamingoseam/http/http_message.hpp"
#include "flamingoseam/http/read_available.hpp"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/net/tcpsocket.h>

#include <exception>
#include <utility>

namespace flamingoseam {

namespace detail {

/// A connection of the HTTP library that sends one request at a time. Has a selector of its own:
/// one for the connections of a whole loop would handle all of them at each event.
class async_connection : public cxxtools::Connectable {
public:
    /// `on_finished` must not destroy the connection.
    async_connection(io_loop& loop, const endpoint& server, std::function<void()> on_finished)
        : on_finished_(std::move(on_finished)), client_(selector_, server.address, server.port),
          watch_(loop, [this] { handle_events(); })
    {
        cxxtools::connect(client_.bodyAvailable, *this, &async_connection::read_body);
        cxxtools::connect(client_.replyFinished, *this, &async_connection::on_reply_finished);
    }

    void begin(const http_call& request)
    {
        request_ = to_message(request); // The library uses it until the reply is finished.
        body_.clear();
        failure_ = nullptr;
        is_finished_ = false;
        choose_connection(request.may_send_again);
        client_.beginExecute(request_);
        handle_events();
    }

    /// Throws an exception if there is no whole answer yet.
    http_answer take_answer()
    {
        if (!is_finished_) {
            throw cxxtools::IOTimeout();
        }
        if (failure_) {
            std::rethrow_exception(failure_);
        }
        return {.status = static_cast<int>(client_.header().httpReturnCode()),
                .body = std::move(body_)};
    }

private:
    void choose_connection(bool may_send_again)
    {
        if (may_send_again) {
            selector_.release_connection();
        } else {
            selector_.keep_connection();
        }
    }

    void handle_events()
    {
        try {
            bool has_events = true;
            while (!is_finished_ && has_events) {
                selector_.check_connection();
                has_events = selector_.wait(cxxtools::Milliseconds(0));
            }
            if (!is_finished_) {
                wait_for_socket();
                return;
            }
        } catch (...) {
            is_finished_ = true;
            failure_ = std::current_exception();
        }
        on_finished_();
    }

    void wait_for_socket()
    {
        const auto& socket = selector_.socket();
        watch_.wait_for(socket.getFd(), !socket.isConnected() || socket.writing());
    }

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
            failure_ = std::current_exception(); // Rethrown by take_answer(), outside the library.
        }
    }

    std::function<void()> on_finished_;
    connection_selector selector_;
    cxxtools::http::Request request_;
    cxxtools::http::Client client_;
    io_watch watch_;
    std::string body_;
    std::exception_ptr failure_;
    bool is_finished_ = false;
};

} // namespace detail

async_http_client::async_http_client(io_loop& loop, endpoint server)
    : loop_(loop), server_(std::move(server)), end_(loop, [this] { finish(); })
{
}

async_http_client::~async_http_client() = default;

void async_http_client::call(const http_call& request, answer_handler handler)
{
    path_ = request.path;
    handler_ = std::move(handler);
    failure_ = nullptr;
    end_.start(request.timeout);
    try {
        if (!connection_) {
            connection_ = std::make_unique<detail::async_connection>(
                loop_, server_, [this] { end_.start(milliseconds(0)); });
        }
        connection_->begin(request);
    } catch (...) {
        failure_ = std::current_exception();
        end_.start(milliseconds(0));
    }
}

void async_http_client::finish()
{
    const auto handler = std::exchange(handler_, nullptr);
    handler(result_of([this] { return take_answer(); }));
}

http_answer async_http_client::take_answer()
{
    try {
        if (failure_) {
            std::rethrow_exception(failure_);
        }
        return connection_->take_answer();
    } catch (...) {
        connection_.reset();
        throw transport_error(304,
                              "no answer from " + to_string(server_) + path_ + ": " +
                                  describe_current_exception(),
                              true);
    }
}

} // namespace flamingoseam
