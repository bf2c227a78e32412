#include "ingress/caller_connection.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace peridotspar::ingress
{

namespace
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

/// The connection stops reading at this many unparsed bytes, so that a caller
/// that pipelines requests can't fill the memory.
constexpr std::size_t max_read_ahead_bytes = 65536;

http::size_limits to_size_limits(const routing::caller_limits& p_limits)
{
    return {p_limits.header_bytes_, p_limits.body_bytes_};
}

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket p_socket,
                                     request_handler& p_handler,
                                     const routing::caller_limits& p_limits)
    : socket_(std::move(p_socket)),
      handler_(p_handler),
      reader_(to_size_limits(p_limits)),
      limits_(p_limits),
      begun_limits_(p_limits)
{
    last_used_ = clock_.now();
}

void caller_connection::start()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
}

void caller_connection::read()
{
    if (reading_ || closed_ || reader_.buffered_bytes() > max_read_ahead_bytes)
    {
        return;
    }
    reading_ = true;
    socket_.async_read_some(asio::buffer(bytes_),
                            [self = shared_from_this()](
                                const error_code& p_error, std::size_t p_count)
                            {
                                self->reading_ = false;
                                if (self->closed_)
                                {
                                    return;
                                }
                                if (p_error)
                                {
                                    self->on_disconnect();
                                    return;
                                }
                                self->on_bytes({self->bytes_.data(), p_count});
                                self->read();
                            });
}

void caller_connection::on_bytes(std::string_view p_bytes)
{
    const time_point now = clock_.now();
    if (!reader_.has_partial_request())
    {
        read_started_ = now;
        begin_timeouts();
    }
    last_read_ = now;
    reader_.feed(p_bytes);
    serve_next();
}

void caller_connection::serve_next()
{
    if (serving_ || closed_ || close_after_write_)
    {
        return;
    }
    auto next = reader_.next();
    if (!next)
    {
        refuse(next.error());
        return;
    }
    if (!*next)
    {
        if (reader_.awaits_continue() && !continue_sent_)
        {
            continue_sent_ = true;
            queue("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    }
    http::request& request = **next;
    serving_ = true;
    continue_sent_ = false;
    is_head_request_ = request.head_.method_ == "HEAD";
    keep_alive_ = request.head_.keep_alive_;
    read_started_ = clock_.now();
    const auto request_started =
        handler_.start(std::move(request), shared_from_this());
    if (serving_)
    {
        active_request_ = request_started;
    }
}

void caller_connection::refuse(const http::request_error& p_error)
{
    serving_ = true;
    keep_alive_ = false;
    send(handler_.refuse_malformed(p_error.status_, p_error.message_));
}

void caller_connection::on_disconnect()
{
    const auto request = std::move(active_request_);
    close();
    if (request)
    {
        request->on_caller_disconnected();
    }
}

void caller_connection::send(const http::response& p_response)
{
    if (closed_)
    {
        return;
    }
    const bool keep_open = keep_alive_ && !handler_.is_leaving();
    std::string text = http::write_response(p_response, keep_open);
    if (is_head_request_)
    {
        text.resize(text.size() - p_response.body_.size());
    }
    keep_alive_ = keep_open;
    queue(text);
    finish_response();
}

void caller_connection::begin(int p_status, const std::string& p_reason,
                              http::header_list p_headers,
                              std::optional<std::uint64_t> p_content_length)
{
    if (closed_)
    {
        return;
    }
    chunked_ = !p_content_length && !is_head_request_;
    keep_alive_ = keep_alive_ && !handler_.is_leaving();
    if (p_content_length)
    {
        p_headers.push_back(
            {"Content-Length", std::to_string(*p_content_length)});
    }
    else
    {
        p_headers.push_back({"Transfer-Encoding", "chunked"});
    }
    if (!keep_alive_)
    {
        p_headers.push_back({"Connection", "close"});
    }
    queue(http::write_head(
        "HTTP/1.1 " + std::to_string(p_status) + " " + p_reason, p_headers));
}

void caller_connection::write_body(std::string p_bytes)
{
    if (closed_ || p_bytes.empty() || is_head_request_)
    {
        return;
    }
    if (!chunked_)
    {
        queue(p_bytes);
        return;
    }
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", p_bytes.size());
    queue(size.data() + p_bytes + "\r\n");
}

void caller_connection::end()
{
    if (closed_)
    {
        return;
    }
    if (chunked_)
    {
        queue("0\r\n\r\n");
    }
    finish_response();
}

void caller_connection::abort()
{
    active_request_.reset();
    serving_ = false;
    close();
}

bool caller_connection::is_caller_gone()
{
    if (closed_)
    {
        return true;
    }
    char byte = 0;
    const auto received =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 ||
           (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool caller_connection::has_unread_bytes()
{
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >
           0;
}

std::string caller_connection::remote_ip() const
{
    error_code error;
    const auto remote = socket_.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

void caller_connection::finish_response()
{
    active_request_.reset();
    serving_ = false;
    last_used_ = clock_.now();
    begin_timeouts();
    if (!keep_alive_)
    {
        close_after_write_ = true;
    }
    if (reader_.has_partial_request())
    {
        read_started_ = last_used_;
        last_read_ = last_used_;
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()]
                   {
                       self->serve_next();
                       self->read();
                   });
    }
}

void caller_connection::queue(const std::string& p_bytes)
{
    queued_ += p_bytes;
    if (flush_posted_ || !writing_.empty())
    {
        return;
    }
    // Posting the flush combines the bytes queued by one event in one write.
    flush_posted_ = true;
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->flush_posted_ = false;
                   self->flush();
               });
}

void caller_connection::flush()
{
    if (closed_ || !writing_.empty() || queued_.empty())
    {
        return;
    }
    writing_.swap(queued_);
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this()](const error_code& p_error, std::size_t)
        {
            self->writing_.clear();
            if (self->closed_)
            {
                return;
            }
            if (p_error)
            {
                self->on_disconnect();
                return;
            }
            if (!self->queued_.empty())
            {
                self->flush();
                return;
            }
            if (self->close_after_write_)
            {
                self->close();
            }
        });
}

void caller_connection::tick(time_point p_now,
                             const routing::caller_limits& p_limits)
{
    if (closed_)
    {
        return;
    }
    reader_.set_limits(to_size_limits(p_limits));
    limits_ = p_limits;
    if (serving_ || unsent_bytes() > 0)
    {
        return;
    }
    const duration idle_timeout =
        std::max(p_limits.idle_timeout_, begun_limits_.idle_timeout_);
    const duration header_timeout =
        std::max(p_limits.header_timeout_, begun_limits_.header_timeout_);
    if (!reader_.has_partial_request())
    {
        if (p_now - last_used_ > idle_timeout && !has_unread_bytes())
        {
            close();
        }
        return;
    }
    const bool head_too_slow =
        !reader_.has_head() && p_now - read_started_ > header_timeout;
    const bool silent =
        p_now - last_read_ > idle_timeout && !has_unread_bytes();
    if (head_too_slow || silent)
    {
        refuse({408, "the request came too slowly"});
    }
}

void caller_connection::close_if_idle()
{
    if (is_idle())
    {
        close();
    }
}

void caller_connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

} // namespace peridotspar::ingress
