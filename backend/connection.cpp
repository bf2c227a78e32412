#include "backend/connection.hpp"

#include "backend/silence_limits.hpp"
#include "core/log.hpp"

#include <charconv>

#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace peridotspar::backend
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;
using error_code = boost::system::error_code;

/// Of responses of other requests; a server that sends more is broken.
constexpr std::size_t max_discarded_bytes = 16U << 20U;

/// A server that has ended its response must go on acknowledging the request's
/// bytes, without a pause longer than this.
constexpr duration max_acknowledge_pause = 1s;
constexpr duration end_check_interval = 10ms;
constexpr std::size_t max_write_bytes = 65536;

/// The timeout of a `Keep-Alive: timeout=SECONDS` header.
std::optional<duration>
parse_keep_alive_timeout(const http::response_head& p_head)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string* text = http::find_header(p_head.headers_, "Keep-Alive");
    if (text == nullptr)
    {
        return std::nullopt;
    }
    const auto position = text->find(parameter);
    if (position == std::string::npos)
    {
        return std::nullopt;
    }
    int seconds = 0;
    const char* end = text->data() + text->size();
    const auto result = std::from_chars(
        text->data() + position + parameter.size(), end, seconds);
    if (result.ec != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

connection::connection(asio::io_context& p_context,
                       asio::ip::tcp::endpoint p_server, owner& p_owner)
    : socket_(p_context),
      end_timer_(p_context),
      server_(std::move(p_server)),
      owner_(p_owner)
{
}

void connection::start(std::string p_request, bool p_is_head_request,
                       std::weak_ptr<call_handler> p_handler)
{
    handler_ = std::move(p_handler);
    request_ = std::move(p_request);
    reader_.begin(p_is_head_request);
    started_at_ = clock_.now();
    in_call_ = true;
    request_written_ = false;
    request_bytes_ = request_.size();
    unwritten_bytes_ = request_bytes_;
    head_delivered_ = false;
    discarding_response_ = false;
    discarded_bytes_ = 0;
    if (connected_)
    {
        write();
        return;
    }
    connect();
}

void connection::open()
{
    started_at_ = clock_.now();
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
                              self->connected_at_ = self->clock_.now();
                              self->set_options();
                              self->read();
                              if (!self->in_call_)
                              {
                                  self->owner_.on_idle(self);
                                  return;
                              }
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
    constexpr silence_limits limits;
    const auto to_int = [](duration p_time, duration p_unit)
    { return static_cast<int>(p_time / p_unit); };
    const int interval_s = to_int(limits.probe_interval_, 1s);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, to_int(limits.user_timeout_, 1ms));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, interval_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, limits.probes_);
}

void connection::write()
{
    const auto update_progress =
        [self = shared_from_this()](const error_code& p_error,
                                    std::size_t p_count) -> std::size_t
    {
        self->unwritten_bytes_ = self->request_bytes_ - p_count;
        return p_error ? 0 : max_write_bytes;
    };
    asio::async_write(socket_, asio::buffer(request_), update_progress,
                      [self = shared_from_this()](const error_code& p_error,
                                                  std::size_t p_count)
                      {
                          if (self->closed_)
                          {
                              return;
                          }
                          if (p_error)
                          {
                              self->fail(p_count > 0
                                             ? call_failure::connection_lost
                                             : call_failure::unsent);
                              return;
                          }
                          self->request_written_ = true;
                          self->unwritten_bytes_ = 0;
                          std::string().swap(self->request_);
                      });
}

std::size_t connection::unacknowledged_bytes()
{
    int queued = 0;
    const bool known = connected_ && !closed_ &&
                       ::ioctl(socket_.native_handle(), SIOCOUTQ, &queued) == 0;
    return unwritten_bytes_ + static_cast<std::size_t>(known ? queued : 0);
}

