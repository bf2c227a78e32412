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

/// Connections to servers that answer HTTP/1.1, one request at a time each.
namespace peridotspar::backend
{

/// How a call ended without its whole answer.
enum class call_failure : std::uint8_t
{
    unsent,          ///< Provably no byte of the request left.
    connection_lost, ///< The connection ended or was reset after bytes had
                     ///< left.
    malformed,       ///< What came is no answer to the request.
};

/// Receives what a call yields. Nothing comes after a call was closed.
class call_handler
{
public:
    virtual ~call_handler() = default;
    /// The head of an answer came; false: it belongs to another request, pass
    /// over it.
    virtual bool on_head(const http::response_head& p_head) = 0;
    virtual void on_body(std::string p_bytes) = 0;
    virtual void on_complete() = 0;
    virtual void on_failure(call_failure p_failure) = 0;
};

/// One connection to a server. Belongs to the thread of its context.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// Told when a connection can take a call again, or is of no more use.
    class owner
    {
    public:
        virtual ~owner() = default;
        virtual void on_idle(const std::shared_ptr<connection>& p_idle) = 0;
        virtual void on_closed(const std::shared_ptr<connection>& p_closed) = 0;
    };

    connection(boost::asio::io_context& p_context,
               boost::asio::ip::tcp::endpoint p_server, owner& p_owner);

    /// Sends a request, connecting first if need be.
    void start(std::string p_request, bool p_is_head_request,
               std::weak_ptr<call_handler> p_handler);
    /// Ends the call and the connection; the handler hears no more.
    void close();

    /// Ends a connect that takes too long; nothing was sent.
    void abort_connect() { fail(call_failure::unsent); }

    /// Whether an idle connection is open with nothing to be read.
    [[nodiscard]] bool is_reusable();

    [[nodiscard]] bool is_connecting() const { return connecting_; }
    [[nodiscard]] time_point started_at() const { return started_at_; }
    /// How long it may stay idle, as the server said.
    [[nodiscard]] const std::optional<duration>& keep_alive_timeout() const
    {
        return keep_alive_timeout_;
    }
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& server() const
    {
        return server_;
    }

private:
    void connect();
    void write();
    void read();
    void on_bytes(std::string_view p_bytes);
    void on_read_end(bool p_is_eof);
    void deliver_head();
    void complete_call();
    void fail(call_failure p_failure);
    void set_options();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint server_;
    owner& owner_;
    boot_clock clock_;
    std::weak_ptr<call_handler> handler_;
    http::response_reader reader_;
    std::string request_;
    std::array<char, 8192> bytes_{};
    std::optional<duration> keep_alive_timeout_;
    time_point started_at_{};
    bool connected_ = false;
    bool connecting_ = false;
    bool in_call_ = false;
    bool request_written_ = false;
    bool head_delivered_ = false; ///< The answer's head was shown.
    bool discarding_response_ =
        false; ///< The answer belongs to another request.
    bool closed_ = false;
};

} // namespace peridotspar::backend
