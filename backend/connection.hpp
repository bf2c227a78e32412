#pragma once

#include "core/clock.hpp"
#include "http/response_reader.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

/// HTTP/1.1 client connections, each with one request at a time.
namespace peridotspar::backend
{

/// Why a call ended without a complete response.
enum class call_failure : std::uint8_t
{
    /// Provably no byte of the request was sent.
    unsent,
    /// The connection was closed or reset after bytes may have been sent.
    connection_lost,
    /// The received bytes aren't a valid HTTP response.
    malformed,
};

/// Receives the response to a call. The call ends with one `on_complete` or
/// `on_failure`; nothing is called after `connection::close`.
class call_handler
{
public:
    virtual ~call_handler() = default;
    /// A response's head was received. False if it belongs to another request:
    /// this response is then discarded and the next one awaited.
    virtual bool on_head(const http::response_head& p_head) = 0;
    /// Part of the decoded body was received.
    virtual void on_body(std::string p_bytes) = 0;
    virtual void on_complete() = 0;
    virtual void on_failure(call_failure p_failure) = 0;
};

/// A connection to a server. Use only from the thread that runs `p_context`.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// Notified when a connection becomes idle and reusable, or is closed.
    class owner
    {
    public:
        virtual ~owner() = default;
        virtual void on_idle(const std::shared_ptr<connection>& p_idle) = 0;
        virtual void on_closed(const std::shared_ptr<connection>& p_closed) = 0;
    };

    connection(boost::asio::io_context& p_context,
               boost::asio::ip::tcp::endpoint p_server, owner& p_owner);

    /// Sends a request, connecting first if necessary. `p_request` is the whole
    /// message. Call only on a new or idle connection.
    void start(std::string p_request, bool p_is_head_request,
               std::weak_ptr<call_handler> p_handler);
    /// Connects without a request. Call only on a new connection; it becomes
    /// idle, or is closed.
    void open();
    /// Closes the connection and drops its call without notifying the handler.
    void close();

    /// Stops reading what the server sends, so that it has to wait, until
    /// `resume_reading` or the next call.
    void pause_reading() { paused_ = true; }
    void resume_reading();

    /// Fails the call whose connect takes too long; nothing was sent.
    void abort_connect() { fail(call_failure::unsent); }

    /// Whether an idle connection is still open and has no unexpected bytes to
    /// read.
    [[nodiscard]] bool is_reusable();

    /// Bytes of the current request that the server hasn't acknowledged yet.
    [[nodiscard]] std::size_t unacknowledged_bytes();
    /// Memory that the current request takes here; none once it was written.
    [[nodiscard]] std::size_t kept_request_bytes() const
    {
        return request_.size();
    }
    [[nodiscard]] bool is_connecting() const { return connecting_; }
    [[nodiscard]] bool is_connected() const { return connected_ && !closed_; }
    /// When the last call was started.
    [[nodiscard]] time_point started_at() const { return started_at_; }
    /// When the connection was established.
    [[nodiscard]] time_point connected_at() const { return connected_at_; }
    /// How long the server keeps an idle connection, if it
    /// announced this.
    [[nodiscard]] const std::optional<duration>& keep_alive_timeout() const
    {
        return keep_alive_timeout_;
    }

private:
    void connect();
    void write();
    void read();
    void on_bytes(std::string_view p_bytes);
    void on_read_end(bool p_is_eof);
    /// Decides whether a response that ended with the connection is complete,
    /// or checks again later.
    void check_end();
    /// Whether the connection was reset; call it only after the end of reading.
    [[nodiscard]] bool has_socket_error();
    void deliver_head();
    void complete_call();
    void fail(call_failure p_failure);
    void set_options();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer end_timer_;
    boost::asio::ip::tcp::endpoint server_;
    owner& owner_;
    boot_clock clock_;
    std::weak_ptr<call_handler> handler_;
    http::response_reader reader_;
    std::string request_;
    std::array<char, 8192> bytes_{};
    std::optional<duration> keep_alive_timeout_;
    time_point started_at_{};
    time_point connected_at_{};
    std::size_t request_bytes_ = 0;   ///< Of the current request.
    std::size_t unwritten_bytes_ = 0; ///< Of the current request.
    /// Body bytes of responses of other requests, since the call began.
    std::size_t discarded_bytes_ = 0;
    /// Unacknowledged bytes at the last check_end(), and since when so many.
    std::size_t unread_bytes_ = 0;
    time_point unread_since_{};
    bool reading_ = false;
    bool paused_ = false;
    bool connected_ = false;
    bool connecting_ = false;
    bool in_call_ = false;
    bool request_written_ = false;
    bool head_delivered_ = false;
    bool discarding_response_ = false; ///< It belongs to another request.
    /// It brought a response of another request; more may follow.
    bool brought_foreign_response_ = false;
    bool closed_ = false;
};

} // namespace peridotspar::backend