bool connection::is_reusable()
{
    char byte = 0;
    const auto received =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void connection::resume_reading()
{
    paused_ = false;
    if (connected_)
    {
        read();
    }
}

void connection::read()
{
    if (reading_ || paused_ || closed_)
    {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(bytes_),
        [self = shared_from_this()](const error_code& p_error,
                                    std::size_t p_count)
        {
            self->reading_ = false;
            if (self->closed_)
            {
                return;
            }
            if (p_error)
            {
                self->on_read_end(p_error == asio::error::eof);
                return;
            }
            self->on_bytes({self->bytes_.data(), p_count});
            self->read();
        });
}

void connection::on_bytes(std::string_view p_bytes)
{
    if (!in_call_)
    {
        // No response is expected, so the bytes belong to no request.
        close();
        return;
    }
    bool valid = reader_.feed(p_bytes);
    while (valid && in_call_ && !closed_)
    {
        deliver_head();
        if (closed_ || !head_delivered_)
        {
            return;
        }
        std::string body = reader_.take_body();
        const auto handler = handler_.lock();
        if (discarding_response_)
        {
            discarded_bytes_ += body.size();
            valid = discarded_bytes_ <= max_discarded_bytes;
        }
        else if (!body.empty() && handler)
        {
            handler->on_body(std::move(body));
        }
        if (!valid)
        {
            break;
        }
        if (closed_ || !reader_.is_complete())
        {
            return;
        }
        if (!discarding_response_)
        {
            complete_call();
            return;
        }
        head_delivered_ = false;
        discarding_response_ = false;
        valid = reader_.begin_next();
    }
    if (!valid)
    {
        fail(call_failure::malformed);
    }
}

void connection::deliver_head()
{
    if (head_delivered_ || !reader_.head())
    {
        return;
    }
    head_delivered_ = true;
    const auto handler = handler_.lock();
    discarding_response_ =
        handler != nullptr && !handler->on_head(*reader_.head());
    brought_foreign_response_ |= discarding_response_;
}

void connection::complete_call()
{
    const bool reusable = request_written_ && reader_.head()->keep_alive_ &&
                          !reader_.head()->close_delimited_ &&
                          !reader_.has_excess() && !brought_foreign_response_;
    if (const auto timeout = parse_keep_alive_timeout(*reader_.head()))
    {
        keep_alive_timeout_ = timeout;
    }
    in_call_ = false;
    paused_ = false;
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
        handler->on_complete();
    }
}

void connection::on_read_end(bool p_is_eof)
{
    if (!in_call_)
    {
        close();
        return;
    }
    const bool ends_response = p_is_eof && head_delivered_ &&
                               !discarding_response_ &&
                               reader_.head()->close_delimited_;
    if (!ends_response)
    {
        fail(call_failure::connection_lost);
        return;
    }
    unread_bytes_ = unacknowledged_bytes();
    unread_since_ = clock_.now();
    check_end();
}

void connection::check_end()
{
    // A reset that a failed write was told of looks like an end to the read
    // after it. So such a response is complete only once the server has the
    // whole request.
    const time_point now = clock_.now();
    const std::size_t unread_bytes = unacknowledged_bytes();
    if (unread_bytes < unread_bytes_)
    {
        unread_since_ = now;
    }
    unread_bytes_ = unread_bytes;
    if (has_socket_error() || now - unread_since_ > max_acknowledge_pause)
    {
        log_event(log_level::info, "call.end_not_confirmed")
            .with("server", server_.address().to_string() + ":" +
                                std::to_string(server_.port()))
            .with("unread_bytes", unread_bytes)
            .with("request_bytes", request_bytes_);
        fail(call_failure::connection_lost);
        return;
    }
    if (request_written_ && unread_bytes == 0)
    {
        if (reader_.feed_eof())
        {
            complete_call();
            return;
        }
        fail(call_failure::connection_lost);
        return;
    }
    end_timer_.expires_after(end_check_interval);
    end_timer_.async_wait(
        [self = shared_from_this()](const error_code& p_error)
        {
            if (!p_error && !self->closed_)
            {
                self->check_end();
            }
        });
}

bool connection::has_socket_error()
{
    int error = 0;
    socklen_t size = sizeof(error);
    return ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error,
                        &size) == 0 &&
           error != 0;
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
    error_code ignored;
    if (in_call_ && connected_)
    {
        // Without a reset, the close waits until the server has read the
        // request.
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    in_call_ = false;
    handler_.reset();
    end_timer_.cancel(ignored);
    socket_.close(ignored);
    owner_.on_closed(shared_from_this());
}

} // namespace peridotspar::backend
