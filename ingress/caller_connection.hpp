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

/// One connection of a caller; serves its requests one after the other.
/// Belongs to the thread of its context.
class caller_connection : public response_writer,
                          public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket p_socket,
                      request_handler& p_handler,
                      const routing::caller_limits& p_limits);

    void start();
    /// Applies time limits; call it regularly.
    void tick(time_point p_now, const routing::caller_limits& p_limits);
    /// Closes it if no request is being read or served.
    void close_if_idle();
    void close();
    [[nodiscard]] bool is_closed() const { return closed_; }
    /// No request is being read or served.
    [[nodiscard]] bool is_idle() const
    {
        return !serving_ && unsent_bytes() == 0 &&
               !reader_.has_partial_request();
    }
    [[nodiscard]] time_point last_used() const { return last_used_; }

    void send(const http::response& p_response) override;
    void begin(int p_status, const std::string& p_reason,
               http::header_list p_headers,
               std::optional<std::uint64_t> p_content_length) override;
    void write_body(std::string p_bytes) override;
    void end() override;
    void abort() override;
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
    void finish_response();
    void queue(const std::string& p_bytes);
    void flush();

    boost::asio::ip::tcp::socket socket_;
    request_handler& handler_;
    boot_clock clock_;
    http::request_reader reader_;
    std::array<char, 8192> bytes_{};
    std::shared_ptr<active_request> active_request_;
    std::string queued_; ///< To be written after what is being written.
    std::string writing_;
    time_point last_used_{};    ///< End of the last request or answer.
    time_point read_started_{}; ///< First byte of the request being read.
    time_point last_read_{};
    bool reading_ = false;
    bool serving_ = false;
    bool response_begun_ = false; ///< The answer's head was queued.
    bool chunked_ = false;
    bool is_head_request_ = false; ///< The request is a HEAD.
    bool keep_alive_ = true;
    bool close_after_write_ = false;
    bool continue_sent_ = false;
    bool flush_posted_ = false;
    bool closed_ = false;
};

} // namespace peridotspar::ingress
