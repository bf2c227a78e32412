#include "backend/connection.hpp"

#include <charconv>

#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace peridotspar::backend
{

namespace
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

/// Unacknowledged bytes for that long mean that the server is out of reach.
constexpr int unacknowledged_ms = 1500;
constexpr int probe_after_s = 1;
constexpr int probe_count = 2;

/// The seconds of a `Keep-Alive: timeout=N`.
std::optional<duration> read_keep_alive(const http::answer_head& p_head)
{
    constexpr std::string_view field = "timeout=";
    const std::string* text = http::find(p_head.headers_, "Keep-Alive");
    if (text == nullptr)
    {
        return std::nullopt;
    }
    const auto at = text->find(field);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    int seconds = 0;
    const char* end = text->data() + text->size();
    const auto result =
        std::from_chars(text->data() + at + field.size(), end, seconds);
    if (result.ec != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

connection::connection(asio::io_context& p_context,
                       asio::ip::tcp::endpoint p_server, owner& p_owner)
    : socket_(p_context), server_(std::move(p_server)), owner_(p_owner)
{
}

void connection::start(std::string p_request, bool p_without_body,
                       std::weak_ptr<call_handler> p_handler)
{
    handler_ = std::move(p_handler);
    request_ = std::move(p_request);
    reader_.begin(p_without_body);
    started_ = clock_.now();
    in_call_ = true;
    written_ = false;
    judged_ = false;
    skipping_ = false;
    if (connected_)
    {
        write();
        return;
    }
    connect();
}

void connection::connect()
{
    connecting_ = true;
    socket_.async_connect(server_,
                          [self = shared_from_this()](const error_code& p_error)
                          {
                              self->connecting_ = false;
                              if (self->closed_)
                              {
                                  return;
                              }
                              if (p_error)
                              {
                                  self->fail(call_failure::unsent);
                                  return;
                              }
                              self->connected_ = true;
                              self->set_options();
                              self->read();
                              self->write();
                          });
}

void connection::set_options()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int handle = socket_.native_handle();
    const auto set = [handle](int p_level, int p_name, int p_value)
    { setsockopt(handle, p_level, p_name, &p_value, sizeof(p_value)); };
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probe_after_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, probe_count);
}

void connection::write()
{
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](const error_code& p_error,
                                                  std::size_t p_count)
                      {
                          if (self->closed_)
                          {
                              return;
                          }
                          if (p_error)
                          {
                              self->fail(p_count > 0 ? call_failure::cut
                                                     : call_failure::unsent);
                              return;
                          }
                          self->written_ = true;
                      });
}

bool connection::is_quiet()
{
    char byte = 0;
    const auto got =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void connection::read()
{
    socket_.async_read_some(asio::buffer(bytes_),
                            [self = shared_from_this()](
                                const error_code& p_error, std::size_t p_count)
                            {
                                if (self->closed_)
                                {
                                    return;
                                }
                                if (p_error)
                                {
                                    self->take_end(p_error == asio::error::eof);
                                    return;
                                }
                                self->take({self->bytes_.data(), p_count});
                                if (!self->closed_)
                                {
                                    self->read();
                                }
                            });
}

void connection::take(std::string_view p_bytes)
{
    if (!in_call_)
    {
        // Nothing is due: the bytes belong to no request.
        close();
        return;
    }
    bool proper = reader_.feed(p_bytes);
    while (proper && in_call_ && !closed_)
    {
        judge_head();
        if (closed_ || !judged_)
        {
            return;
        }
        std::string body = reader_.take_body();
        const auto handler = handler_.lock();
        if (!skipping_ && !body.empty() && handler)
        {
            handler->on_body(std::move(body));
        }
        if (closed_ || !reader_.is_whole())
        {
            return;
        }
        if (!skipping_)
        {
            finish();
            return;
        }
        judged_ = false;
        skipping_ = false;
        proper = reader_.begin_next();
    }
    if (!proper)
    {
        fail(call_failure::malformed);
    }
}

void connection::judge_head()
{
    if (judged_ || !reader_.head())
    {
        return;
    }
    judged_ = true;
    const auto handler = handler_.lock();
    skipping_ = handler != nullptr && !handler->on_head(*reader_.head());
}

void connection::finish()
{
    const bool reusable = written_ && reader_.head()->keep_alive_ &&
                          !reader_.head()->ends_with_connection_ &&
                          !reader_.has_excess();
    if (const auto told = read_keep_alive(*reader_.head()))
    {
        keep_alive_ = told;
    }
    in_call_ = false;
    const auto handler = handler_.lock();
    handler_.reset();
    if (reusable)
    {
        owner_.on_idle(shared_from_this());
    }
    else
    {
        close();
    }
    if (handler)
    {
        handler->on_whole();
    }
}

void connection::take_end(bool p_orderly)
{
    const bool ends_answer = in_call_ && p_orderly && judged_ && !skipping_ &&
                             reader_.head()->ends_with_connection_ &&
                             reader_.feed_end();
    if (ends_answer)
    {
        finish();
        return;
    }
    if (in_call_)
    {
        fail(call_failure::cut);
        return;
    }
    close();
}

void connection::fail(call_failure p_failure)
{
    const auto handler = handler_.lock();
    close();
    if (handler)
    {
        handler->on_failure(p_failure);
    }
}

void connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    in_call_ = false;
    handler_.reset();
    error_code ignored;
    socket_.close(ignored);
    owner_.on_closed(shared_from_this());
}

} // namespace peridotspar::backend
