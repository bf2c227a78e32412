#pragma once

#include "core/clock.hpp"
#include "http/request_reader.hpp"
#include "ingress/request_handler.hpp"
#include "routing/route_table.hpp"

#include <array>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace peridotspar::ingress
{

/// A connection accepted from a caller. Serves its requests one at a time, in
/// order; pipelined requests wait in the read buffer. Use only from the thread
/// that runs the socket's io_context.
class caller_connection : public response_writer,
                          public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket p_socket,
                      request_handler& p_handler,
                      const routing::caller_limits& p_limits);

    /// Starts to read requests. Call once, after construction.
    void start();
    /// Applies the current limits and closes the connection or answers 408
    /// when a timeout has expired. A shorter timeout applies from the next
    /// request or idle time on. Call periodically.
    void tick(time_point p_now, const routing::caller_limits& p_limits);
    /// Closes the connection if `is_idle()`.
    void close_if_idle();
    /// Closes the connection as if the caller had done so.
    void disconnect() { on_disconnect(); }
    /// Closes the connection at once and drops unsent bytes. Doesn't notify the
    /// active request.
    void close();
    [[nodiscard]] bool is_closed() const { return closed_; }
    /// Whether no request is being read or served and all responses were
    /// sent.
    [[nodiscard]] bool is_idle() const
    {
        return !serving_ && unsent_bytes() == 0 &&
               !reader_.has_partial_request();
    }
    /// When the last response ended, or else when the connection was accepted.
    [[nodiscard]] time_point last_used() const { return last_used_; }

    void send(const http::response& p_response) override;
    void begin(int p_status, const std::string& p_reason,
               http::header_list p_headers,
               std::optional<std::uint64_t> p_content_length) override;
    void write_body(std::string p_bytes) override;
    void end() override;
    void abort() override;
    [[nodiscard]] bool is_caller_gone() override;
    [[nodiscard]] std::string remote_ip() const override;
    [[nodiscard]] std::size_t unsent_bytes() const override
    {
        return queued_.size() + writing_.size();
    }

private:
    void read();
    void on_bytes(std::string_view p_bytes);
    void serve_next();
    void refuse(const http::request_error& p_error);
    void on_disconnect();
    /// The connection became idle, or a request begins to arrive.
    void begin_timeouts() { begun_limits_ = limits_; }
    /// Whether bytes wait to be read, as after a late tick.
    [[nodiscard]] bool has_unread_bytes();
    void finish_response();
    void queue(const std::string& p_bytes);
    void flush();

    boost::asio::ip::tcp::socket socket_;
    request_handler& handler_;
    boot_clock clock_;
    http::request_reader reader_;
    routing::caller_limits limits_; ///< As of the last tick.
    /// When the connection became idle, or the current request began.
    routing::caller_limits begun_limits_;
    std::array<char, 8192> bytes_{};
    std::shared_ptr<active_request> active_request_;
    std::string queued_;  ///< Written once the current write has finished.
    std::string writing_; ///< Buffer of the write in progress.
    time_point last_used_{};
    time_point read_started_{}; ///< First byte of the request being read.
    time_point last_read_{};
    bool reading_ = false;
    bool serving_ = false;
    bool chunked_ = false;
    bool is_head_request_ = false;
    bool keep_alive_ = true;
    bool close_after_write_ = false;
    bool continue_sent_ = false;
    bool flush_posted_ = false;
    bool closed_ = false;
};

} // namespace peridotspar::ingress
